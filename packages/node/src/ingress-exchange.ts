/** Ties one HTTP request of a caller to the exchange that carries it. */
import {type Buffer} from 'node:buffer';
import process from 'node:process';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {
	createFailure, exchangeWindowBytes, type Carrier, type Exchange, type ExchangeHandler, type Failure, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';
import {sendFailure} from './answer.js';

/** Bounds and reports of an ingress exchange. */
export type IngressExchangeOptions = {
	readonly maxBodyBytes: number;
	readonly recordFailure: (failure: Failure) => void;
	/** Called before the head of the answer is written. */
	readonly updateConnection: () => void;
	/** True when callers read fractions of a second in `retry-after`. */
	readonly hasFractionalRetryAfter?: boolean;
};

/** Moves bodies both ways, each side no faster than the other takes them. */
export class IngressExchange {
	readonly #message: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #options: IngressExchangeOptions;
	#exchange: Exchange | undefined;
	#creditBytes = exchangeWindowBytes;
	#receivedBytes = 0;
	#isFinished = false;
	#deadlineTimer: NodeJS.Timeout | undefined;

	constructor(message: IncomingMessage, response: ServerResponse, options: IngressExchangeOptions) {
		this.#message = message;
		this.#response = response;
		this.#options = options;
	}

	/** Opens the exchange and starts to move the request's body. */
	open(carrier: Carrier, head: RequestHead): void {
		this.#exchange = carrier.openExchange(head, this.#createHandler());
		this.#deadlineTimer = setTimeout(() => {
			this.#cancelWithFailure(createFailure('answerTimeout', `no whole answer within ${head.remainingMs} ms`));
		}, head.remainingMs);
		this.#response.once('close', () => {
			this.#handleClose();
		});
		this.#message.on('data', (chunk: Uint8Array) => {
			this.#handleChunk(chunk);
		});
		this.#message.once('end', () => {
			if (!this.#isFinished) {
				this.#exchange?.endBody();
			}
		});
	}

	/** True when the request came over that connection. */
	isOnSocket(socket: Socket): boolean {
		return this.#message.socket === socket;
	}

	/** Ends the exchange when its body can't become whole any more; one that is whole goes on. */
	failBody(failure: Failure): void {
		if (!this.#message.complete) {
			this.#cancelWithFailure(failure);
			this.#message.socket.destroySoon();
		}
	}

	#handleChunk(chunk: Uint8Array): void {
		if (this.#isFinished) {
			return;
		}

		this.#receivedBytes += chunk.length;
		if (this.#receivedBytes > this.#options.maxBodyBytes) {
			this.#cancelWithFailure(createFailure('bodyGrewTooLarge', `the route takes ${this.#options.maxBodyBytes} bytes`));
			return;
		}

		this.#creditBytes -= chunk.length;
		if (this.#creditBytes <= 0) {
			this.#message.pause();
		}

		this.#exchange?.writeBody(chunk);
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

	/** An answer that may be cut short looks no more whole to the caller than it did here. */
	#handleHead({status, headers, isUnframed = false}: ResponseHead): void {
		if (this.#isFinished) {
			return;
		}

		this.#pauseWrites();
		this.#options.updateConnection();
		this.#response.useChunkedEncodingByDefault &&= !isUnframed;
		try {
			this.#response.writeHead(status, [...headers]);
		} catch (error) {
			this.#cancelWithFailure(createFailure('serverBroke', `the head of the answer can't be sent: ${String(error)}`));
		}
	}

	/** Head, body and end of a small answer come in one turn and leave in one write. */
	#pauseWrites(): void {
		this.#response.cork();
		process.nextTick(() => {
			this.#response.uncork();
		});
	}

	#handleData(chunk: Uint8Array): void {
		if (this.#isFinished) {
			return;
		}

		this.#response.write(chunk, () => {
			this.#exchange?.grantCredit(chunk.length);
		});
	}

	#handleFailure(failure: Failure): void {
		if (this.#isFinished) {
			return;
		}

		this.#finish();
		this.#options.recordFailure(failure);
		if (this.#response.headersSent) {
			this.#response.socket?.resetAndDestroy();
		} else {
			this.#options.updateConnection();
			sendFailure(this.#message, this.#response, failure, this.#options.hasFractionalRetryAfter);
		}
	}

	#cancelWithFailure(failure: Failure): void {
		if (!this.#isFinished) {
			this.#exchange?.cancel();
			this.#handleFailure(failure);
		}
	}

	#handleClose(): void {
		if (!this.#isFinished) {
			this.#finish();
			this.#exchange?.cancel();
			this.#options.recordFailure(createFailure('callerGone', 'the connection closed'));
		}
	}

	/** What is left of the request's body is dropped, so that the connection can go on. */
	#finish(): void {
		this.#isFinished = true;
		clearTimeout(this.#deadlineTimer);
		this.#message.resume();
	}
}
