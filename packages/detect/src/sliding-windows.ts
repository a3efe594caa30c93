/** Counts requests over sliding windows of increasing length, in bounded memory. */
import {isBad} from './evidence.js';
import {type Evidence, type WindowCounts} from './types.js';

type Bucket = WindowCounts & {
	/** Index of the bucket since time 0. */
	readonly index: number;
};

const bucketsPerLevel = 16;
/** Bucket length of each level, in milliseconds. */
const bucketLengthsMs = [250, 2000, 16_000] as const;
/** Numbers of buckets in the windows of one level. */
const windowBuckets = [2, 4, 8, 16] as const;
const zeroCounts: WindowCounts = {
	requests: 0, bad: 0, failures: 0, slow: 0,
};

function addCounts(a: WindowCounts, b: WindowCounts): WindowCounts {
	return {
		requests: a.requests + b.requests, bad: a.bad + b.bad, failures: a.failures + b.failures, slow: a.slow + b.slow,
	};
}

/** Merges counts by adding them. */
export function mergeCounts(counts: readonly WindowCounts[]): WindowCounts {
	return counts.reduce((sum, next) => addCounts(sum, next), zeroCounts);
}

/** Sliding windows that are counted in buckets of one length. */
class SlidingWindowLevel {
	readonly #lengthMs: number;
	readonly #buckets: Bucket[] = [];

	constructor(lengthMs: number) {
		this.#lengthMs = lengthMs;
	}

	recordCounts(at: number, counts: WindowCounts): void {
		const index = Math.floor(at / this.#lengthMs);
		const last = this.#buckets.at(-1);
		if (last?.index === index) {
			this.#buckets[this.#buckets.length - 1] = {...addCounts(last, counts), index};
			return;
		}

		this.#buckets.push({...counts, index});
		if (this.#buckets.length > bucketsPerLevel) {
			this.#buckets.shift();
		}
	}

	listWindows(now: number): readonly WindowCounts[] {
		const current = Math.floor(now / this.#lengthMs);
		return windowBuckets.map(count => mergeCounts(this.#buckets.filter(({index}) => index > current - count)));
	}
}

/** Sliding windows of 0.5 to 256 seconds, each twice as long as the one before. */
export class SlidingWindows {
	readonly #levels = bucketLengthsMs.map(lengthMs => new SlidingWindowLevel(lengthMs));

	recordEvidence(at: number, evidence: Evidence): void {
		const counts = {
			requests: 1, bad: Number(isBad(evidence)), failures: Number(evidence.isFailure === true), slow: Number(evidence.isSlow === true),
		};
		this.#levels.forEach(level => {
			level.recordCounts(at, counts);
		});
	}

	/** Lists the counts of each window, the shortest first. */
	listWindows(now: number): readonly WindowCounts[] {
		return this.#levels.flatMap(level => level.listWindows(now));
	}
}
