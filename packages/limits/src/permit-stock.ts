/** Permits that a node holds for one organisation, and its demand for them. */
import {
	msPerS, quotaAskAheadMs, quotaDemandMs, quotaPermitLifetimeMs,
} from './constants.js';

/** Permits that expire together. */
type Lot = {
	readonly count: number;
	/** Monotonic time, in milliseconds. */
	readonly expiresAt: number;
};

/** Unused permits of one organisation. Each expires 1 s after it was added; those that expire first are taken first. */
export class PermitStock {
	#lots: readonly Lot[] = [];

	/** Counts the permits that have not expired. */
	countPermits(now: number): number {
		this.#lots = this.#lots.filter(lot => lot.count > 0 && lot.expiresAt > now);
		return this.#lots.reduce((sum, {count}) => sum + count, 0);
	}

	/** Adds permits that expire after their lifetime. */
	addPermits(count: number, now: number): void {
		this.#lots = [...this.#lots, {count, expiresAt: now + quotaPermitLifetimeMs}];
	}

	/** Takes one permit, if there is one. */
	takePermit(now: number): boolean {
		if (this.countPermits(now) === 0) {
			return false;
		}

		this.#lots = this.#lots.map((lot, index) => index === 0 ? {...lot, count: lot.count - 1} : lot);
		return true;
	}

	/** Drops the oldest permits above `max`. */
	sweepAbove(max: number, now: number): void {
		const surplus = this.countPermits(now) - max;
		if (surplus > 0) {
			this.#lots = this.#lots.reduce<{readonly lots: readonly Lot[]; readonly left: number}>(({lots, left}, lot) => {
				const dropped = Math.min(left, lot.count);
				return {lots: [...lots, {...lot, count: lot.count - dropped}], left: left - dropped};
			}, {lots: [], left: surplus}).lots;
		}
	}
}

/**
 * Estimates the rate at which a node uses permits of one organisation, by an exponential average over 1 s. The estimates of
 * all nodes add up to that of the whole demand, so that callers that move between nodes don't raise the sum.
 */
export class PermitDemand {
	#perS = 0;
	#at = 0;

	/** Records used permits; a negative number takes back. */
	recordPermits(count: number, now: number): void {
		this.#perS = Math.max(0, this.computeRate(now) + (count * msPerS / quotaDemandMs));
		this.#at = now;
	}

	/** Computes the rate in permits per second. */
	computeRate(now: number): number {
		return this.#perS * Math.exp(Math.min(0, this.#at - now) / quotaDemandMs);
	}

	/** Computes the number of whole permits that are expected to be used within 250 ms, at most those of the quota's rate. */
	computeAhead(quotaRate: number, now: number): number {
		return Math.floor(Math.min(quotaRate, this.computeRate(now)) * quotaAskAheadMs / msPerS);
	}
}
