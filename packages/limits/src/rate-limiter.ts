/** Limits of callers by their terms. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {type Terms} from './terms-token.js';
import {TokenBuckets, type BucketRate} from './token-buckets.js';

/** The parts of terms that limits need. */
export type LimitedCaller = Pick<Terms, 'caller' | 'rate'>;

/** Decides whether a caller may send one more request now. */
export abstract class RateLimiter {
	/** `now` is monotonic, in milliseconds. */
	abstract takePermit(terms: LimitedCaller, now: number): Either<Failure, void>;
}

/** Refuses for want of a permit. */
export function createLimitFailure(rate: number, retryAfterMs: number): Failure {
	return createFailure('limitExceeded', `the terms allow ${rate} requests a second`, retryAfterMs);
}

/** Rate of a caller's bucket: its terms' rate with a burst of one second. */
export function computeBucketRate(rate: number, share = 1): BucketRate {
	return {rate: rate * share, burst: Math.max(1, rate * share)};
}

/** A bucket for each caller on this node alone, filled at a share of the terms' rate. */
export class LocalRateLimiter extends RateLimiter {
	readonly #buckets = new TokenBuckets();
	readonly #share: number;

	constructor(share = 1) {
		super();
		this.#share = share;
	}

	override takePermit({caller, rate}: LimitedCaller, now: number): Either<Failure, void> {
		const bucketRate = computeBucketRate(rate, this.#share);
		return this.#buckets.takePermits(caller, 1, bucketRate, now) === 1
			? Right(undefined)
			: Left(createLimitFailure(rate, this.#buckets.computeWaitMs(caller, bucketRate)));
	}
}
