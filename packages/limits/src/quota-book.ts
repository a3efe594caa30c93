/** Quotas of the organisations whose home is this node. */
import {
	maxQuotaEntries, maxQuotaWaitMs, msPerS, quotaAskAheadMs, quotaMinBurstMs, quotaProvisionalRate, quotaProvisionalShare, quotaRepeatMs,
	quotaSettleMs, quotaSparePermits, quotaSpareShare, quotaStartPermits, quotaStartShare,
} from './constants.js';

/** A node's question for permits, with what the home knows about the organisation and about itself. */
export type QuotaQuestion = {
	readonly organisation: string;
	readonly wanted: number;
	/** Permits per second of the whole fleet. */
	readonly rate: number;
	/** Most permits that the whole fleet may save up. */
	readonly burst: number;
	/** Share of the known members that this node has seen alive for the last 3.5 s, from 0 to 1. */
	readonly share: number;
	/** The node that asks and its number of the question; the answer to a repeated question is repeated. */
	readonly asker?: string;
	readonly number?: number;
	/** Time for which this node has been the organisation's home as `HomeHistory` computes it, in milliseconds; 0 when it isn't. */
	readonly homeForMs: number;
};

/** The home's answer. */
export type QuotaAnswer = {
	readonly granted: number;
	/** Time after which it is worthwhile to ask again, in milliseconds; 0 when all that was wanted is granted. */
	readonly waitMs: number;
	/** False while another node may be granting permits of the same organisation; the next-ranked home may then know more. */
	readonly isSettled: boolean;
};

/** Permits granted to a question that may be repeated. */
type Grant = {
	readonly asker: string;
	readonly number: number;
	readonly granted: number;
	/** Monotonic time, in milliseconds. */
	readonly at: number;
};

type Bucket = {
	readonly permits: number;
	/** Permits that nodes were told to wait for. */
	readonly awaited: number;
	/** True when the home had settled at the last change. */
	readonly isSettled: boolean;
	/** Recent grants of more than one permit, the oldest first. */
	readonly grants: readonly Grant[];
	/** Monotonic time of the last change, in milliseconds. */
	readonly at: number;
};

/** Speed and size of a bucket at this home, as opposed to those of the whole quota. */
type Terms = {
	readonly rate: number;
	readonly capacity: number;
	/** Permits in a new bucket, and added when the home settles. */
	readonly startPermits: number;
	/** Time for which the bucket has filled at this rate, in milliseconds. */
	readonly filledForMs: number;
	readonly isSettled: boolean;
};

function computeTerms({rate, burst, share, homeForMs}: QuotaQuestion): Terms {
	const ownRate = rate * share;
	const startPermits = (burst * share * quotaStartShare) + quotaStartPermits;
	if (homeForMs >= quotaSettleMs) {
		const spare = (burst * quotaSpareShare) + quotaSparePermits;
		const capacity = Math.max(1, (burst + spare) * share, ownRate * quotaMinBurstMs / msPerS);
		return {
			rate: ownRate, capacity, startPermits, filledForMs: homeForMs - quotaSettleMs, isSettled: true,
		};
	}

	const provisionalRate = Math.min(ownRate, (rate * quotaProvisionalShare) + quotaProvisionalRate);
	const capacity = Math.max(1, provisionalRate * quotaAskAheadMs / msPerS);
	return {
		rate: provisionalRate, capacity, startPermits: 1, filledForMs: Infinity, isSettled: false,
	};
}

/** Most grants of one organisation that are repeated. */
const maxGrants = 32;

/** Computes the permits that a bucket begins with: those from an earlier tenure have been granted by another home since. */
function computeStart(known: Bucket | undefined, {startPermits, filledForMs, isSettled}: Terms, now: number): number {
	if (!known) {
		return startPermits;
	}

	if (!isSettled) {
		return known.permits;
	}

	if (!known.isSettled) {
		return known.permits + startPermits;
	}

	return known.at < now - filledForMs ? Math.min(known.permits, startPermits) : known.permits;
}

/**
 * Token buckets of organisations. A bucket of a home that has settled is as full as its time as home allows. Any other bucket
 * begins with one permit and fills at part of the rate, because the previous home may still be granting. The least recently
 * used bucket is evicted when there are too many; new buckets then count as filled only since the last use of an evicted one.
 */
export class QuotaBook {
	readonly #maxEntries: number;
	readonly #buckets = new Map<string, Bucket>();
	#evictedAt = -Infinity;

	constructor(maxEntries = maxQuotaEntries) {
		this.#maxEntries = maxEntries;
	}

	/** Grants up to `wanted` whole permits. `now` is monotonic, in milliseconds. */
	takePermits(question: QuotaQuestion, now: number): QuotaAnswer {
		const {organisation, wanted, asker, number} = question;
		const terms = computeTerms(question);
		const {permits, awaited, grants} = this.#getFilled(organisation, terms, now);
		const repeated = grants.find(grant => grant.asker === asker && grant.number === number);
		const taken = repeated ? 0 : Math.max(0, Math.min(wanted, Math.floor(permits)));
		const granted = repeated ? Math.min(wanted, repeated.granted) : taken;
		const missing = wanted - granted;
		const left = permits - taken;
		const maxAwaited = terms.rate * maxQuotaWaitMs / msPerS;
		// A node counts in the order of waits with at most what it uses until it asks again.
		const added = Math.min(missing, Math.max(1, terms.rate * quotaAskAheadMs / msPerS));
		const isKept = taken > 1 && asker !== undefined && number !== undefined;
		this.#setBucket(organisation, {
			permits: left, awaited: Math.min(maxAwaited, awaited + added), isSettled: terms.isSettled, at: now,
			grants: isKept
				? [...grants.slice(1 - maxGrants), {
					asker, number, granted: taken, at: now,
				}]
				: grants,
		});
		const waitMs = terms.rate > 0 ? Math.min(maxQuotaWaitMs, (Math.max(0, 1 - left) + awaited) / terms.rate * msPerS) : maxQuotaWaitMs;
		return {granted, waitMs: missing > 0 ? Math.max(1, Math.ceil(waitMs)) : 0, isSettled: terms.isSettled};
	}

	/** Counts the buckets. */
	countBuckets(): number {
		return this.#buckets.size;
	}

	#getFilled(organisation: string, terms: Terms, now: number): Bucket {
		const {rate, capacity, filledForMs, isSettled} = terms;
		const known = this.#buckets.get(organisation);
		const elapsed = Math.max(0, Math.min(now - (known?.at ?? this.#evictedAt), filledForMs));
		const isFilling = known !== undefined || isSettled;
		const added = isFilling ? elapsed * rate / msPerS : 0;
		const permits = Math.min(capacity, computeStart(known, terms, now) + added);
		const grants = known?.grants.filter(grant => now - grant.at < quotaRepeatMs) ?? [];
		return {
			permits, awaited: Math.max(0, (known?.awaited ?? 0) - added), isSettled, grants, at: now,
		};
	}

	#setBucket(organisation: string, bucket: Bucket): void {
		this.#buckets.delete(organisation);
		this.#buckets.set(organisation, bucket);
		const [oldest] = this.#buckets.size > this.#maxEntries ? this.#buckets : [];
		if (oldest) {
			this.#buckets.delete(oldest[0]);
			this.#evictedAt = Math.max(this.#evictedAt, oldest[1].at);
		}
	}
}
