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
import {SicknessFilter, sheddingSpells} from '@limpetbarrow/detect';
import {
	coldFactor, maxTrialPauseMs, maxWaiting, minTrialPauseMs, objectiveShare, repeatableSickness, sheddingBound, unrepeatableSickness,
} from './constants.js';
import {estimateWait, type Running} from './slot-forecast.js';
import {type Waiting} from './wait-queue.js';
import {WorkTimes} from './work-times.js';

/** What the gate looks at in a request. */
export type GateRequest = {
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
export type GateLoad = {
	readonly slots: number;
	readonly running: readonly Running[];
	/** Requests that would be started before the one in question. */
	readonly ahead: readonly Waiting[];
	readonly waitingCount: number;
};

/** What became of a request, as far as it speaks for or against the backend server. */
export type GateOutcome = 'well' | 'failed' | 'unreachable' | 'shed';

/** Gate before one backend server. Times are monotonic milliseconds given by the caller. */
export class ServerGate {
	readonly #times = new WorkTimes();
	readonly #sickness: SicknessFilter;
	readonly #shedding: SicknessFilter;
	#coldUntil = 0;
	#trialPauseMs = minTrialPauseMs;
	#nextTrialAt = 0;
	#isUnreachable = false;

	constructor(now: number) {
		this.#sickness = new SicknessFilter(now);
		this.#shedding = new SicknessFilter(now, sheddingSpells);
	}

	/** Takes how much longer the backend server is slow after its start. */
	setCold(coldMs: number, now: number): void {
		this.#coldUntil = now + coldMs;
	}

	recordOutcome(outcome: GateOutcome, now: number): void {
		this.#isUnreachable = outcome === 'unreachable';
		this.#shedding.recordOutcome(outcome === 'shed', now);
		if (outcome === 'shed') {
			return;
		}

		this.#sickness.recordOutcome(outcome !== 'well', now);
		this.#trialPauseMs = outcome === 'well' ? minTrialPauseMs : this.#trialPauseMs;
		this.#nextTrialAt = outcome === 'well' ? now : this.#nextTrialAt;
	}

	/** Takes the duration of an answer, from the hand-over on. */
	recordWork(route: string, durationMs: number): void {
		this.#times.recordWork(route, durationMs);
	}

	/** Expected duration of a request of that route now, in milliseconds. */
	estimateWork(route: string, now: number): number {
		return this.#times.estimateWork(route) * (now < this.#coldUntil ? coldFactor : 1);
	}

	/** Probability that the backend server is in a spell of failing. */
	estimateSickness(now: number): number {
		return this.#sickness.estimateShare(now);
	}

	isUnwell(now: number): boolean {
		return this.#isUnreachable || this.estimateSickness(now) > repeatableSickness;
	}

	/** True while the backend server rejects a large part of its work. */
	isShedding(now: number): boolean {
		return this.#shedding.estimateShare(now) > sheddingBound;
	}

	/** Time until a request that came now would get a slot, in milliseconds. */
	estimateWait({slots, running, ahead}: GateLoad, now: number): number {
		return estimateWait(slots, running, ahead, now);
	}

	/**
	 * Longest time a request may wait here, in milliseconds. What can't be answered while it is worth most is refused at
	 * once: a queue of late requests makes those behind it late as well and serves no more of them.
	 */
	computeLongestWait({route, patienceMs, remainingMs}: Pick<GateRequest, 'route' | 'patienceMs' | 'remainingMs'>, now: number): number {
		return Math.max(0, Math.min(patienceMs, remainingMs - this.estimateWork(route, now)));
	}

	/** Why the request is not taken; undefined when it is. */
	findRefusal(request: GateRequest, load: GateLoad, now: number): Failure | undefined {
		const waitMs = this.estimateWait(load, now);
		const workMs = this.estimateWork(request.route, now);
		if (load.waitingCount >= maxWaiting) {
			return createFailure('queueFull', `${load.waitingCount} requests wait`, waitMs);
		}

		if (waitMs > this.computeLongestWait(request, now)) {
			const {patienceMs, remainingMs} = request;
			return createFailure('queueDeadline', `wait ${Math.round(waitMs)} ms and work ${Math.round(workMs)} ms, patience ${Math.round(patienceMs)} ms, ${Math.round(remainingMs)} ms left`, waitMs);
		}

		return request.isLastResort ? undefined : this.#findSickRefusal(request, workMs, load, now);
	}

	/** A backend server that fails, or whose work alone takes the whole objective, gets one trial at a time. */
	#findSickRefusal({isRetryable, objectiveMs}: GateRequest, workMs: number, {running}: GateLoad, now: number): Failure | undefined {
		const sickness = this.estimateSickness(now);
		const isSlow = workMs > objectiveMs * objectiveShare;
		if (!isSlow && !this.#isUnreachable && sickness <= (isRetryable ? repeatableSickness : unrepeatableSickness)) {
			return undefined;
		}

		if (isRetryable && running.length === 0 && now >= this.#nextTrialAt) {
			this.#trialPauseMs = Math.min(maxTrialPauseMs, this.#trialPauseMs * 2);
			this.#nextTrialAt = now + this.#trialPauseMs;
			return undefined;
		}

		return createFailure('serverUnwell', `sickness ${sickness.toFixed(2)}, work ${Math.round(workMs)} ms${this.#isUnreachable ? ', no connection' : ''}`);
	}
}
