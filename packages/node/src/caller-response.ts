/** The response to one request of a caller's connection. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import process from 'node:process';
import {createFailure, type Failure, type ResponseHead} from '@limpetbarrow/core';
import {type CallerConnection} from './caller-connection.js';
import {sendFailure} from './http-responses.js';

/** Settings and callbacks of a response. */
export type CallerResponseOptions = {
	readonly connection: CallerConnection;
	/** Called when the head can't be written; a failure replaces the response. */
	readonly handleInvalidHead: (failure: Failure) => void;
	/** True when callers accept fractions of a second in `retry-after`. */
	readonly hasFractionalRetryAfter?: boolean | undefined;
};

/** A part of a body that waits to be written. */
type HeldPart = {
	readonly chunk: Uint8Array;
	readonly handleWritten: () => void;
};

/**
 * Writes a response once all responses before it on the connection are complete, and holds it until then. A response that
 * fails while it is held is replaced by the failure, so that the responses behind it are still delivered; one that fails
 * while it is written resets the connection, as nothing else shows the caller that it is truncated.
 */
export class CallerResponse {
	readonly #message: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #options: CallerResponseOptions;
	#head: ResponseHead | undefined;
	#failure: Failure | undefined;
	#heldParts: readonly HeldPart[] = [];
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
	}

	writeHead(head: ResponseHead): void {
		this.#head = head;
		this.#startIfDue();
	}

	/** Writes a part of the body; `handleWritten` is called when it has left. */
	write(chunk: Uint8Array, handleWritten: () => void): void {
		if (this.#isStarted) {
			this.#response.write(chunk, handleWritten);
		} else {
			this.#heldParts = [...this.#heldParts, {chunk, handleWritten}];
		}
	}

	end(): void {
		this.#isComplete = true;
		if (this.#isStarted) {
			this.#response.end();
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

		this.#heldParts = [];
		this.#failure = failure;
		this.#startIfDue();
	}

	#startIfDue(): void {
		if (!this.#isTurn || this.#isStarted) {
			return;
		}

		if (this.#failure) {
			this.#startFailure(this.#failure);
		} else if (this.#head) {
			this.#start(this.#head);
		}
	}

	#startFailure(failure: Failure): void {
		this.#isStarted = true;
		this.#options.connection.updateKeepAlive(this.#response);
		sendFailure(this.#message, this.#response, failure, this.#options.hasFractionalRetryAfter);
	}

	#start({status, headers}: ResponseHead): void {
		this.#pauseWrites();
		this.#options.connection.updateKeepAlive(this.#response);
		try {
			this.#response.writeHead(status, [...headers]);
		} catch (error) {
			const failure = createFailure('serverBroke', `the response head can't be sent: ${String(error)}`);
			this.#options.handleInvalidHead(failure);
			this.fail(failure);
			return;
		}

		this.#isStarted = true;
		this.#heldParts.forEach(({chunk, handleWritten}) => {
			this.#response.write(chunk, handleWritten);
		});
		this.#heldParts = [];
		if (this.#isComplete) {
			this.#response.end();
		}
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
