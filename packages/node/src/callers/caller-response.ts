/** The response to one request of a caller's connection. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import process from 'node:process';
import {
	createFailure, findHeader, type Failure, type ResponseHead,
} from '@limpetbarrow/core';
import {type CallerConnection} from './caller-connection.js';
import {maxHeldBytes, type HeldBytes} from './held-bytes.js';
import {hasResponseBody} from './headers.js';
import {sendFailure} from './http-responses.js';

/** Settings and callbacks of a response. */
export type CallerResponseOptions = {
	readonly connection: CallerConnection;
	readonly heldBytes: HeldBytes;
	/** Called when the response can't be sent; the failure replaces it. */
	readonly handleUnsendable: (failure: Failure) => void;
	/** True when callers accept fractions of a second in `retry-after`. */
	readonly hasFractionalRetryAfter?: boolean | undefined;
};

/** A part of a body that waits to be written. */
type HeldPart = {
	readonly chunk: Uint8Array;
	readonly handleWritten: () => void;
};

/** Memory that one response may take while it is held until it is complete, in bytes; none but the node's limit while that stops. */
export const maxResponseHeldBytes = 2_097_152;
/** Memory that a part takes besides its content, in bytes; it bounds the number of parts. */
const partOverheadBytes = 128;

/**
 * Writes a response once all responses before it on the connection are complete, and holds it until then. If requests are
 * behind it, it is also held until it is complete, as far as memory allows. What is held is read from the backend server
 * meanwhile: in a planned stop, a response that is complete here is delivered even if the one before it fails.
 *
 * A response without a length is passed on in that form, as nothing proves that it is whole: its backend server may have
 * ended it early, so neither chunks nor a length would be true. The end of its connection ends it, which a killed process
 * causes too. So it is held as well, and no request behind it is read; with requests behind it, a failure replaces it.
 * A response in chunks to a caller who knows only HTTP/1.0 is held too, and gets a length once it is whole.
 *
 * A response that fails while it is held is replaced by the failure, so that the responses behind it are still delivered;
 * one that fails while it is written resets the connection, as nothing else shows the caller that it is truncated.
 */
export class CallerResponse {
	readonly #message: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #options: CallerResponseOptions;
	#head: ResponseHead | undefined;
	#failure: Failure | undefined;
	#heldParts: HeldPart[] = [];
	/** Number of held parts, from the first one, for which the backend server has got credit, and the memory reserved for them. */
	#creditedParts = 0;
	#reservedBytes = 0;
	/** Bytes of the parts that have not left yet, as the connection's account counts them. */
	#chargedBytes = 0;
	#isTurn = false;
	#isStarted = false;
	#isComplete = false;

	constructor(message: IncomingMessage, response: ServerResponse, options: CallerResponseOptions) {
		this.#message = message;
		this.#response = response;
		this.#options = options;
		options.connection.waitForTurn(response, () => {
			this.#isTurn = true;
			this.#startIfDue();
		});
		response.once('close', () => {
			this.#releaseHeldParts();
			this.#releaseCharge(this.#chargedBytes);
		});
	}

	writeHead(head: ResponseHead): void {
		this.#head = head;
		if (head.isUnframed !== true || this.#markLast()) {
			this.#startIfDue();
		}
	}

	/** Writes a part of the body; `handleWritten` is called when it has left. */
	write(chunk: Uint8Array, handleWritten: () => void): void {
		const bytes = chunk.length + partOverheadBytes;
		this.#chargedBytes += bytes;
		this.#options.connection.memory.addBytes(bytes);
		if (this.#isStarted) {
			this.#writePart(chunk, handleWritten);
		} else {
			this.#heldParts.push({chunk, handleWritten});
			this.#startIfDue();
		}
	}

	end(): void {
		this.#isComplete = true;
		if (this.#isStarted) {
			this.#response.end();
		} else {
			this.#startIfDue();
		}
	}

	/** Ends the response by a failure, or by a reset of the connection when its head has been written. */
	fail(failure: Failure): void {
		if (this.#failure) {
			return;
		}

		if (this.#isStarted) {
			this.#message.socket.resetAndDestroy();
			return;
		}

		this.#releaseHeldParts();
		this.#releaseCharge(this.#chargedBytes);
		this.#failure = failure;
		this.#startIfDue();
	}

	#writePart(chunk: Uint8Array, handleWritten: (() => void) | undefined): void {
		this.#response.write(chunk, () => {
			this.#releaseCharge(chunk.length + partOverheadBytes);
			handleWritten?.();
		});
	}

	#releaseCharge(bytes: number): void {
		const released = Math.min(bytes, this.#chargedBytes);
		this.#chargedBytes -= released;
		this.#options.connection.memory.addBytes(-released);
	}

	#startIfDue(): void {
		if (this.#isStarted) {
			return;
		}

		if (!this.#isTurn) {
			this.#reserveHeldParts();
		} else if (this.#failure) {
			this.#startFailure(this.#failure);
		} else if (this.#head && (this.#isComplete || !this.#isHeldBack(this.#head) || !this.#reserveHeldParts())) {
			this.#start(this.#head);
		}
	}

	/** True when the response should be complete before it is written. */
	#isHeldBack(head: ResponseHead): boolean {
		return head.isUnframed === true || this.#isLengthMissing(head) || this.#options.connection.hasRequestsBehind(this.#response);
	}

	/** True when the caller can't tell the end of the body without a length, which the head doesn't give: HTTP/1.0 has no chunks. */
	#isLengthMissing({status, headers, isUnframed = false}: ResponseHead): boolean {
		const {httpVersion, method = ''} = this.#message;
		return httpVersion === '1.0' && !isUnframed && hasResponseBody(method, status) && findHeader(headers, 'content-length') === undefined;
	}

	/** Lets the end of the connection end the response. Returns false if requests are behind it, whose responses it would drop. */
	#markLast(): boolean {
		if (this.#options.connection.hasRequestsBehind(this.#response)) {
			this.#replace(createFailure('serverBroke', 'a response without a length can\'t be sent before the responses to later requests'));
			return false;
		}

		this.#options.connection.endWithConnection(this.#response);
		return true;
	}

	/**
	 * Reserves memory for what has arrived and grants credit for more. Returns false if memory is short. Responses that wait for
	 * their turn leave a half of the node's memory to those whose turn it is: without memory these have to be started. In a
	 * planned stop, one that has been started and isn't complete in time costs those behind it; so one response may take all.
	 */
	#reserveHeldParts(): boolean {
		const maxBytes = this.#isTurn ? maxHeldBytes : maxHeldBytes / 2;
		const maxOwnBytes = this.#options.connection.isStopping() ? maxBytes : maxResponseHeldBytes;
		const newParts = this.#heldParts.slice(this.#creditedParts);
		const newBytes = newParts.reduce((sum, {chunk}) => sum + chunk.length + partOverheadBytes, 0);
		if (this.#reservedBytes + newBytes > maxOwnBytes || !this.#options.heldBytes.reserve(newBytes, maxBytes)) {
			return false;
		}

		this.#reservedBytes += newBytes;
		this.#creditedParts = this.#heldParts.length;
		newParts.forEach(({handleWritten}) => {
			handleWritten();
		});
		return true;
	}

	#releaseHeldParts(): void {
		this.#options.heldBytes.release(this.#reservedBytes);
		this.#reservedBytes = 0;
		this.#creditedParts = 0;
		this.#heldParts = [];
	}

	#startFailure(failure: Failure): void {
		this.#isStarted = true;
		this.#options.connection.updateKeepAlive(this.#response);
		sendFailure(this.#message, this.#response, failure, this.#options.hasFractionalRetryAfter);
	}

	/** Replaces a response that can't be sent. */
	#replace(failure: Failure): void {
		this.#options.handleUnsendable(failure);
		this.fail(failure);
	}

	#start(head: ResponseHead): void {
		if (this.#isLengthMissing(head) && !this.#isComplete && !this.#markLast()) {
			return;
		}

		this.#pauseWrites();
		this.#response.useChunkedEncodingByDefault &&= head.isUnframed !== true;
		this.#options.connection.updateKeepAlive(this.#response);
		try {
			this.#response.writeHead(head.status, this.#createHeaders(head));
		} catch (error) {
			this.#replace(createFailure('serverBroke', `the response head can't be sent: ${String(error)}`));
			return;
		}

		this.#isStarted = true;
		this.#heldParts.forEach(({chunk, handleWritten}, index) => {
			this.#writePart(chunk, index < this.#creditedParts ? undefined : handleWritten);
		});
		this.#releaseHeldParts();
		if (this.#isComplete) {
			this.#response.end();
		}
	}

	/** Adds the length that the caller needs, once the whole body is held. */
	#createHeaders(head: ResponseHead): string[] {
		const bytes = this.#heldParts.reduce((sum, {chunk}) => sum + chunk.length, 0);
		return this.#isComplete && this.#isLengthMissing(head) ? [...head.headers, 'content-length', String(bytes)] : [...head.headers];
	}

	/**
	 * Corks the response until the next tick: head, body and end of a small response arrive in one turn and leave in one
	 * write.
	 */
	#pauseWrites(): void {
		this.#response.cork();
		process.nextTick(() => {
			this.#response.uncork();
		});
	}
}
