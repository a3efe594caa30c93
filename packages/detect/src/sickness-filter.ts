/**
 * Estimates whether a backend server is in a spell of failing, from few outcomes.
 *
 * A backend server is taken to be well or sick. It falls sick and recovers at random, at known mean rates; each outcome
 * moves the estimate by Bayes' rule and time moves it back towards the long-run share (a two-state hidden Markov model).
 * It answers gray failure: a server that fails most of its work for some seconds while its health check passes. One
 * failure is evidence enough where such spells are more common than single failures, and one success takes most of it
 * back.
 */

/** What is assumed of the spells of a service's backend servers. */
export type SpellModel = {
	/** Mean time a backend server is well between two spells, in milliseconds. */
	readonly wellMs: number;
	/** Mean length of a spell, in milliseconds. */
	readonly sickMs: number;
	/** Share of its requests that a well backend server fails. */
	readonly wellFailureShare: number;
	/** Share of its requests that a sick backend server fails. */
	readonly sickFailureShare: number;
};

/** Spells of a few seconds, some a minute, in which most requests fail, as the users' brief describes gray failures. */
export const defaultSpells: SpellModel = {
	wellMs: 60_000, sickMs: 8000, wellFailureShare: 0.015, sickFailureShare: 0.8,
};

/** Spells in which a backend server rejects much of its work without running it, which a well one hardly ever does. */
export const sheddingSpells: SpellModel = {
	wellMs: 60_000, sickMs: 8000, wellFailureShare: 0.005, sickFailureShare: 0.5,
};

/** One backend server. Times are monotonic milliseconds given by the caller. */
export class SicknessFilter {
	readonly #model: SpellModel;
	readonly #restShare: number;
	readonly #mixingMs: number;
	#share: number;
	#at: number;

	constructor(now: number, model: SpellModel = defaultSpells) {
		const {wellMs, sickMs} = model;
		this.#model = model;
		this.#restShare = sickMs / (wellMs + sickMs);
		this.#mixingMs = 1 / ((1 / wellMs) + (1 / sickMs));
		this.#share = this.#restShare;
		this.#at = now;
	}

	/** Takes the outcome of one request. */
	recordOutcome(isFailure: boolean, now: number): void {
		const {wellFailureShare, sickFailureShare} = this.#model;
		const sickLikelihood = isFailure ? sickFailureShare : 1 - sickFailureShare;
		const wellLikelihood = isFailure ? wellFailureShare : 1 - wellFailureShare;
		const share = this.estimateShare(now);
		const sick = share * sickLikelihood;
		this.#share = sick / (sick + ((1 - share) * wellLikelihood));
		this.#at = now;
	}

	/** Probability that the backend server is sick, from 0 to 1. */
	estimateShare(now: number): number {
		const age = Math.max(0, now - this.#at);
		return this.#restShare + ((this.#share - this.#restShare) * Math.exp(-age / this.#mixingMs));
	}

	/** Probability that the next request fails, from 0 to 1. */
	estimateFailureShare(now: number): number {
		const {wellFailureShare, sickFailureShare} = this.#model;
		const share = this.estimateShare(now);
		return (share * sickFailureShare) + ((1 - share) * wellFailureShare);
	}
}
