/** Connects one HTTP request of a caller to the exchange that carries it. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {
	createFailure, exchangeWindowBytes, type Carrier, type Exchange, type ExchangeHandler, type Failure, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';
import {type CallerConnection} from './caller-connection.js';
import {CallerResponse} from './caller-response.js';
import {type HeldBytes} from './held-bytes.js';
import {PartCollector} from './part-collector.js';

/** Limits and callbacks of an ingress exchange. */
export type IngressExchangeOptions = {
	readonly connection: CallerConnection;
	readonly heldBytes: HeldBytes;
	readonly maxBodyBytes: number;
	readonly recordFailure: (failure: Failure) => void;
	/** True when callers accept fractions of a second in `retry-after`. */
	readonly hasFractionalRetryAfter?: boolean | undefined;
};

/** Streams the request and response bodies with backpressure in both directions. */
export class IngressExchange {
	readonly #message: IncomingMessage;
	readonly #response: CallerResponse;
	readonly #options: IngressExchangeOptions;
	/** Joins small parts of the body. */
	readonly #parts = new PartCollector(part => {
		this.#exchange?.writeBody(part);
	});

	#exchange: Exchange | undefined;
	#creditBytes = exchangeWindowBytes;
	#receivedBytes = 0;
	/** Bytes of the body that the connection's account counts. */
	#chargedBytes = 0;
	#isFinished = false;
	#deadlineTimer: NodeJS.Timeout | undefined;

	constructor(message: IncomingMessage, response: ServerResponse, options: IngressExchangeOptions) {
		this.#message = message;
		this.#options = options;
		this.#response = new CallerResponse(message, response, {
			connection: options.connection,
			heldBytes: options.heldBytes,
			hasFractionalRetryAfter: options.hasFractionalRetryAfter,
			handleUnsendable: failure => {
				this.#handleUnsendable(failure);
			},
		});
		response.once('close', () => {
			this.#handleClose();
		});
	}

	/** Opens the exchange and starts to forward the request's body. */
	open(carrier: Carrier, head: RequestHead): void {
		this.#exchange = carrier.openExchange(head, this.#createHandler());
		this.#deadlineTimer = setTimeout(() => {
			this.#cancelWithFailure(createFailure('answerTimeout', `no complete response within ${head.remainingMs} ms`));
		}, head.remainingMs);
		this.#message.on('data', (chunk: Uint8Array) => {
			this.#handleChunk(chunk);
		});
		this.#message.once('end', () => {
			if (!this.#isFinished) {
				this.#parts.forward();
				this.#exchange?.endBody();
			}
		});
	}

	/** True when the request was received on that socket. */
	isOnSocket(socket: Socket): boolean {
		return this.#message.socket === socket;
	}

	/**
	 * Fails the exchange if its body is incomplete, as it can't be completed any more; a request with a complete body
	 * continues.
	 */
	failIncompleteBody(failure: Failure): void {
		if (!this.#message.complete) {
			this.#cancelWithFailure(failure);
		}
	}

	/** Ends the exchange with a failure if its response is not complete. */
	fail(failure: Failure): void {
		this.#cancelWithFailure(failure);
	}

	#handleChunk(chunk: Uint8Array): void {
		if (this.#isFinished) {
			return;
		}

		this.#receivedBytes += chunk.length;
		if (this.#receivedBytes > this.#options.maxBodyBytes) {
			this.#cancelWithFailure(createFailure('bodyGrewTooLarge', `the route accepts at most ${this.#options.maxBodyBytes} bytes`));
			return;
		}

		this.#recordBody(chunk.length);
		this.#parts.add(chunk);
		this.#creditBytes -= chunk.length;
		if (this.#creditBytes <= 0) {
			this.#parts.forward();
			this.#message.pause();
		}
	}

	/** Charges what is kept of the body until the request ends: at most one flow-control window. */
	#recordBody(bytes: number): void {
		const charged = Math.min(bytes, exchangeWindowBytes - this.#chargedBytes);
		this.#chargedBytes += charged;
		this.#options.connection.memory.addRequestBytes(charged);
	}

	#createHandler(): ExchangeHandler {
		return {
			handleHead: head => {
				this.#handleHead(head);
			},
			handleData: chunk => {
				this.#handleData(chunk);
			},
			handleEnd: () => {
				if (!this.#isFinished) {
					this.#finish();
					this.#response.end();
				}
			},
			handleFailure: failure => {
				this.#handleFailure(failure);
			},
			handleCredit: bytes => {
				this.#creditBytes += bytes;
				if (this.#creditBytes > 0) {
					this.#message.resume();
				}
			},
		};
	}

	#handleHead(head: ResponseHead): void {
		if (!this.#isFinished) {
			this.#response.writeHead(head);
		}
	}

	#handleData(chunk: Uint8Array): void {
		if (!this.#isFinished) {
			this.#response.write(chunk, () => {
				this.#exchange?.grantCredit(chunk.length);
			});
		}
	}

	#handleFailure(failure: Failure): void {
		if (this.#isFinished) {
			return;
		}

		this.#finish();
		this.#options.recordFailure(failure);
		this.#response.fail(failure);
	}

	/** A response may turn out to be unsendable after its exchange has ended. */
	#handleUnsendable(failure: Failure): void {
		if (this.#isFinished) {
			this.#options.recordFailure(failure);
		} else {
			this.#cancelWithFailure(failure);
		}
	}

	#cancelWithFailure(failure: Failure): void {
		if (!this.#isFinished) {
			this.#exchange?.cancel();
			this.#handleFailure(failure);
		}
	}

	#handleClose(): void {
		this.#options.connection.memory.addRequestBytes(-this.#chargedBytes);
		this.#chargedBytes = 0;
		if (!this.#isFinished) {
			this.#finish();
			this.#exchange?.cancel();
			this.#options.recordFailure(createFailure('callerGone', 'the caller closed the connection'));
		}
	}

	/** Finishes the exchange and discards the rest of the request's body, so that the connection can be reused. */
	#finish(): void {
		this.#isFinished = true;
		clearTimeout(this.#deadlineTimer);
		this.#parts.clear();
		this.#message.resume();
	}
}
