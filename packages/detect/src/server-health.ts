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
const backOffResetFactor = 10;
/** Time on probation without a trial after which the server warms all the same, since it may never get a repeatable request. */
const maxProbationIdleMs = 60_000;
const returnEvidenceThreshold = Math.log(20);
const minReturnSuccesses = 3;
const minFailingShare = 0.03;
const maxFailingShare = 0.9;
const badnessSteps = 10;

function computeTrialEvidence(isBadTrial: boolean, healthyShare: number, failingShare: number): number {
	return Math.log(isBadTrial ? healthyShare / failingShare : (1 - healthyShare) / (1 - failingShare));
}

/** One backend server; pure but for the evidence it keeps. All times are monotonic milliseconds given by the caller. */
export class ServerHealth {
	readonly #detector: Detector;
	readonly #options: PolicyOptions;
	#state: HealthState = 'warming';
	#changedAt: number;
	#ejectionMs: number;
	#badness = 0;
	#currentBadness = 0;
	#trialEvidence = 0;
	#trialSuccesses = 0;
	#lastTrialAt = 0;

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
		this.#currentBadness = badness;
		return isFailing;
	}

	/** Puts the backend server out of use. */
	eject(now: number): void {
		const isBackOffReset = now - this.#changedAt > backOffResetFactor * this.#ejectionMs;
		const isFirst = this.#badness === 0;
		this.#ejectionMs = isFirst || isBackOffReset ? this.#options.ejectionMs : Math.min(maxEjectionMs, this.#ejectionMs * backOffFactor);
		this.#badness = Math.max(1, this.#currentBadness);
		this.#setState('ejected', now);
		this.#detector.clear();
	}

	/** Moves on with time: from ejected to probation, from warming to ready. True when the state changed. */
	sweep(now: number): boolean {
		const age = now - this.#changedAt;
		if (this.#state === 'ejected' && age >= this.#ejectionMs) {
			this.#trialEvidence = 0;
			this.#trialSuccesses = 0;
			this.#lastTrialAt = now;
			this.#setState('probation', now);
			return true;
		}

		if (this.#state === 'probation' && now - this.#lastTrialAt >= maxProbationIdleMs) {
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
		this.#lastTrialAt = outcome.at;
		const healthyShare = baseline.failureShare + baseline.slowShare;
		const isServiceDegraded = healthyShare > maxFailingShare / 2;
		const failingShare = Math.min(maxFailingShare, Math.max(minFailingShare, healthyShare * 2, this.#badness / badnessSteps));
		this.#trialEvidence += computeTrialEvidence(isBadTrial && !isServiceDegraded, Math.min(healthyShare, maxFailingShare / 2), failingShare);
		this.#trialSuccesses += Number(!isBadTrial || isServiceDegraded);
		if (this.#trialEvidence <= -returnEvidenceThreshold) {
			this.eject(outcome.at);
		} else if (this.#trialEvidence >= returnEvidenceThreshold && this.#trialSuccesses >= minReturnSuccesses) {
			this.#setState('warming', outcome.at);
		}
	}

	#setState(state: HealthState, now: number): void {
		this.#state = state;
		this.#changedAt = now;
	}
}
