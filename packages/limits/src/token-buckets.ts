/** Token buckets, one for each caller. */
import {maxBuckets, msPerS} from './constants.js';

type Bucket = {
	readonly permits: number;
	/** Monotonic time of the last change, in milliseconds. */
	readonly at: number;
};

/** Rate and capacity of a bucket. */
export type BucketRate = {
	/** Permits added per second. */
	readonly rate: number;
	/** Most permits it holds. */
	readonly burst: number;
};

/**
 * Buckets start full. The least recently used one is evicted when there are too many, so a caller without a bucket gets a
 * burst rather than a refusal.
 */
export class TokenBuckets {
	readonly #maxBuckets: number;
	readonly #buckets = new Map<string, Bucket>();

	constructor(limit = maxBuckets) {
		this.#maxBuckets = limit;
	}

	/** Takes up to `wanted` whole permits and returns their number. `now` is monotonic, in milliseconds. */
	takePermits(caller: string, wanted: number, {rate, burst}: BucketRate, now: number): number {
		const {permits, at} = this.#buckets.get(caller) ?? {permits: burst, at: now};
		const filled = Math.min(burst, permits + (Math.max(0, now - at) * rate / msPerS));
		const taken = Math.min(wanted, Math.floor(filled));
		this.#buckets.delete(caller);
		this.#buckets.set(caller, {permits: filled - taken, at: Math.max(now, at)});
		this.#removeOldest();
		return taken;
	}

	/** Computes the time until the bucket has a whole permit, in milliseconds. */
	computeWaitMs(caller: string, {rate}: BucketRate): number {
		const permits = this.#buckets.get(caller)?.permits ?? 1;
		return Math.ceil(Math.max(0, 1 - permits) / rate * msPerS);
	}

	/** Counts the buckets. */
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
