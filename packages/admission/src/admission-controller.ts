/**
 * Decides whether one backend server takes a request, from what its own host observes.
 *
 * Only the backend server's own host sends to it, so the controller sees every outcome and the exact queue.
 *
 * - Gray failures: a failing server gets trials only, and no request that can't be retried.
 * - Uneven load: a refusal states the expected wait at once, so that the sender can go elsewhere in time.
 * - Load shedding, by one backend server or by all of a service: nothing is refused for it. Rejected work has not run and
 *   is lost only with the last retry. So senders are told to prefer other servers, and each request still gets an attempt
 *   when all servers shed.
 */
import {createFailure, type Failure} from '@limpetbarrow/core';
import {FailureStateFilter, sheddingModel} from '@limpetbarrow/detect';
import {
	coldFactor, maxConcurrentTrials, maxTrialPauseMs, maxQueuedRequests, minTrialPauseMs, maxObjectiveShare, maxFailingProbabilityRetryable, sheddingProbabilityThreshold, maxFailingProbabilityUnretryable,
} from './constants.js';
import {estimateWait, type RunningRequest} from './wait-estimate.js';
import {type QueuedRequest} from './wait-queue.js';
import {DurationEstimator} from './duration-estimator.js';

/** The properties of a request that admission depends on. */
export type AdmissionRequest = {
	readonly route: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** True when a failure here would be followed by another attempt. */
	readonly isRetryable: boolean;
	/** Time left until the deadline, in milliseconds. */
	readonly remainingMs: number;
	/** Latency objective of the route, in milliseconds. */
	readonly objectiveMs: number;
	/** Longest queueing time that the sender accepts here, in milliseconds. */
	readonly patienceMs: number;
	/** True when the sender has no other server left to try; the request is then taken even when this one is failing. */
	readonly isLastResort: boolean;
};

/** Current load of the backend server. */
export type ServerLoad = {
	readonly slots: number;
	readonly running: readonly RunningRequest[];
	/** Queued requests that would be started before the one in question. */
	readonly ahead: readonly QueuedRequest[];
	/** Number of all queued requests, without one that would give way to this one. */
	readonly waitingCount: number;
	/** Time until the limit that the backend server names lets the request start, in milliseconds; absent without a limit. */
	readonly limitWaitMs?: number;
};

/**
 * Outcome of a request, as evidence of the backend server's health.
 *
 * - `well`: the server did its work.
 * - `failed`: the server failed the request.
 * - `unreachable`: no connection to the server could be opened.
 * - `shed`: the server rejected the request without running it.
 */
export type ServerOutcome = 'well' | 'failed' | 'unreachable' | 'shed';

/** Admission control of one backend server. Times are monotonic milliseconds given by the caller. */
export class AdmissionController {
	readonly #times = new DurationEstimator();
	readonly #failureState: FailureStateFilter;
	readonly #shedding: FailureStateFilter;
	#coldUntil = 0;
	#trialPauseMs = minTrialPauseMs;
	#nextTrialAt = 0;
	/** Trials that may run at once. */
	#maxTrials = 1;
	#isUnreachable = false;
	#lastFailureAt = Number.NEGATIVE_INFINITY;

	constructor(now: number) {
		this.#failureState = new FailureStateFilter(now);
		this.#shedding = new FailureStateFilter(now, sheddingModel);
	}

	/** Sets for how much longer the backend server is slow after a cold start, in milliseconds. */
	setCold(coldMs: number, now: number): void {
		this.#coldUntil = now + coldMs;
	}

	/** Updates the health estimates and the trial interval. */
	recordOutcome(outcome: ServerOutcome, now: number): void {
		this.#isUnreachable = outcome === 'unreachable';
		this.#shedding.recordOutcome(outcome === 'shed', now);
		if (outcome === 'shed') {
			return;
		}

		this.#lastFailureAt = outcome === 'well' ? this.#lastFailureAt : now;
		this.#maxTrials = outcome === 'well' ? Math.min(maxConcurrentTrials, this.#maxTrials * 2) : 1;
		this.#failureState.recordOutcome(outcome !== 'well', now);
		this.#trialPauseMs = outcome === 'well' ? minTrialPauseMs : this.#trialPauseMs;
		this.#nextTrialAt = outcome === 'well' ? now : this.#nextTrialAt;
	}

	/** Records the duration of a request, from its dispatch to the backend server until the end of the answer. */
	recordWork(route: string, durationMs: number): void {
		this.#times.recordDuration(route, durationMs);
	}

	/** Estimates the duration of a request of the route now, in milliseconds. */
	estimateWork(route: string, now: number): number {
		return this.#times.estimateDuration(route) * (now < this.#coldUntil ? coldFactor : 1);
	}

	/** Estimates the probability that the backend server is failing, from 0 to 1. */
	estimateFailingProbability(now: number): number {
		return this.#failureState.estimateProbability(now);
	}

	/** True while the backend server is unreachable or probably failing, and takes trials only. */
	isUnwell(now: number): boolean {
		return this.#isUnreachable || this.estimateFailingProbability(now) > maxFailingProbabilityRetryable;
	}

	/** True while the backend server is healthy enough for a request whose failure would, or would not, be followed by a retry. */
	isFitFor({isRetryable}: Pick<AdmissionRequest, 'isRetryable'>, now: number): boolean {
		const maxProbability = isRetryable ? maxFailingProbabilityRetryable : maxFailingProbabilityUnretryable;
		return !this.#isUnreachable && this.estimateFailingProbability(now) <= maxProbability;
	}

	/** True while the backend server probably sheds load. */
	isShedding(now: number): boolean {
		return this.#shedding.estimateProbability(now) > sheddingProbabilityThreshold;
	}

	/** Estimates the time until a request that arrives now would be started, in milliseconds. */
	estimateWait({slots, running, ahead, limitWaitMs = 0}: ServerLoad, now: number): number {
		return Math.max(limitWaitMs, estimateWait(slots, running, ahead, now));
	}

	/**
	 * Computes the longest time that a request may wait here, in milliseconds. Requests that would be late are refused at
	 * once, since a queue of late requests delays those behind it without answering more of them.
	 */
	computeMaxWait({route, patienceMs, remainingMs}: Pick<AdmissionRequest, 'route' | 'patienceMs' | 'remainingMs'>, now: number): number {
		return Math.max(0, Math.min(patienceMs, remainingMs - this.estimateWork(route, now)));
	}

	/** Finds the reason to refuse the request: `queueFull`, `queueDeadline` or `serverUnwell`; undefined when it is taken. */
	findRefusal(request: AdmissionRequest, load: ServerLoad, now: number): Failure | undefined {
		const waitMs = this.estimateWait(load, now);
		const workMs = this.estimateWork(request.route, now);
		if (load.waitingCount >= maxQueuedRequests) {
			return createFailure('queueFull', `${load.waitingCount} requests are queued`, waitMs);
		}

		const maxWaitMs = this.computeMaxWait(request, now);
		if ((load.limitWaitMs ?? 0) > maxWaitMs) {
			return createFailure('queueFull', 'the limit that the backend server names is reached', waitMs);
		}

		if (waitMs > maxWaitMs) {
			return createFailure('queueDeadline', this.#formatWait(request, load, {waitMs, workMs}), waitMs);
		}

		return request.isLastResort ? undefined : this.#findHealthRefusal(request, workMs, load, now);
	}

	#formatWait({route, patienceMs, remainingMs}: AdmissionRequest, {ahead, waitingCount, running}: ServerLoad, {waitMs, workMs}: {readonly waitMs: number; readonly workMs: number}): string {
		const source = this.#times.hasRecord(route) ? '' : ' (no record of the route)';
		return `expected wait ${Math.round(waitMs)} ms behind ${ahead.length} of ${waitingCount} queued and ${running.length} running requests, expected duration ${Math.round(workMs)} ms${source}, `
			+ `longest accepted wait ${Math.round(patienceMs)} ms, ${Math.round(remainingMs)} ms until the deadline`;
	}

	/**
	 * A backend server that is failing or unreachable, or whose expected duration takes up the latency objective, gets one
	 * trial at a time; a failing one gets twice as many after each that succeeds, so that it returns soon after a spell.
	 * Requests that it began before its last failure are no trials and don't delay one.
	 */
	#findHealthRefusal(request: AdmissionRequest, workMs: number, {running}: ServerLoad, now: number): Failure | undefined {
		const isSlow = workMs > request.objectiveMs * maxObjectiveShare;
		if (!isSlow && this.isFitFor(request, now)) {
			return undefined;
		}

		const trials = running.filter(({startedAt}) => startedAt > this.#lastFailureAt).length;
		const maxTrials = isSlow ? 1 : this.#maxTrials;
		if (request.isRetryable && trials < maxTrials && now >= this.#nextTrialAt) {
			this.#trialPauseMs = Math.min(maxTrialPauseMs, this.#trialPauseMs * 2);
			this.#nextTrialAt = now + (maxTrials > 1 ? 0 : this.#trialPauseMs);
			return undefined;
		}

		return createFailure('serverUnwell', `failing with probability ${this.estimateFailingProbability(now).toFixed(2)}, expected duration ${Math.round(workMs)} ms${this.#isUnreachable ? ', no connection' : ''}`);
	}
}
