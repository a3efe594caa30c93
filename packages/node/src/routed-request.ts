/** What one routed request has tried so far, and what that leaves it to do. */
import {
	createFailure, type Failure, type RequestHead, type ResultName,
} from '@limpetbarrow/core';
import {type Tier} from '@limpetbarrow/choose';

/** Refusals by a node, before any backend server had the request. */
const undeliveredFailures: ReadonlySet<ResultName> = new Set([
	'serverUnwell', 'queueFull', 'queueDeadline', 'serverLeaving', 'serverNotHere', 'serverRefused', 'linkUnreachable', 'deadlinePassed', 'retriesSpent',
]);
const defaultMaxAttempts = 2;
/** Steps after which a request stops looking for a place. */
const maxSteps = 10;
const maxLastResorts = 2;
/** Backend servers without a retry to spare after which a request stops: the others are likely to have spent theirs too. */
const maxRetriesSpentRefusals = 2;
/** Bounds of the delay after which a refused caller is asked to come back, in milliseconds. */
const minRetryAfterMs = 150;
const maxRetryAfterMs = 1500;
const defaultRetryAfterMs = 400;

/** True when no backend server had the request. */
export function isUndelivered({name}: Failure): boolean {
	return undeliveredFailures.has(name);
}

/** Counts the hand-overs and refusals of one request. */
export class RoutedRequest {
	readonly head: RequestHead;
	readonly #openedAt: number;
	/** Backend servers that were handed the request, or may have been. */
	#attemptedServerIds: ReadonlySet<string> = new Set();
	readonly #refusalCounts = new Map<string, number>();
	readonly #tierLabels = new Map<string, string>();
	#stepCount = 0;
	#lastResortCount = 0;
	/** Backend servers that had no retry to spare; they are not asked again. */
	#retriesSpentServerIds: ReadonlySet<string> = new Set();
	#shortestWaitMs = Number.POSITIVE_INFINITY;
	#firstUnknownFailure: Failure | undefined;
	#lastFailure: Failure | undefined;
	#trace: readonly string[] = [];

	constructor(head: RequestHead, now: number) {
		this.head = head;
		this.#openedAt = now;
	}

	getRemainingMs(now: number): number {
		return this.head.remainingMs - (now - this.#openedAt);
	}

	getElapsedMs(now: number): number {
		return now - this.#openedAt;
	}

	/** The steps so far, for the log. */
	formatTrace(): string {
		return this.#trace.join(' ');
	}

	/** True when the request may be handed to that backend server: it has not been, and no retry was missing there. */
	isEligible(serverId: string): boolean {
		return !this.#attemptedServerIds.has(serverId) && !this.#retriesSpentServerIds.has(serverId);
	}

	countAttempts(): number {
		return this.#attemptedServerIds.size;
	}

	countRefusals(serverId: string): number {
		return this.#refusalCounts.get(serverId) ?? 0;
	}

	/** True when one more backend server may be handed the request. */
	hasAttemptLeft(): boolean {
		return this.#attemptedServerIds.size < (this.head.maxAttempts ?? defaultMaxAttempts);
	}

	/** True when one more could follow the next hand-over. */
	hasAttemptLeftAfterNext(): boolean {
		return this.#attemptedServerIds.size + 1 < (this.head.maxAttempts ?? defaultMaxAttempts);
	}

	/** True when the request may look for another place. */
	hasStepLeft(isLastResort: boolean): boolean {
		return this.#stepCount < maxSteps && this.#retriesSpentServerIds.size < maxRetriesSpentRefusals && !(isLastResort && this.#lastResortCount >= maxLastResorts);
	}

	recordStep(serverId: string, tier: Tier, isLastResort: boolean): void {
		this.#stepCount++;
		this.#tierLabels.set(serverId, isLastResort ? `${tier}!` : tier);
		this.#lastResortCount += Number(isLastResort);
		this.#attemptedServerIds = new Set([...this.#attemptedServerIds, serverId]);
	}

	/** Takes the end of a step. */
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
			this.#refusalCounts.set(serverId, this.countRefusals(serverId) + 1);
			this.#shortestWaitMs = Math.min(this.#shortestWaitMs, failure.retryAfterMs ?? Number.POSITIVE_INFINITY);
		}
	}

	recordResponse(serverId: string, status: number, now: number): void {
		this.#trace = [...this.#trace, `${serverId}/${this.#tierLabels.get(serverId) ?? ''}:${status}@${Math.round(this.getElapsedMs(now))}`];
	}

	/**
	 * What the caller is told: that it has not run only when no hand-over may have. A caller that may come back is told
	 * when a slot is likely to be free, a little spread so that not all come at once.
	 */
	createFailure(random: number): Failure {
		const failure = this.#firstUnknownFailure ?? this.#lastFailure ?? createFailure('noServer', `service ${this.head.service}`);
		if (failure.ran !== 'not-run') {
			return failure;
		}

		const waitMs = Number.isFinite(this.#shortestWaitMs) ? this.#shortestWaitMs : defaultRetryAfterMs;
		const retryAfterMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)) * (1 + (random / 2));
		return {...failure, retryAfterMs: Math.round(retryAfterMs)};
	}
}
