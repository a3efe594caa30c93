/** Summarises outcomes over windows of time, in bounded memory. */
import {normalWindowMs} from './constants.js';
import {judgeOutcome} from './evidence.js';
import {
	type Baseline, type Evidence, type OutcomeSummary, type ServerSummary, type WorkOutcome,
} from './types.js';
import {SlidingWindows} from './sliding-windows.js';

/** Duration buckets for each doubling of the duration. */
const bucketsPerDoubling = 4;
const bucketCount = 80;

/** Finds the bucket of a duration; each bucket is 2^(1/4) times as wide as the one before. */
export function findBucket(durationMs: number): number {
	return Math.min(bucketCount - 1, Math.max(0, Math.ceil(Math.log2(Math.max(1, durationMs)) * bucketsPerDoubling)));
}

/** Computes the upper edge of a bucket, in milliseconds. */
export function computeBucketEdge(bucket: number): number {
	return 2 ** (bucket / bucketsPerDoubling);
}

/** Summary without any outcome. */
export const emptySummary: OutcomeSummary = {requests: 0, failures: 0, durations: []};

/** Merges summaries by adding their counts. */
export function mergeSummaries(summaries: readonly OutcomeSummary[]): OutcomeSummary {
	const length = Math.max(0, ...summaries.map(({durations}) => durations.length));
	return {
		requests: summaries.reduce((sum, {requests}) => sum + requests, 0),
		failures: summaries.reduce((sum, {failures}) => sum + failures, 0),
		durations: Array.from({length}, (_, bucket) => summaries.reduce((sum, {durations}) => sum + (durations[bucket] ?? 0), 0)),
	};
}

/** Counts over a window of one to two times its length: the current period and the one before. */
class OutcomeWindow {
	readonly #lengthMs: number;
	#startedAt = 0;
	#previous: OutcomeSummary = emptySummary;
	#requests = 0;
	#failures = 0;
	#durations: number[] = [];

	constructor(lengthMs: number) {
		this.#lengthMs = lengthMs;
	}

	recordOutcome({at, kind, durationMs}: WorkOutcome, {isFailure}: Evidence): void {
		this.#update(at);
		this.#requests++;
		this.#failures += Number(isFailure === true);
		if (kind === 'answered') {
			const bucket = findBucket(durationMs);
			while (this.#durations.length <= bucket) {
				this.#durations.push(0);
			}

			this.#durations[bucket]!++;
		}
	}

	getSummary(now: number): OutcomeSummary {
		this.#update(now);
		return mergeSummaries([this.#previous, this.#getCurrent()]);
	}

	#getCurrent(): OutcomeSummary {
		return {requests: this.#requests, failures: this.#failures, durations: this.#durations};
	}

	#update(now: number): void {
		const age = now - this.#startedAt;
		if (age < this.#lengthMs) {
			return;
		}

		this.#previous = age < 2 * this.#lengthMs ? this.#getCurrent() : emptySummary;
		this.#startedAt = now;
		this.#requests = 0;
		this.#failures = 0;
		this.#durations = [];
	}
}

/** Records the outcomes of one backend server and summarises them. */
export class OutcomeRecorder {
	readonly #normal = new OutcomeWindow(normalWindowMs);
	readonly #slidingWindows = new SlidingWindows();

	/** Records an outcome, classified by the current baseline; an outcome that gives no evidence isn't counted. */
	recordOutcome(outcome: WorkOutcome, baseline: Baseline): void {
		const evidence = judgeOutcome(outcome, baseline);
		if (evidence.isFailure === undefined && evidence.isSlow === undefined) {
			return;
		}

		this.#slidingWindows.recordEvidence(outcome.at, evidence);
		if (evidence.isFailure !== undefined) {
			this.#normal.recordOutcome(outcome, evidence);
		}
	}

	getSummary(now: number): ServerSummary {
		return {normal: this.#normal.getSummary(now), windows: this.#slidingWindows.listWindows(now)};
	}
}
