/** Limits of callers by their terms. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {type Terms} from './terms-token.js';

/** Decides whether a caller may send one more request now. */
export abstract class RateLimiter {
	/** `now` is monotonic, in milliseconds. */
	abstract takePermit(terms: Terms, now: number): Either<Failure, void>;
}

type Bucket = {
	readonly permits: number;
	readonly at: number;
};

const msPerS = 1000;

/** One token bucket for each terms, with a burst of one second. */
export class LocalRateLimiter extends RateLimiter {
	readonly #buckets = new Map<string, Bucket>();

	override takePermit({id, rate}: Terms, now: number): Either<Failure, void> {
		const burst = Math.max(1, rate);
		const bucket = this.#buckets.get(id) ?? {permits: burst, at: now};
		const permits = Math.min(burst, bucket.permits + ((now - bucket.at) * rate / msPerS));
		const isAllowed = permits >= 1;
		this.#buckets.set(id, {permits: isAllowed ? permits - 1 : permits, at: now});
		return isAllowed
			? Right(undefined)
			: Left(createFailure('limitExceeded', `the terms allow ${rate} requests a second`, Math.ceil((1 - permits) / rate * msPerS)));
	}
}
