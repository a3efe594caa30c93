/** The one run of a key that is in progress. */
import {createHash} from 'node:crypto';
import {
	createFailure, Exchange, type Carrier, type ExchangeHandler, type Failure, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';
import {maxAnswerBytes, runSlackMs} from './constants.js';
import {type RunResult} from './types.js';

/** Receives the result and, before, the digest of the request's body. */
export type RunOwner = {
	readonly recordDigest: (digest: string) => void;
	readonly recordResult: (result: RunResult) => void;
};

/** Runs on when its caller has gone, consuming the answer itself, so that a resend finds the outcome. */
export class KeyedRun extends Exchange {
	readonly #owner: RunOwner;
	readonly #bodyHash = createHash('sha256');
	#handler: ExchangeHandler | undefined;
	#inner: Exchange | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isBodyEnded = false;
	#isOver = false;
	#head: ResponseHead | undefined;
	#chunks: readonly Uint8Array[] = [];
	#size = 0;
	#granted = 0;

	constructor(handler: ExchangeHandler, owner: RunOwner) {
		super();
		this.#handler = handler;
		this.#owner = owner;
	}

	/** Hands the request on. */
	open(next: Carrier, head: RequestHead): void {
		this.#timer = setTimeout(() => {
			this.#giveUp('no outcome came in time');
		}, head.remainingMs + runSlackMs);
		this.#inner = next.openExchange(head, this.#createHandler());
	}

	override writeBody(chunk: Uint8Array): void {
		if (this.#isOver || this.#isBodyEnded) {
			return;
		}

		this.#bodyHash.update(chunk);
		this.#inner?.writeBody(chunk);
	}

	override endBody(): void {
		if (this.#isOver || this.#isBodyEnded) {
			return;
		}

		this.#isBodyEnded = true;
		this.#owner.recordDigest(this.#bodyHash.digest('base64url'));
		this.#inner?.endBody();
	}

	override grantCredit(bytes: number): void {
		if (this.#handler) {
			this.#granted += bytes;
			this.#inner?.grantCredit(bytes);
		}
	}

	/** The caller has gone. A request whose body is whole runs on; one that was cut off is given up. */
	override cancel(): void {
		if (this.#isOver || !this.#handler) {
			return;
		}

		this.#handler = undefined;
		if (!this.#isBodyEnded) {
			this.#giveUp('the request was cut off');
			return;
		}

		const outstanding = this.#size - this.#granted;
		if (outstanding > 0) {
			this.#inner?.grantCredit(outstanding);
		}
	}

	#createHandler(): ExchangeHandler {
		return {
			handleHead: head => {
				this.#head = head;
				this.#handler?.handleHead(head);
			},
			handleData: chunk => {
				this.#handleData(chunk);
			},
			handleEnd: () => {
				this.#handleEnd();
			},
			handleFailure: failure => {
				this.#handleFailure(failure);
			},
			handleCredit: bytes => {
				this.#handler?.handleCredit(bytes);
			},
		};
	}

	#handleData(chunk: Uint8Array): void {
		this.#size += chunk.length;
		this.#chunks = this.#size <= maxAnswerBytes ? [...this.#chunks, chunk] : [];
		if (this.#handler) {
			this.#handler.handleData(chunk);
		} else {
			this.#inner?.grantCredit(chunk.length);
		}
	}

	#handleEnd(): void {
		const isKept = this.#head !== undefined && this.#size <= maxAnswerBytes;
		const handler = this.#finish(isKept
			? {kind: 'answer', answer: {head: this.#head!, body: this.#chunks}}
			: {kind: 'unknown', failure: createFailure('answerNotKept', `the answer has ${this.#size} bytes, ${maxAnswerBytes} are kept`)});
		handler?.handleEnd();
	}

	#handleFailure(failure: Failure): void {
		const isRefused = failure.ran === 'not-run' && this.#head === undefined;
		const handler = this.#finish(isRefused
			? {kind: 'refused', failure}
			: {kind: 'unknown', failure: createFailure('keyOutcomeUnknown', `the run ended with ${failure.code} ${failure.name}`)});
		handler?.handleFailure(failure);
	}

	#giveUp(detail: string): void {
		if (this.#isOver) {
			return;
		}

		const failure = createFailure('keyOutcomeUnknown', detail);
		this.#inner?.cancel();
		const handler = this.#finish({kind: 'unknown', failure});
		handler?.handleFailure(failure);
	}

	/** Settles the key before its caller is told; returns the handler to tell, once. */
	#finish(result: RunResult): ExchangeHandler | undefined {
		if (this.#isOver) {
			return undefined;
		}

		const handler = this.#handler;
		this.#isOver = true;
		this.#handler = undefined;
		clearTimeout(this.#timer);
		this.#owner.recordResult(result);
		return handler;
	}
}
