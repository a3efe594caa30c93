/** State of one backend server between ready and ejected, and its way back. */
import {type ServerState} from '@limpetbarrow/core';
import {type Detector} from './detector.js';
import {isBad, judgeOutcome} from './evidence.js';
import {type PolicyOptions} from './policies.js';
import {type Baseline, type WorkOutcome} from './types.js';

/** States that detection decides; leaving is the backend server's own decision. */
export type HealthState = Exclude<ServerState, 'leaving'>;

const maxEjectionMs = 300_000;
const backOffFactor = 2;
/** A backend server that stayed ready this many times its last ejection starts with the shortest wait again. */
const forgivenAfter = 10;
/** Time on probation without a trial after which the server warms all the same, since it may never get a repeatable request. */
const maxIdleTrialMs = 60_000;
const returnEvidence = Math.log(20);
const minReturnSuccesses = 3;
const minSickShare = 0.03;
const maxSickShare = 0.9;
const badnessSteps = 10;

function computeTrialEvidence(isBadTrial: boolean, healthyShare: number, sickShare: number): number {
	return Math.log(isBadTrial ? healthyShare / sickShare : (1 - healthyShare) / (1 - sickShare));
}

/** One backend server; pure but for the evidence it keeps. All times are monotonic milliseconds given by the caller. */
export class ServerHealth {
	readonly #detector: Detector;
	readonly #options: PolicyOptions;
	#state: HealthState = 'warming';
	#changedAt: number;
	#ejectionMs: number;
	#badness = 0;
	#lastBadness = 0;
	#evidence = 0;
	#successes = 0;
	#trialAt = 0;

	constructor(detector: Detector, options: PolicyOptions, now: number) {
		this.#detector = detector;
		this.#options = options;
		this.#changedAt = now;
		this.#ejectionMs = options.ejectionMs;
	}

	getState(): HealthState {
		return this.#state;
	}

	/** Badness at the last ejection, in tenths; 0 when ready. */
	getBadness(): number {
		return this.#state === 'ready' || this.#state === 'warming' ? 0 : this.#badness;
	}

	/** Takes one outcome. True when the evidence is enough to eject; the owner then compares with peers and decides. */
	recordOutcome(outcome: WorkOutcome, baseline: Baseline): boolean {
		if (this.#state === 'probation') {
			this.#recordTrial(outcome, baseline);
			return false;
		}

		if (this.#state === 'ejected') {
			return false;
		}

		const isWarming = this.#state === 'warming';
		const {isFailing, badness} = this.#detector.recordOutcome(outcome, isWarming ? {...baseline, slowMs: Number.POSITIVE_INFINITY} : baseline);
		this.#lastBadness = badness;
		return isFailing;
	}

	/** Puts the backend server out of use. */
	eject(now: number): void {
		const isForgiven = now - this.#changedAt > forgivenAfter * this.#ejectionMs;
		const isFirst = this.#badness === 0;
		this.#ejectionMs = isFirst || isForgiven ? this.#options.ejectionMs : Math.min(maxEjectionMs, this.#ejectionMs * backOffFactor);
		this.#badness = Math.max(1, this.#lastBadness);
		this.#setState('ejected', now);
		this.#detector.clear();
	}

	/** Moves on with time: from ejected to probation, from warming to ready. True when the state changed. */
	sweep(now: number): boolean {
		const age = now - this.#changedAt;
		if (this.#state === 'ejected' && age >= this.#ejectionMs) {
			this.#evidence = 0;
			this.#successes = 0;
			this.#trialAt = now;
			this.#setState('probation', now);
			return true;
		}

		if (this.#state === 'probation' && now - this.#trialAt >= maxIdleTrialMs) {
			this.#setState('warming', now);
			return true;
		}

		if (this.#state === 'warming' && age >= this.#options.warmingMs) {
			this.#setState('ready', now);
			return true;
		}

		return false;
	}

	/** Sequential probability ratio test between as sick as when ejected and healthy. */
	#recordTrial(outcome: WorkOutcome, baseline: Baseline): void {
		const evidence = judgeOutcome(outcome, baseline);
		if (evidence.isFailure === undefined && evidence.isSlow === undefined) {
			return;
		}

		const isBadTrial = isBad(evidence);
		this.#trialAt = outcome.at;
		const healthyShare = baseline.failureShare + baseline.slowShare;
		const isServiceSick = healthyShare > maxSickShare / 2;
		const sickShare = Math.min(maxSickShare, Math.max(minSickShare, healthyShare * 2, this.#badness / badnessSteps));
		this.#evidence += computeTrialEvidence(isBadTrial && !isServiceSick, Math.min(healthyShare, maxSickShare / 2), sickShare);
		this.#successes += Number(!isBadTrial || isServiceSick);
		if (this.#evidence <= -returnEvidence) {
			this.eject(outcome.at);
		} else if (this.#evidence >= returnEvidence && this.#successes >= minReturnSuccesses) {
			this.#setState('warming', outcome.at);
		}
	}

	#setState(state: HealthState, now: number): void {
		this.#state = state;
		this.#changedAt = now;
	}
}
