/** Token buckets by caller. */
import {maxBuckets, msPerS} from './constants.js';

type Bucket = {
	readonly permits: number;
	/** Monotonic time of the last change, in milliseconds. */
	readonly at: number;
};

/** How a bucket fills. */
export type BucketRate = {
	/** Permits per second. */
	readonly rate: number;
	/** Most permits it holds. */
	readonly burst: number;
};

/**
 * Buckets start full. The least recently used one is dropped when there are too many, so a bucket that is missing
 * allows a burst and never refuses.
 */
export class TokenBuckets {
	readonly #maxBuckets: number;
	readonly #buckets = new Map<string, Bucket>();

	constructor(limit = maxBuckets) {
		this.#maxBuckets = limit;
	}

	/** Takes up to `wanted` permits, whole ones; returns how many. */
	takePermits(caller: string, wanted: number, {rate, burst}: BucketRate, now: number): number {
		const {permits, at} = this.#buckets.get(caller) ?? {permits: burst, at: now};
		const filled = Math.min(burst, permits + (Math.max(0, now - at) * rate / msPerS));
		const taken = Math.min(wanted, Math.floor(filled));
		this.#buckets.delete(caller);
		this.#buckets.set(caller, {permits: filled - taken, at: Math.max(now, at)});
		this.#removeOldest();
		return taken;
	}

	/** Time until a permit is there, in milliseconds. */
	computeWaitMs(caller: string, {rate}: BucketRate): number {
		const permits = this.#buckets.get(caller)?.permits ?? 1;
		return Math.ceil(Math.max(0, 1 - permits) / rate * msPerS);
	}

	/** Number of buckets held. */
	countBuckets(): number {
		return this.#buckets.size;
	}

	#removeOldest(): void {
		const [oldest] = this.#buckets.size > this.#maxBuckets ? this.#buckets.keys() : [];
		if (oldest !== undefined) {
			this.#buckets.delete(oldest);
		}
	}
}
