/** Judges one backend server from the outcomes of its real work. */
import {isBad, judgeOutcome} from './evidence.js';
import {MixtureTest, type Alternative} from './mixture-test.js';
import {type Baseline, type DetectionResult, type WorkOutcome} from './types.js';

/** One judgement in progress; one instance for each backend server. */
export abstract class Detector {
	/** Takes one outcome and concludes from all so far. */
	abstract recordOutcome(outcome: WorkOutcome, baseline: Baseline): DetectionResult;
	/** Forgets all evidence, as after a restart of the backend server. */
	abstract clear(): void;
}

/** The simple policy: failing after a number of failures in a row. */
export class ConsecutiveDetector extends Detector {
	readonly #threshold: number;
	#count = 0;

	constructor(bound: number) {
		super();
		this.#threshold = bound;
	}

	override recordOutcome(outcome: WorkOutcome, baseline: Baseline): DetectionResult {
		this.#count = judgeOutcome(outcome, baseline).isFailure ? this.#count + 1 : 0;
		return {isFailing: this.#count >= this.#threshold, badness: this.#count};
	}

	override clear(): void {
		this.#count = 0;
	}
}

/** What a sequential detector tests for. */
export type SequentialOptions = {
	/** Least mean number of requests between two false alarms of a healthy backend server. */
	readonly requestsBetweenFalseAlarms: number;
	readonly failures: readonly Alternative[];
	readonly slowness: readonly Alternative[];
};

const badnessSteps = 10;
const badnessWindow = 16;

/** Tests failures and slowness against the service's baseline, request by request. */
export class SequentialDetector extends Detector {
	readonly #threshold: number;
	readonly #failures: MixtureTest;
	readonly #slowness: MixtureTest;
	#badShare = 0;

	constructor({requestsBetweenFalseAlarms, failures, slowness}: SequentialOptions) {
		super();
		this.#threshold = requestsBetweenFalseAlarms;
		this.#failures = new MixtureTest(failures);
		this.#slowness = new MixtureTest(slowness);
	}

	override recordOutcome(outcome: WorkOutcome, baseline: Baseline): DetectionResult {
		const evidence = judgeOutcome(outcome, baseline);
		if (evidence.isFailure !== undefined) {
			this.#failures.recordRequest(evidence.isFailure, baseline.failureShare);
		}

		if (evidence.isSlow !== undefined) {
			this.#slowness.recordRequest(evidence.isSlow, baseline.slowShare);
		}

		this.#badShare += (Number(isBad(evidence)) - this.#badShare) / badnessWindow;
		const statistic = this.#failures.computeStatistic() + this.#slowness.computeStatistic();
		return {isFailing: statistic >= this.#threshold, badness: Math.round(this.#badShare * badnessSteps)};
	}

	override clear(): void {
		this.#failures.clear();
		this.#slowness.clear();
	}
}
