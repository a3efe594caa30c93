/** A resend of a known key: takes the body to compare it, then hands out the outcome. It never runs. */
import {createHash} from 'node:crypto';
import {Exchange, type ExchangeHandler} from '@limpetbarrow/core';
import {type RunResult} from './types.js';

/** Called once the resend's body is whole. */
export type HandleBody = (digest: string) => void;

/** One resend with its own handler; cancelling it leaves the run and other resends alone. */
export class ResendExchange extends Exchange {
	readonly #handler: ExchangeHandler;
	readonly #handleBody: HandleBody;
	readonly #handleCancel: () => void;
	readonly #bodyHash = createHash('sha256');
	#isBodyEnded = false;
	#isOver = false;

	constructor(handler: ExchangeHandler, handleBody: HandleBody, handleCancel: () => void) {
		super();
		this.#handler = handler;
		this.#handleBody = handleBody;
		this.#handleCancel = handleCancel;
	}

	override writeBody(chunk: Uint8Array): void {
		if (!this.#isOver && !this.#isBodyEnded) {
			this.#bodyHash.update(chunk);
			this.#handler.handleCredit(chunk.length);
		}
	}

	override endBody(): void {
		if (!this.#isOver && !this.#isBodyEnded) {
			this.#isBodyEnded = true;
			this.#handleBody(this.#bodyHash.digest('base64url'));
		}
	}

	override grantCredit(_bytes: number): void {
		// Kept answers fit the first window.
	}

	override cancel(): void {
		this.#isOver = true;
		this.#handleCancel();
	}

	/** Hands out the outcome unless the caller has gone. */
	replay(result: RunResult): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		if (result.kind !== 'answer') {
			this.#handler.handleFailure(result.failure);
			return;
		}

		this.#handler.handleHead(result.answer.head);
		result.answer.body.forEach(chunk => {
			this.#handler.handleData(chunk);
		});
		this.#handler.handleEnd();
	}
}
