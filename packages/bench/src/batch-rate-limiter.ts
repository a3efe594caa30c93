/** The baseline that was not kept: permits are taken in batches from the caller's home. */
import {Left, Right, type Either} from 'purify-ts';
import {type Failure} from '@limpetbarrow/core';
import {
	computeBucketRate, createLimitFailure, LocalRateLimiter, maxBuckets, msPerS, RateLimiter, TokenBuckets, type LimitedCaller,
} from '@limpetbarrow/limits';

/** Time of a caller's allowance that one batch of permits covers, in milliseconds. */
const batchMs = 250;
/** Time after which permits taken from the home and not used are given up, in milliseconds. */
const permitLifetimeMs = 1000;
/** Time without an answer after which the home counts as not answering, in milliseconds. */
const homeAnswerMs = 250;
/** Time between two tries to reach a home that does not answer, in milliseconds. */
const homeRetryMs = 1000;

/** Grants permits out of the one bucket of each caller whose home this node is. */
export class PermitHome {
	readonly #buckets = new TokenBuckets();

	/** Grants up to `wanted` permits. */
	grantPermits({caller, rate}: LimitedCaller, wanted: number, now: number): number {
		return this.#buckets.takePermits(caller, wanted, computeBucketRate(rate), now);
	}
}

/** Asks a caller's home for permits; calls `handleGrant` with their number unless the home does not answer. */
export type RequestPermits<Caller extends LimitedCaller> = (caller: Caller, wanted: number, handleGrant: (granted: number, now: number) => void) => void;

type Stock = {
	readonly permits: number;
	/** Monotonic time of the home's last answer, in milliseconds. */
	readonly answeredAt: number;
	/** Monotonic time of the request under way; undefined when there is none. */
	readonly askedAt: number | undefined;
};

const emptyStock: Stock = {permits: 0, answeredAt: Number.NEGATIVE_INFINITY, askedAt: undefined};

/** Number of permits that covers `batchMs` at a rate. */
export function computeBatch(rate: number): number {
	return Math.max(1, Math.ceil(rate * batchMs / msPerS));
}

/**
 * Spends permits of the home. While the home has not answered, calls fall open to a bucket of this node at the whole
 * rate, since a caller that sends through one node alone needs all of it.
 */
export class BatchRateLimiter<Caller extends LimitedCaller> extends RateLimiter {
	readonly #requestPermits: RequestPermits<Caller>;
	readonly #stocks = new Map<string, Stock>();
	readonly #fallback: RateLimiter;

	constructor(requestPermits: RequestPermits<Caller>, fallbackShare = 1) {
		super();
		this.#requestPermits = requestPermits;
		this.#fallback = new LocalRateLimiter(fallbackShare);
	}

	override takePermit(terms: Caller, now: number): Either<Failure, void> {
		const stock = this.#getStock(terms.caller, now);
		const permits = Math.max(0, stock.permits - 1);
		this.#setStock(terms.caller, {...stock, permits});
		if (permits < computeBatch(terms.rate) / 2) {
			this.#fetchPermits(terms, now);
		}

		if (stock.permits >= 1) {
			return Right(undefined);
		}

		return isAnswering(stock, now)
			? Left(createLimitFailure(terms.rate, Math.ceil(msPerS / terms.rate)))
			: this.#fallback.takePermit(terms, now);
	}

	#getStock(caller: string, now: number): Stock {
		const stock = this.#stocks.get(caller) ?? emptyStock;
		return now - stock.answeredAt > permitLifetimeMs ? {...stock, permits: 0} : stock;
	}

	#setStock(caller: string, stock: Stock): void {
		this.#stocks.delete(caller);
		this.#stocks.set(caller, stock);
		const [oldest] = this.#stocks.size > maxBuckets ? this.#stocks.keys() : [];
		if (oldest !== undefined) {
			this.#stocks.delete(oldest);
		}
	}

	#fetchPermits(terms: Caller, now: number): void {
		const stock = this.#stocks.get(terms.caller) ?? emptyStock;
		if (stock.askedAt !== undefined && now - stock.askedAt < homeRetryMs) {
			return;
		}

		this.#setStock(terms.caller, {...stock, askedAt: now});
		this.#requestPermits(terms, computeBatch(terms.rate), (granted, answeredAt) => {
			const current = this.#stocks.get(terms.caller) ?? emptyStock;
			this.#setStock(terms.caller, {permits: current.permits + granted, answeredAt, askedAt: undefined});
		});
	}
}

/** The home's word counts for as long as permits do; a request without an answer for a while ends that. */
function isAnswering({answeredAt, askedAt}: Stock, now: number): boolean {
	const isLate = askedAt !== undefined && now - askedAt > homeAnswerMs;
	return now - answeredAt <= permitLifetimeMs && !isLate;
}
