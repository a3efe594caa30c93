/** Health state machine of one backend server: ejection, probation, warming up and ready. */
import {type ServerState} from '@limpetbarrow/core';
import {type Detector} from './detector.js';
import {isBad, judgeOutcome} from './evidence.js';
import {type PolicyOptions} from './policies.js';
import {type Baseline, type WorkOutcome} from './types.js';

/** States that detection sets; the backend server itself sets `leaving`. */
export type HealthState = Exclude<ServerState, 'leaving'>;

const maxEjectionMs = 300_000;
const backOffFactor = 2;
/** Multiple of its last ejection time for which a backend server must have stayed ready to reset the back-off. */
const backOffResetFactor = 10;
/** Time without a trial after which a server on probation warms up anyway, since it may never get a repeatable request. */
const maxProbationIdleMs = 60_000;
/** Evidence that ends the test on probation either way, as a natural logarithm of odds: 20 to 1. */
const returnEvidenceThreshold = Math.log(20);
const minReturnSuccesses = 3;
/** Limits of the share of bad trials that is expected of a server that is still failing. */
const minFailingShare = 0.03;
const maxFailingShare = 0.9;
const badnessSteps = 10;

/** Computes the log-likelihood ratio of healthy to failing for one trial. */
function computeTrialEvidence(isBadTrial: boolean, healthyShare: number, failingShare: number): number {
	return Math.log(isBadTrial ? healthyShare / failingShare : (1 - healthyShare) / (1 - failingShare));
}

/** Health of one backend server. It reads no clock; all times are monotonic milliseconds given by the caller. */
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

	/** Badness at the last ejection, in tenths; 0 when ready or warming. */
	getBadness(): number {
		return this.#state === 'ready' || this.#state === 'warming' ? 0 : this.#badness;
	}

	/** Records one outcome. True when the evidence suffices for an ejection; the caller then compares with peers and decides. */
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

	/** Ejects the backend server, for a time that doubles with each ejection in close succession. */
	eject(now: number): void {
		const isBackOffReset = now - this.#changedAt > backOffResetFactor * this.#ejectionMs;
		const isFirst = this.#badness === 0;
		this.#ejectionMs = isFirst || isBackOffReset ? this.#options.ejectionMs : Math.min(maxEjectionMs, this.#ejectionMs * backOffFactor);
		this.#badness = Math.max(1, this.#currentBadness);
		this.#setState('ejected', now);
		this.#detector.clear();
	}

	/** Makes the state changes that are due: from ejected to probation, to warming, to ready. True when the state changed. */
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

	/** Sequential probability ratio test between healthy and failing as badly as at the ejection. */
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
