/**
 * Decides whether one backend server takes a request, from all that its own host knows.
 *
 * Only the backend server's own host sends to it, so the gate sees every outcome and the exact queue. It answers
 * gray failures (a sick server gets trials only, and none that may not be repeated) and uneven load (a request is told
 * the real wait at once, so that its sender can go elsewhere within its time). It answers shedding, by one backend server
 * or by all of a service, without refusing anything: work that was rejected has not run and is lost only with the last
 * retry, so senders are told to prefer others, and where all shed, each request still gets its try.
 */
import {createFailure, type Failure} from '@limpetbarrow/core';
import {FailureStateFilter, sheddingModel} from '@limpetbarrow/detect';
import {
	coldFactor, maxTrialIntervalMs, maxQueuedRequests, minTrialIntervalMs, maxObjectiveShare, maxFailingProbabilityRepeatable, sheddingProbabilityThreshold, maxFailingProbabilityUnrepeatable,
} from './constants.js';
import {estimateWait, type RunningRequest} from './wait-estimate.js';
import {type QueuedRequest} from './wait-queue.js';
import {DurationEstimator} from './duration-estimator.js';

/** What the gate looks at in a request. */
export type AdmissionRequest = {
	readonly route: string;
	readonly priority: number;
	/** True when a failure here would be followed by another attempt. */
	readonly isRetryable: boolean;
	/** Time left until the deadline, in milliseconds. */
	readonly remainingMs: number;
	/** Time in which the route's answers are worth most, in milliseconds. */
	readonly objectiveMs: number;
	/** Longest wait that the sender takes here, in milliseconds. */
	readonly patienceMs: number;
	readonly isLastResort: boolean;
};

/** Load of the backend server at this moment. */
export type ServerLoad = {
	readonly slots: number;
	readonly running: readonly RunningRequest[];
	/** Requests that would be started before the one in question. */
	readonly ahead: readonly QueuedRequest[];
	readonly waitingCount: number;
};

/** What became of a request, as far as it speaks for or against the backend server. */
export type ServerOutcome = 'well' | 'failed' | 'unreachable' | 'shed';

/** Gate before one backend server. Times are monotonic milliseconds given by the caller. */
export class AdmissionController {
	readonly #durations = new DurationEstimator();
	readonly #failureState: FailureStateFilter;
	readonly #sheddingState: FailureStateFilter;
	#coldUntil = 0;
	#trialIntervalMs = minTrialIntervalMs;
	#nextTrialAt = 0;
	#isUnreachable = false;

	constructor(now: number) {
		this.#failureState = new FailureStateFilter(now);
		this.#sheddingState = new FailureStateFilter(now, sheddingModel);
	}

	/** Takes how much longer the backend server is slow after its start. */
	setCold(coldMs: number, now: number): void {
		this.#coldUntil = now + coldMs;
	}

	recordOutcome(outcome: ServerOutcome, now: number): void {
		this.#isUnreachable = outcome === 'unreachable';
		this.#sheddingState.recordOutcome(outcome === 'shed', now);
		if (outcome === 'shed') {
			return;
		}

		this.#failureState.recordOutcome(outcome !== 'well', now);
		this.#trialIntervalMs = outcome === 'well' ? minTrialIntervalMs : this.#trialIntervalMs;
		this.#nextTrialAt = outcome === 'well' ? now : this.#nextTrialAt;
	}

	/** Takes the duration of an answer, from the hand-over on. */
	recordRequestDuration(route: string, durationMs: number): void {
		this.#durations.recordDuration(route, durationMs);
	}

	/** Expected duration of a request of that route now, in milliseconds. */
	estimateRequestDuration(route: string, now: number): number {
		return this.#durations.estimateDuration(route) * (now < this.#coldUntil ? coldFactor : 1);
	}

	/** Probability that the backend server is in a spell of failing. */
	estimateFailingProbability(now: number): number {
		return this.#failureState.estimateProbability(now);
	}

	isUnwell(now: number): boolean {
		return this.#isUnreachable || this.estimateFailingProbability(now) > maxFailingProbabilityRepeatable;
	}

	/** True while the backend server rejects a large part of its work. */
	isShedding(now: number): boolean {
		return this.#sheddingState.estimateProbability(now) > sheddingProbabilityThreshold;
	}

	/** Time until a request that came now would get a slot, in milliseconds. */
	estimateWait({slots, running, ahead}: ServerLoad, now: number): number {
		return estimateWait(slots, running, ahead, now);
	}

	/**
	 * Longest time a request may wait here, in milliseconds. What can't be answered while it is worth most is refused at
	 * once: a queue of late requests makes those behind it late as well and serves no more of them.
	 */
	computeMaxWait({route, patienceMs, remainingMs}: Pick<AdmissionRequest, 'route' | 'patienceMs' | 'remainingMs'>, now: number): number {
		return Math.max(0, Math.min(patienceMs, remainingMs - this.estimateRequestDuration(route, now)));
	}

	/** Why the request is not taken; undefined when it is. */
	findRefusal(request: AdmissionRequest, load: ServerLoad, now: number): Failure | undefined {
		const waitMs = this.estimateWait(load, now);
		const workMs = this.estimateRequestDuration(request.route, now);
		if (load.waitingCount >= maxQueuedRequests) {
			return createFailure('queueFull', `${load.waitingCount} requests wait`, waitMs);
		}

		if (waitMs > this.computeMaxWait(request, now)) {
			const {patienceMs, remainingMs} = request;
			return createFailure('queueDeadline', `wait ${Math.round(waitMs)} ms and work ${Math.round(workMs)} ms, patience ${Math.round(patienceMs)} ms, ${Math.round(remainingMs)} ms left`, waitMs);
		}

		return request.isLastResort ? undefined : this.#findHealthRefusal(request, workMs, load, now);
	}

	/** A backend server that fails, or whose work alone takes the whole objective, gets one trial at a time. */
	#findHealthRefusal({isRetryable, objectiveMs}: AdmissionRequest, workMs: number, {running}: ServerLoad, now: number): Failure | undefined {
		const failingProbability = this.estimateFailingProbability(now);
		const isSlow = workMs > objectiveMs * maxObjectiveShare;
		if (!isSlow && !this.#isUnreachable && failingProbability <= (isRetryable ? maxFailingProbabilityRepeatable : maxFailingProbabilityUnrepeatable)) {
			return undefined;
		}

		if (isRetryable && running.length === 0 && now >= this.#nextTrialAt) {
			this.#trialIntervalMs = Math.min(maxTrialIntervalMs, this.#trialIntervalMs * 2);
			this.#nextTrialAt = now + this.#trialIntervalMs;
			return undefined;
		}

		return createFailure('serverUnwell', `failingProbability ${failingProbability.toFixed(2)}, work ${Math.round(workMs)} ms${this.#isUnreachable ? ', no connection' : ''}`);
	}
}
