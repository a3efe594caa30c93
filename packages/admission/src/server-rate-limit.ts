/** Keeps a backend server within the request rate that its responses name. */

/** One request that asks for a place within the limit. */
export type LimitedRequest = {
	/** Rank of the request; lower numbers go first. */
	readonly priority: number;
	/** True for a further attempt at a request, which goes after all first ones. */
	readonly isRepeat: boolean;
};

/** Number of requests of each rank that asked for a place since a time, whether they got one or not. */
type Demand = {
	readonly since: number;
	readonly counts: Map<number, number>;
};

const msPerSecond = 1000;
/** Span over which the sum of requests is bounded, in milliseconds. */
const sumSpanMs = 4000;
/** Requests that may be sent at once: some, and as many as the rate brings in a span. */
export type BurstSize = {
	readonly requests: number;
	readonly spanMs: number;
};

const defaultBurst: BurstSize = {requests: 2, spanMs: 500};
/** Lowest rate, in requests a second: an occasional request finds out whether the limit still holds. */
const minRate = 0.25;
/** Span in which the rate doubles once the limit has ended, and number of such spans until the limit is dropped. */
const doublingMs = 1000;
const doublings = 5;
/** Span after which demand is counted anew, in milliseconds; the counts of the span before still apply. */
const demandSpanMs = 1000;
/** Largest number of ranks that are counted apart. */
const maxRanks = 64;
/** Added to the rank of a repeat. */
const repeatRank = 1_000_000;

function computeRank({priority, isRepeat}: LimitedRequest): number {
	return priority + (isRepeat ? repeatRank : 0);
}

/**
 * Spreads requests evenly at the named rate, with a small burst, and bounds their sum over some seconds, so that a limit that
 * falls step by step holds at once. Part of the burst is kept for requests of a better rank, as far as there are any.
 *
 * After the limit has ended, the rate doubles each second until the limit is dropped. All times are monotonic, in
 * milliseconds.
 */
export class ServerRateLimit {
	readonly #burst: BurstSize;
	#perSecond: number | undefined;
	/** Time at which the limit ended; undefined while the backend server names it. */
	#endedAt: number | undefined;
	#tokens = 0;
	#tokensAt = 0;
	#sentAt: readonly number[] = [];
	#demand: Demand = {since: 0, counts: new Map()};
	#earlierDemand: Demand = this.#demand;

	constructor(burst: BurstSize = defaultBurst) {
		this.#burst = burst;
	}

	/** True from the first response that names a limit until the rate has returned to normal. */
	isActive(now: number): boolean {
		return this.#perSecond !== undefined && (this.#endedAt === undefined || now < this.#endedAt + (doublings * doublingMs));
	}

	/** The rate that holds now, in requests a second; undefined without a limit. */
	findRate(now: number): number | undefined {
		if (!this.isActive(now)) {
			return undefined;
		}

		const growth = this.#endedAt === undefined ? 1 : 2 ** ((now - this.#endedAt) / doublingMs);
		return Math.max(minRate, this.#perSecond!) * growth;
	}

	/** Applies what a response says: its limit in requests a second, or undefined if it names none. Returns whether that is a change. */
	applyLimit(perSecond: number | undefined, now: number): boolean {
		const wasActive = this.isActive(now);
		if (perSecond === undefined) {
			const isEnd = wasActive && this.#endedAt === undefined;
			this.#endedAt ??= now;
			return isEnd;
		}

		this.#updateTokens(now);
		const isChange = !wasActive || this.#perSecond !== perSecond || this.#endedAt !== undefined;
		this.#perSecond = perSecond;
		this.#endedAt = undefined;
		this.#tokens = wasActive ? Math.min(this.#tokens, this.#computeBurst(this.findRate(now)!)) : 0;
		this.#tokensAt = now;
		return isChange;
	}

	/** Records that a request asks for a place; see `computeWait`. */
	recordDemand(request: LimitedRequest, now: number): void {
		if (!this.isActive(now)) {
			return;
		}

		const ageMs = now - this.#demand.since;
		if (ageMs > demandSpanMs) {
			this.#earlierDemand = ageMs > 2 * demandSpanMs ? {since: now - demandSpanMs, counts: new Map()} : this.#demand;
			this.#demand = {since: now, counts: new Map()};
		}

		const {counts} = this.#demand;
		const rank = computeRank(request);
		if (counts.size < maxRanks || counts.has(rank)) {
			counts.set(rank, (counts.get(rank) ?? 0) + 1);
		}
	}

	/** Time until the request may be sent, in milliseconds, if `ahead` others are sent before; 0 if it may be sent now. */
	computeWait(request: LimitedRequest, ahead: number, now: number): number {
		const rate = this.findRate(now);
		if (rate === undefined) {
			return 0;
		}

		this.#updateTokens(now);
		const missingTokens = 1 + ahead + this.#computeReserve(computeRank(request), rate, now) - this.#tokens;
		const paceMs = Math.max(0, missingTokens) * msPerSecond / rate;
		const excess = this.#sentAt.length + ahead + 1 - this.#computeMaxSum(rate);
		const sumMs = excess > 0 ? (this.#sentAt[Math.min(excess, this.#sentAt.length) - 1] ?? now) + sumSpanMs - now : 0;
		return Math.max(paceMs, sumMs);
	}

	/** Records that a request is sent to the backend server. */
	recordSend(now: number): void {
		if (this.isActive(now)) {
			this.#updateTokens(now);
			this.#tokens = Math.max(0, this.#tokens - 1);
			this.#sentAt = [...this.#sentAt, now];
		}
	}

	#updateTokens(now: number): void {
		const rate = this.findRate(now) ?? 0;
		this.#tokens = Math.min(this.#computeBurst(rate), this.#tokens + (rate * (now - this.#tokensAt) / msPerSecond));
		this.#tokensAt = now;
		const expired = this.#sentAt.findIndex(at => at > now - sumSpanMs);
		this.#sentAt = expired === 0 ? this.#sentAt : this.#sentAt.slice(expired === -1 ? this.#sentAt.length : expired);
	}

	#computeBurst(rate: number): number {
		return this.#burst.requests + (rate * this.#burst.spanMs / msPerSecond);
	}

	#computeMaxSum(rate: number): number {
		return Math.floor(this.#computeBurst(rate) + (rate * sumSpanMs / msPerSecond));
	}

	/** Tokens that are kept for requests of a better rank: the part of the burst that their share of the rate comes to. */
	#computeReserve(rank: number, rate: number, now: number): number {
		const betterCount = [...this.#earlierDemand.counts, ...this.#demand.counts].reduce((sum, [other, count]) => sum + (other < rank ? count : 0), 0);
		const betterRate = betterCount * msPerSecond / Math.max(demandSpanMs, now - this.#earlierDemand.since);
		return (this.#computeBurst(rate) - 1) * Math.min(1, betterRate / rate);
	}
}
