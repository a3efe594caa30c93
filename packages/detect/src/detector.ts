/** Judges one backend server from the outcomes of its real work. */
import {type Baseline, type Verdict, type WorkOutcome} from './types.js';

/** One judgement in progress; one instance for each backend server. */
export abstract class Detector {
	/** Takes one outcome and concludes from all so far. */
	abstract recordOutcome(outcome: WorkOutcome, baseline: Baseline): Verdict;
	/** Forgets all evidence, as after a restart of the backend server. */
	abstract clear(): void;
}

/** The simple policy: failing after a number of failures in a row. */
export class ConsecutiveDetector extends Detector {
	readonly #bound: number;
	#count = 0;

	constructor(bound: number) {
		super();
		this.#bound = bound;
	}

	override recordOutcome({isFailure}: WorkOutcome, _baseline: Baseline): Verdict {
		this.#count = isFailure ? this.#count + 1 : 0;
		return {isFailing: this.#count >= this.#bound, badness: this.#count};
	}

	override clear(): void {
		this.#count = 0;
	}
}
