/** Measures the time that a backend server used for one request. */
import {type OutcomeKind, type WorkOutcome} from '@limpetbarrow/detect';

/** Longest time, and largest share of a request's time, by which its cancellation may come before its deadline and stand for it. */
const maxCancelLeadMs = 50;
const maxCancelLeadShare = 0.25;

/**
 * Computes the time before the deadline from which a cancellation stands for it, in milliseconds. Over a link the request may
 * have taken longer than its cancellation, which the other node sends at the same deadline.
 */
export function computeMaxCancelLead(totalMs: number): number {
	return Math.min(maxCancelLeadMs, totalMs * maxCancelLeadShare);
}

/** Monotonic times of one request, in milliseconds. */
export class RequestTiming {
	#startedAt = 0;
	#hasNoBody = false;
	#bodyEndedAt: number | undefined;
	#responseHeadAt: number | undefined;

	/** Records that the request is sent. */
	recordStart(hasNoBody: boolean): void {
		this.#startedAt = performance.now();
		this.#hasNoBody = hasNoBody;
	}

	/** Records that the request's body has ended. */
	recordBodyEnd(): void {
		this.#bodyEndedAt = performance.now();
	}

	/** Records that the head of the response has arrived. */
	recordResponseHead(): void {
		this.#responseHeadAt = performance.now();
	}

	/**
	 * Counts only the time that the backend server used: from the end of the request body to the response head. For an exchange
	 * that did not complete, the time goes on until now if the response head is missing or the caller has credit left for more
	 * of the body; time during which a slow caller held the response up does not count.
	 */
	createOutcome(kind: OutcomeKind, hasCredit: boolean): WorkOutcome {
		const at = performance.now();
		const isWaitingForServer = kind !== 'answered' && hasCredit;
		const from = Math.max(this.#startedAt, this.#bodyEndedAt ?? (this.#hasNoBody ? this.#startedAt : at));
		const until = this.#responseHeadAt === undefined || isWaitingForServer ? at : this.#responseHeadAt;
		return {at, kind, durationMs: Math.max(0, until - from)};
	}
}
