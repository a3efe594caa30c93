/** Rate limits of callers according to their terms. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {type Terms} from './terms-token.js';
import {TokenBuckets, type BucketRate} from './token-buckets.js';

/** The fields of terms that rate limiting needs. */
export type LimitedCaller = Pick<Terms, 'caller' | 'rate'>;

/** Limits the request rate of callers. */
export abstract class RateLimiter {
	/** Takes a permit for one request; fails with `limitExceeded` when there is none. `now` is monotonic, in milliseconds. */
	abstract takePermit(terms: LimitedCaller, now: number): Either<Failure, void>;
}

/** Creates the failure for a request without a permit; `retryAfterMs` is the time until there is one, in milliseconds. */
export function createLimitFailure(rate: number, retryAfterMs: number): Failure {
	return createFailure('limitExceeded', `the terms allow ${rate} requests per second`, retryAfterMs);
}

/** Computes the rate of a caller's bucket: a share of the rate of its terms, with a burst of one second. */
export function computeBucketRate(rate: number, share = 1): BucketRate {
	return {rate: rate * share, burst: Math.max(1, rate * share)};
}

/** Limits callers on this node alone, with a token bucket for each that is filled at a share of its rate. */
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
