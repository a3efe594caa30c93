/** A resend of a known key: its body is consumed for comparison, then it gets the outcome. A resend never runs. */
import {createHash} from 'node:crypto';
import {Exchange, type ExchangeHandler} from '@limpetbarrow/core';
import {type RunResult} from './types.js';

/** Called with the digest of the resend's body once the body is complete. */
export type HandleBody = (digest: string) => void;

/** One resend with its own handler. Cancelling it affects neither the run nor other resends. */
export class ResendExchange extends Exchange {
	readonly #handler: ExchangeHandler;
	readonly #handleBody: HandleBody;
	readonly #handleCancel: () => void;
	readonly #bodyHash = createHash('sha256');
	#isBodyEnded = false;
	#isFinished = false;

	constructor(handler: ExchangeHandler, handleBody: HandleBody, handleCancel: () => void) {
		super();
		this.#handler = handler;
		this.#handleBody = handleBody;
		this.#handleCancel = handleCancel;
	}

	override writeBody(chunk: Uint8Array): void {
		if (!this.#isFinished && !this.#isBodyEnded) {
			this.#bodyHash.update(chunk);
			this.#handler.handleCredit(chunk.length);
		}
	}

	override endBody(): void {
		if (!this.#isFinished && !this.#isBodyEnded) {
			this.#isBodyEnded = true;
			this.#handleBody(this.#bodyHash.digest('base64url'));
		}
	}

	override grantCredit(_bytes: number): void {
		// Stored answers fit into the initial window, so that no further credit is needed.
	}

	override cancel(): void {
		this.#isFinished = true;
		this.#handleCancel();
	}

	/** Sends the outcome to the caller, unless the exchange is finished or cancelled. */
	replay(result: RunResult): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
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
