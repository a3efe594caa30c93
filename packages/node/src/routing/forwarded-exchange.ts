/** One forwarded request and its attempts. */
import {
	createFailure, exchangeWindowBytes, Exchange, type Carrier, type ExchangeHandler, type Failure, type RequestHead,
} from '@limpetbarrow/core';
import {type Candidate, type PathHealth, type RetryPolicy} from '@limpetbarrow/choose';
import {type LoadTracker} from './load-tracker.js';
import {type RequestTimeLimits} from './request-time-limits.js';

/** Dependencies of a request's attempts. */
export type AttemptOptions = {
	/** Chooses a backend server that has not been tried yet. */
	readonly chooseCandidate: (head: RequestHead, triedServerIds: readonly string[]) => Candidate | undefined;
	readonly findEgress: (nodeId: string) => Carrier | undefined;
	readonly loadTracker: LoadTracker;
	readonly pathHealth: PathHealth;
	readonly retryPolicy: RetryPolicy;
	readonly timeLimits: RequestTimeLimits;
	readonly recordRetry: () => void;
};

const maxAttempts = 3;
const minServerErrorStatus = 500;
const pathFailures: ReadonlySet<string> = new Set(['linkUnreachable', 'linkLost']);

/** Sends a request to a backend server and retries it on others when that is safe and within the retry budget. */
export class ForwardedExchange extends Exchange {
	readonly #head: RequestHead;
	readonly #handler: ExchangeHandler;
	readonly #options: AttemptOptions;
	readonly #openedAt = performance.now();
	#current: Exchange | undefined;
	#triedServerIds: readonly string[] = [];
	#replayChunks: readonly Uint8Array[] = [];
	#bodyBytes = 0;
	#isBodyEnded = false;
	/** Start of the current attempt (monotonic time, in milliseconds). */
	#attemptedAt = 0;
	/** Status of the response; 0 before its head has arrived. */
	#status = 0;
	#isFinished = false;
	/** Failure of the first attempt that may have run. */
	#firstUnknownFailure: Failure | undefined;

	constructor(head: RequestHead, handler: ExchangeHandler, options: AttemptOptions) {
		super();
		this.#head = head;
		this.#handler = handler;
		this.#options = options;
	}

	/** Opens the next attempt, or fails the request with `lastFailure` if no backend server or time is left. */
	openAttempt(lastFailure: Failure | undefined): void {
		const now = performance.now();
		const remainingMs = this.#head.remainingMs - (now - this.#openedAt);
		if (this.#isTooLateForStop(remainingMs, now)) {
			this.#fail(lastFailure ?? createFailure('nodeStopping', 'too little time is left before the node stops'));
			return;
		}

		const candidate = remainingMs > 0 ? this.#options.chooseCandidate(this.#head, this.#triedServerIds) : undefined;
		const egress = candidate && this.#options.findEgress(candidate.nodeId);
		if (!candidate || !egress) {
			this.#fail(lastFailure ?? createFailure(remainingMs > 0 ? 'noServer' : 'deadlinePassed', `service ${this.#head.service}`));
			return;
		}

		this.#triedServerIds = [...this.#triedServerIds, candidate.server.id];
		this.#attemptedAt = now;
		this.#options.loadTracker.addInFlight(candidate.server.id, 1);
		const target = {kind: 'egress', serverId: candidate.server.id} as const;
		this.#current = egress.openExchange({...this.#head, target, remainingMs}, this.#createHandler(candidate));
		this.#replayChunks.forEach(chunk => this.#current?.writeBody(chunk));
		if (this.#isBodyEnded) {
			this.#current.endBody();
		}
	}

	override writeBody(chunk: Uint8Array): void {
		this.#bodyBytes += chunk.length;
		this.#replayChunks = this.#isReplayable() ? [...this.#replayChunks, chunk] : [];
		this.#current?.writeBody(chunk);
	}

	override endBody(): void {
		this.#isBodyEnded = true;
		this.#current?.endBody();
	}

	override grantCredit(bytes: number): void {
		this.#current?.grantCredit(bytes);
	}

	override cancel(): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#removeInFlight();
		this.#current?.cancel();
	}

	/** True when a planned stop comes before the deadline and would break off an attempt that starts now. */
	#isTooLateForStop(remainingMs: number, now: number): boolean {
		const stopMs = this.#options.timeLimits.getLastAnswerAt() - now;
		return stopMs < remainingMs && stopMs < this.#options.timeLimits.computeMinStopTime(this.#head);
	}

	/** True while the whole body received so far is buffered: up to the first window, beyond which no credit was granted. */
	#isReplayable(): boolean {
		return this.#bodyBytes <= exchangeWindowBytes;
	}

	#createHandler({nodeId, server}: Candidate): ExchangeHandler {
		const {loadTracker, pathHealth} = this.#options;
		return {
			handleHead: head => {
				this.#status = head.status;
				pathHealth.recordSuccess(nodeId, performance.now());
				if (head.load) {
					loadTracker.recordHint(head.load);
				}

				this.#handler.handleHead(head);
			},
			handleData: this.#handler.handleData,
			handleCredit: this.#handler.handleCredit,
			handleEnd: () => {
				this.#isFinished = true;
				loadTracker.addInFlight(server.id, -1);
				if (this.#status < minServerErrorStatus) {
					this.#options.timeLimits.recordAnswer(this.#head, performance.now() - this.#attemptedAt);
				}

				this.#handler.handleEnd();
			},
			handleFailure: failure => {
				loadTracker.addInFlight(server.id, -1);
				if (pathFailures.has(failure.name)) {
					pathHealth.recordFailure(nodeId, performance.now());
				}

				this.#handleFailure(failure);
			},
		};
	}

	#handleFailure(failure: Failure): void {
		if (failure.ran !== 'not-run') {
			this.#firstUnknownFailure ??= failure;
		}

		if (this.#isRetryable(failure) && this.#options.retryPolicy.takeRetry(failure.ran === 'not-run', performance.now())) {
			this.#options.recordRetry();
			this.openAttempt(failure);
		} else {
			this.#fail(failure);
		}
	}

	#isRetryable(failure: Failure): boolean {
		const isSafe = failure.ran === 'not-run' || this.#head.isRepeatable;
		return isSafe && failure.resend !== 'never' && this.#status === 0 && this.#isReplayable() && this.#triedServerIds.length < maxAttempts;
	}

	/** Reports the last attempt's failure. "Not run" is reported only if no earlier attempt may have run. */
	#fail(last: Failure): void {
		const failure = last.ran === 'not-run' ? this.#firstUnknownFailure ?? last : last;
		this.#isFinished = true;
		queueMicrotask(() => {
			this.#handler.handleFailure(failure);
		});
	}

	#removeInFlight(): void {
		const serverId = this.#triedServerIds.at(-1);
		if (serverId !== undefined) {
			this.#options.loadTracker.addInFlight(serverId, -1);
		}
	}
}
