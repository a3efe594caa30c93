/** The state of one routed request: its attempts and refusals so far, and the limits on further ones. */
import {
	createFailure, type Failure, type RequestHead, type ResultName,
} from '@limpetbarrow/core';
import {choosePause, type Tier} from '@limpetbarrow/choose';
import {type RequestTimeLimits} from './request-time-limits.js';

/** Failures that occur before a backend server has received the request. */
const undeliveredFailures: ReadonlySet<ResultName> = new Set([
	'serverUnwell', 'queueFull', 'queueDeadline', 'serverLeaving', 'serverNotHere', 'serverRefused', 'linkUnreachable', 'deadlinePassed', 'retriesSpent',
]);
/** Failures that say that a healthy backend server has no room in time. */
const roomFailures: ReadonlySet<ResultName> = new Set(['queueFull', 'queueDeadline']);
const defaultMaxAttempts = 2;
/** Number of times that backend servers are asked for one request, at most; repeated asks of the same one count too. */
const maxSteps = 10;
const maxLastResorts = 2;
/**
 * Number of `retriesSpent` refusals after which a request stops, as the other backend servers have probably spent their
 * retry budgets too.
 */
const maxRetriesSpentRefusals = 2;
/** Bounds of the retry delay sent to a refused caller, before it is spread, in milliseconds. */
const minRetryAfterMs = 150;
const maxRetryAfterMs = 1500;
const defaultRetryAfterMs = 400;

/** Remaining time below which no further attempt is made, in milliseconds. */
const minRemainingMs = 10;
const minServerErrorStatus = 500;

/** True when no backend server has received the request. */
export function isUndelivered({name}: Failure): boolean {
	return undeliveredFailures.has(name);
}

/** Tracks the attempts and refusals of one request. */
export class RoutedRequest {
	readonly head: RequestHead;
	readonly #openedAt: number;
	readonly #timeLimits: RequestTimeLimits;
	readonly #stepStartedAt = new Map<string, number>();
	/** Backend servers that have received the request, or may have. */
	#attemptedServerIds: ReadonlySet<string> = new Set();
	readonly #refusalCounts = new Map<string, number>();
	readonly #tierLabels = new Map<string, string>();
	#stepCount = 0;
	#lastResortCount = 0;
	/** Backend servers whose retry budget was spent; they are not asked again. */
	#retriesSpentServerIds: ReadonlySet<string> = new Set();
	#shortestWaitMs = Number.POSITIVE_INFINITY;
	/** True once a backend server's full queue, or the limit that it names, has refused the request: the wait is known then. */
	#isWaitKnown = false;
	#firstUnknownFailure: Failure | undefined;
	#lastFailure: Failure | undefined;
	#trace: readonly string[] = [];
	#pauseCount = 0;
	/** Refusals since the last pause, and those among them for lack of room. */
	#refusals = 0;
	#roomRefusals = 0;

	constructor(head: RequestHead, now: number, timeLimits: RequestTimeLimits) {
		this.head = head;
		this.#openedAt = now;
		this.#timeLimits = timeLimits;
	}

	/** Time left until the deadline, or until a planned stop ends the request. */
	getRemainingMs(now: number): number {
		return Math.min(this.#openedAt + this.head.remainingMs, this.#timeLimits.getLastAnswerAt()) - now;
	}

	/** True when a planned stop ends the request before its own deadline. */
	isEndedByStop(): boolean {
		return this.#timeLimits.getLastAnswerAt() < this.#openedAt + this.head.remainingMs;
	}

	/**
	 * Least time that must be left for another attempt, in milliseconds. After a pause, an answer of the route has to fit in,
	 * else the attempt would be broken off at the deadline; while the node stops, even if it takes longer than usual.
	 */
	getMinAttemptMs(isPaused = this.#pauseCount > 0): number {
		return Math.max(minRemainingMs, this.isEndedByStop()
			? this.#timeLimits.computeMinStopTime(this.head)
			: this.#timeLimits.estimateAnswer(this.head) * Number(isPaused));
	}

	getElapsedMs(now: number): number {
		return now - this.#openedAt;
	}

	/** Formats the steps so far for the log. */
	formatTrace(): string {
		return this.#trace.join(' ');
	}

	/**
	 * True when the request may be sent to that backend server: it has not received it, nor refused it for lack of retry
	 * budget.
	 */
	isEligible(serverId: string): boolean {
		return !this.hasAttempted(serverId) && !this.#retriesSpentServerIds.has(serverId);
	}

	/** True when the backend server has received the request, or may have. */
	hasAttempted(serverId: string): boolean {
		return this.#attemptedServerIds.has(serverId);
	}

	countAttempts(): number {
		return this.#attemptedServerIds.size;
	}

	countRefusals(serverId: string): number {
		return this.#refusalCounts.get(serverId) ?? 0;
	}

	/** True when the request may be sent to one more backend server. */
	hasAttemptLeft(): boolean {
		return this.#attemptedServerIds.size < (this.head.maxAttempts ?? defaultMaxAttempts);
	}

	/** True when the request may be sent again after the failure. */
	isRetriedAfter(failure: Failure): boolean {
		return isUndelivered(failure) || ((failure.ran === 'not-run' || this.head.isRepeatable) && this.hasAttemptLeft());
	}

	/** True when the request could be sent to yet another backend server after the next one. */
	hasAttemptLeftAfterNext(): boolean {
		return this.#attemptedServerIds.size + 1 < (this.head.maxAttempts ?? defaultMaxAttempts);
	}

	/** True when another backend server may be asked. */
	hasStepLeft(isLastResort: boolean): boolean {
		return this.#stepCount < maxSteps && this.#retriesSpentServerIds.size < maxRetriesSpentRefusals && !(isLastResort && this.#lastResortCount >= maxLastResorts);
	}

	/** Chooses the length of a pause before the backend servers are asked again; undefined if there is no time for one. */
	choosePause(now: number, random: number): number | undefined {
		const {objectiveMs = this.head.remainingMs} = this.head;
		return choosePause({
			remainingMs: this.getRemainingMs(now), objectiveMs, pauses: this.#pauseCount, refusals: this.#refusals, roomRefusals: this.#roomRefusals,
		}, random);
	}

	/** Records the end of a pause: refusals from before it no longer count. */
	recordPause(now: number): void {
		this.#pauseCount++;
		this.#stepCount = 0;
		this.#refusalCounts.clear();
		this.#refusals = 0;
		this.#roomRefusals = 0;
		this.#retriesSpentServerIds = new Set();
		this.#trace = [...this.#trace, `pause@${Math.round(this.getElapsedMs(now))}`];
	}

	recordStep(serverId: string, {tier, isLastResort}: {readonly tier: Tier; readonly isLastResort: boolean}, now: number): void {
		this.#stepStartedAt.set(serverId, now);
		this.#stepCount++;
		this.#tierLabels.set(serverId, isLastResort ? `${tier}!` : tier);
		this.#lastResortCount += Number(isLastResort);
		this.#attemptedServerIds = new Set([...this.#attemptedServerIds, serverId]);
	}

	/** Records the failure of a step. An undelivered request doesn't count as an attempt. */
	recordFailure(serverId: string, failure: Failure, now: number): void {
		this.#trace = [...this.#trace, `${serverId}/${this.#tierLabels.get(serverId) ?? ''}:${failure.code}@${Math.round(this.getElapsedMs(now))}`];
		this.#lastFailure = failure;
		if (failure.ran !== 'not-run') {
			this.#firstUnknownFailure ??= failure;
		}

		if (failure.name === 'retriesSpent') {
			this.#retriesSpentServerIds = new Set([...this.#retriesSpentServerIds, serverId]);
		}

		if (isUndelivered(failure)) {
			this.#attemptedServerIds = new Set([...this.#attemptedServerIds].filter(id => id !== serverId));
			this.#refusals++;
			this.#roomRefusals += Number(roomFailures.has(failure.name));
			this.#isWaitKnown ||= failure.name === 'queueFull';
			this.#refusalCounts.set(serverId, this.countRefusals(serverId) + 1);
			this.#shortestWaitMs = Math.min(this.#shortestWaitMs, failure.retryAfterMs ?? Number.POSITIVE_INFINITY);
		}
	}

	/** Records that all backend servers left are at their limits; the first one has room after `waitMs`. */
	recordLimits(waitMs: number): void {
		this.#isWaitKnown = true;
		this.#refusals++;
		this.#roomRefusals++;
		this.#shortestWaitMs = Math.min(this.#shortestWaitMs, waitMs);
	}

	/** True when a backend server may have run the request without answering it. */
	hasUnknownOutcome(): boolean {
		return this.#firstUnknownFailure !== undefined;
	}

	recordResponse(serverId: string, status: number, now: number): void {
		if (status < minServerErrorStatus) {
			this.#timeLimits.recordAnswer(this.head, now - (this.#stepStartedAt.get(serverId) ?? now));
		}

		this.#trace = [...this.#trace, `${serverId}/${this.#tierLabels.get(serverId) ?? ''}:${status}@${Math.round(this.getElapsedMs(now))}`];
	}

	/**
	 * Creates the failure sent to the caller. "Not run" is reported only if no attempt may have run. A caller that may retry
	 * gets the delay after which a slot is likely to be free, randomly extended by up to half so that callers don't all
	 * return at once.
	 */
	createFailure(random: number): Failure {
		const failure = this.#firstUnknownFailure ?? this.#lastFailure ?? this.#createFailureWithoutAttempt();
		if (failure.ran !== 'not-run') {
			return failure;
		}

		const waitMs = Number.isFinite(this.#shortestWaitMs) ? this.#shortestWaitMs : defaultRetryAfterMs;
		const retryAfterMs = Math.min(this.#isWaitKnown ? Number.POSITIVE_INFINITY : maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)) * (1 + (random / 2));
		return {...failure, retryAfterMs: Math.round(retryAfterMs)};
	}

	#createFailureWithoutAttempt(): Failure {
		if (this.#isWaitKnown) {
			return createFailure('queueFull', `all backend servers of service ${this.head.service} are at their limits`);
		}

		return this.isEndedByStop()
			? createFailure('nodeStopping', 'too little time is left before the node stops')
			: createFailure('noServer', `service ${this.head.service}`);
	}
}
