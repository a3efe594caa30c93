/** Exchange on the server side of a link. */
import {
	createFailure, exchangeWindowBytes, maxFrameBytes, type Carrier, type Exchange, type ExchangeHandler, type Failure, type RequestHead,
} from '@limpetbarrow/core';
import {creditBatchBytes} from './constants.js';
import {type LinkSession} from './link-session.js';
import {writeParts} from './utils.js';

/** Forwards a request to the local carrier and sends its response or failure back. */
export class ServerExchange {
	readonly #stream: number;
	readonly #session: LinkSession;
	readonly #handleFinished: () => void;
	readonly #exchange: Exchange;
	#remainingCredit = exchangeWindowBytes;
	#pendingCredit = 0;
	#isFinished = false;

	constructor(stream: number, session: LinkSession, handleFinished: () => void, open: (handler: ExchangeHandler) => Exchange) {
		this.#stream = stream;
		this.#session = session;
		this.#handleFinished = handleFinished;
		this.#exchange = open(this.#createHandler());
	}

	/** Forwards a part of the request's body. Fails when the other side exceeds its credit by over `maxFrameBytes`. */
	writeBody(payload: Uint8Array): Failure | undefined {
		this.#remainingCredit -= payload.length;
		if (this.#remainingCredit < -maxFrameBytes) {
			return createFailure('malformedFrame', `exchange ${this.#stream} exceeded its credit`);
		}

		this.#exchange.writeBody(payload);
		return undefined;
	}

	isFinished(): boolean {
		return this.#isFinished;
	}

	endBody(): void {
		this.#exchange.endBody();
	}

	grantCredit(bytes: number): void {
		this.#exchange.grantCredit(bytes);
	}

	/** Cancels the exchange; no more frames of it are sent. */
	cancel(): void {
		this.#isFinished = true;
		this.#exchange.cancel();
	}

	#createHandler(): ExchangeHandler {
		const stream = this.#stream;
		return {
			handleHead: head => {
				this.#send(() => {
					this.#session.send({kind: 'response', stream, head});
				});
			},
			handleData: chunk => {
				this.#send(() => {
					writeParts(chunk, part => {
						this.#session.send({kind: 'data', stream}, part);
					});
				});
			},
			handleEnd: () => {
				this.#finish(() => {
					this.#session.send({kind: 'end', stream});
				});
			},
			handleFailure: failure => {
				this.#finish(() => {
					this.#session.send({kind: 'failure', stream, failure});
				});
			},
			handleAccepted: () => {
				this.#send(() => {
					this.#session.send({kind: 'accepted', stream});
				});
			},
			handleCredit: bytes => {
				this.#remainingCredit += bytes;
				this.#pendingCredit += bytes;
				if (this.#pendingCredit >= creditBatchBytes) {
					const granted = this.#pendingCredit;
					this.#pendingCredit = 0;
					this.#send(() => {
						this.#session.send({kind: 'credit', stream, bytes: granted});
					});
				}
			},
		};
	}

	#send(send: () => void): void {
		if (!this.#isFinished) {
			send();
		}
	}

	#finish(send: () => void): void {
		this.#send(() => {
			this.#isFinished = true;
			send();
			this.#handleFinished();
		});
	}
}

/** Opens an exchange on the local carrier that serves the request's target. */
export type OpenRequest = (head: RequestHead, handler: ExchangeHandler) => ReturnType<Carrier['openExchange']>;
