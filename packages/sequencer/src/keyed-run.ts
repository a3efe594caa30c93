/** The run of a key that is in progress; a key has at most one. */
import {createHash} from 'node:crypto';
import {
	createFailure, Exchange, type Carrier, type ExchangeHandler, type Failure, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';
import {maxAnswerBytes, runTimeoutMarginMs} from './constants.js';
import {type RunResult} from './types.js';

/** Records the digest of the request's body and then the result of the run. */
export type RunRecorder = {
	readonly recordDigest: (digest: string) => void;
	readonly recordResult: (result: RunResult) => void;
};

/**
 * Forwards a request and records its result. Once the body is complete, the run continues even if its caller disconnects:
 * it then consumes the answer itself, so that a resend gets the outcome.
 */
export class KeyedRun extends Exchange {
	readonly #recorder: RunRecorder;
	readonly #bodyHash = createHash('sha256');
	#handler: ExchangeHandler | undefined;
	#forwardedExchange: Exchange | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isBodyEnded = false;
	#isFinished = false;
	#responseHead: ResponseHead | undefined;
	#responseChunks: readonly Uint8Array[] = [];
	#responseBytes = 0;
	#grantedBytes = 0;

	constructor(handler: ExchangeHandler, recorder: RunRecorder) {
		super();
		this.#handler = handler;
		this.#recorder = recorder;
	}

	/** Forwards the request. The run ends as unknown if it has no outcome `runTimeoutMarginMs` after the deadline. */
	open(next: Carrier, head: RequestHead): void {
		this.#timer = setTimeout(() => {
			this.#failAsUnknown('the run had no outcome in time');
		}, head.remainingMs + runTimeoutMarginMs);
		this.#forwardedExchange = next.openExchange(head, this.#createHandler());
	}

	override writeBody(chunk: Uint8Array): void {
		if (this.#isFinished || this.#isBodyEnded) {
			return;
		}

		this.#bodyHash.update(chunk);
		this.#forwardedExchange?.writeBody(chunk);
	}

	override endBody(): void {
		if (this.#isFinished || this.#isBodyEnded) {
			return;
		}

		this.#isBodyEnded = true;
		this.#recorder.recordDigest(this.#bodyHash.digest('base64url'));
		this.#forwardedExchange?.endBody();
	}

	override grantCredit(bytes: number): void {
		if (this.#handler) {
			this.#grantedBytes += bytes;
			this.#forwardedExchange?.grantCredit(bytes);
		}
	}

	/** Handles a caller that disconnected: a request with a complete body continues, an incomplete one ends as unknown. */
	override cancel(): void {
		if (this.#isFinished || !this.#handler) {
			return;
		}

		this.#handler = undefined;
		if (!this.#isBodyEnded) {
			this.#failAsUnknown('the caller disconnected before the request was complete');
			return;
		}

		const outstanding = this.#responseBytes - this.#grantedBytes;
		if (outstanding > 0) {
			this.#forwardedExchange?.grantCredit(outstanding);
		}
	}

	#createHandler(): ExchangeHandler {
		return {
			handleHead: head => {
				this.#responseHead = head;
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
		this.#responseBytes += chunk.length;
		this.#responseChunks = this.#responseBytes <= maxAnswerBytes ? [...this.#responseChunks, chunk] : [];
		if (this.#handler) {
			this.#handler.handleData(chunk);
		} else {
			this.#forwardedExchange?.grantCredit(chunk.length);
		}
	}

	#handleEnd(): void {
		const isKept = this.#responseHead !== undefined && this.#responseBytes <= maxAnswerBytes;
		const handler = this.#finish(isKept
			? {kind: 'answer', answer: {head: this.#responseHead!, body: this.#responseChunks}}
			: {kind: 'unknown', failure: createFailure('answerNotKept', `the answer has ${this.#responseBytes} bytes, at most ${maxAnswerBytes} are stored`)});
		handler?.handleEnd();
	}

	#handleFailure(failure: Failure): void {
		const isRefused = failure.ran === 'not-run' && this.#responseHead === undefined;
		const handler = this.#finish(isRefused
			? {kind: 'refused', failure}
			: {kind: 'unknown', failure: createFailure('keyOutcomeUnknown', `the run ended with ${failure.code} ${failure.name}`)});
		handler?.handleFailure(failure);
	}

	#failAsUnknown(detail: string): void {
		if (this.#isFinished) {
			return;
		}

		const failure = createFailure('keyOutcomeUnknown', detail);
		this.#forwardedExchange?.cancel();
		const handler = this.#finish({kind: 'unknown', failure});
		handler?.handleFailure(failure);
	}

	/** Records the result before the caller gets it. Returns the caller's handler, on the first call only. */
	#finish(result: RunResult): ExchangeHandler | undefined {
		if (this.#isFinished) {
			return undefined;
		}

		const handler = this.#handler;
		this.#isFinished = true;
		this.#handler = undefined;
		clearTimeout(this.#timer);
		this.#recorder.recordResult(result);
		return handler;
	}
}
