/** Exchange on the client side of a link. */
import {Exchange, type ExchangeHandler} from '@limpetbarrow/core';
import {creditBatchBytes} from './constants.js';
import {type ExchangeFrame} from './types.js';
import {writeParts} from './utils.js';

/** Callbacks of an exchange to its link. */
export type ExchangeOwner = {
	readonly send: (frame: ExchangeFrame, payload?: Uint8Array) => void;
	/** Called when the exchange is cancelled. */
	readonly handleCancel: (stream: number) => void;
};

/** Sends frames of one exchange until it is finished; later calls have no effect. */
export class ClientExchange extends Exchange {
	readonly stream: number;
	readonly handler: ExchangeHandler;
	readonly #owner: ExchangeOwner;
	#pendingCredit = 0;
	#isFinished = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(stream: number, handler: ExchangeHandler, owner: ExchangeOwner) {
		super();
		this.stream = stream;
		this.handler = handler;
		this.#owner = owner;
	}

	/** Calls back when the deadline passes before the exchange is finished. */
	startTimer(remainingMs: number, handleDeadline: () => void): void {
		this.#timer = setTimeout(handleDeadline, remainingMs);
	}

	/** Marks the exchange as finished: nothing more is sent or received. */
	finish(): void {
		this.#isFinished = true;
		clearTimeout(this.#timer);
	}

	override writeBody(chunk: Uint8Array): void {
		writeParts(chunk, part => {
			this.#send({kind: 'data', stream: this.stream}, part);
		});
	}

	override endBody(): void {
		this.#send({kind: 'end', stream: this.stream});
	}

	override grantCredit(bytes: number): void {
		this.#pendingCredit += bytes;
		if (this.#pendingCredit >= creditBatchBytes) {
			this.#send({kind: 'credit', stream: this.stream, bytes: this.#pendingCredit});
			this.#pendingCredit = 0;
		}
	}

	override cancel(): void {
		if (!this.#isFinished) {
			this.#owner.handleCancel(this.stream);
		}
	}

	#send(frame: ExchangeFrame, payload?: Uint8Array): void {
		if (!this.#isFinished) {
			this.#owner.send(frame, payload);
		}
	}
}

/** An exchange that the link refused; its methods have no effect. */
export class RefusedExchange extends Exchange {
	override writeBody(_chunk: Uint8Array): void {
		// Refused already.
	}

	override endBody(): void {
		// Refused already.
	}

	override grantCredit(_bytes: number): void {
		// Refused already.
	}

	override cancel(): void {
		// Refused already.
	}
}
