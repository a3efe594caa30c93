/** Detects that a backend server is failing from the outcomes of its requests (passive health checking). */
import {isBad, judgeOutcome} from './evidence.js';
import {MixtureTest, type Alternative} from './mixture-test.js';
import {type Baseline, type DetectionResult, type WorkOutcome} from './types.js';

/** Failure detector; each backend server has its own instance. */
export abstract class Detector {
	/** Records one outcome and evaluates all evidence so far. */
	abstract recordOutcome(outcome: WorkOutcome, baseline: Baseline): DetectionResult;
	/** Discards all evidence, for example after a restart of the backend server. */
	abstract clear(): void;
}

/** Regards a backend server as failing after a number of consecutive failures. */
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

/** Badness of a server whose recent requests were all bad. */
const badnessSteps = 10;
/** Requests that the exponentially weighted share of bad requests extends over. */
const badnessWindow = 16;

/** Tests failures and slowness against the service's baseline with sequential tests, request by request. */
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
