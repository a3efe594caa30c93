/**
 * Estimates whether a backend server is in a spell of failing, from few outcomes.
 *
 * A backend server is taken to be well or sick. It falls sick and recovers at random, at known mean rates; each outcome
 * moves the estimate by Bayes' rule and time moves it back towards the long-run failingProbability (a two-state hidden Markov model).
 * It answers gray failure: a server that fails most of its work for some seconds while its health check passes. One
 * failure is evidence enough where such spells are more common than single failures, and one success takes most of it
 * back.
 */

/** What is assumed of the spells of a service's backend servers. */
export type FailureStateModel = {
	/** Mean time a backend server is well between two spells, in milliseconds. */
	readonly meanHealthyMs: number;
	/** Mean length of a spell, in milliseconds. */
	readonly meanFailingMs: number;
	/** Share of its requests that a well backend server fails. */
	readonly healthyFailureShare: number;
	/** Share of its requests that a sick backend server fails. */
	readonly failingFailureShare: number;
};

/** Spells of a few seconds, some a minute, in which most requests fail, as the users' brief describes gray failures. */
export const grayFailureModel: FailureStateModel = {
	meanHealthyMs: 60_000, meanFailingMs: 8000, healthyFailureShare: 0.015, failingFailureShare: 0.8,
};

/** Spells in which a backend server rejects much of its work without running it, which a well one hardly ever does. */
export const sheddingModel: FailureStateModel = {
	meanHealthyMs: 60_000, meanFailingMs: 8000, healthyFailureShare: 0.005, failingFailureShare: 0.5,
};

/** One backend server. Times are monotonic milliseconds given by the caller. */
export class FailureStateFilter {
	readonly #model: FailureStateModel;
	readonly #stationaryProbability: number;
	readonly #relaxationMs: number;
	#failingProbability: number;
	#updatedAt: number;

	constructor(now: number, model: FailureStateModel = grayFailureModel) {
		const {meanHealthyMs, meanFailingMs} = model;
		this.#model = model;
		this.#stationaryProbability = meanFailingMs / (meanHealthyMs + meanFailingMs);
		this.#relaxationMs = 1 / ((1 / meanHealthyMs) + (1 / meanFailingMs));
		this.#failingProbability = this.#stationaryProbability;
		this.#updatedAt = now;
	}

	/** Takes the outcome of one request. */
	recordOutcome(isFailure: boolean, now: number): void {
		const {healthyFailureShare, failingFailureShare} = this.#model;
		const failingLikelihood = isFailure ? failingFailureShare : 1 - failingFailureShare;
		const healthyLikelihood = isFailure ? healthyFailureShare : 1 - healthyFailureShare;
		const failingProbability = this.estimateProbability(now);
		const failingWeight = failingProbability * failingLikelihood;
		this.#failingProbability = failingWeight / (failingWeight + ((1 - failingProbability) * healthyLikelihood));
		this.#updatedAt = now;
	}

	/** Probability that the backend server is sick, from 0 to 1. */
	estimateProbability(now: number): number {
		const ageMs = Math.max(0, now - this.#updatedAt);
		return this.#stationaryProbability + ((this.#failingProbability - this.#stationaryProbability) * Math.exp(-ageMs / this.#relaxationMs));
	}

	/** Probability that the next request fails, from 0 to 1. */
	estimateFailureShare(now: number): number {
		const {healthyFailureShare, failingFailureShare} = this.#model;
		const failingProbability = this.estimateProbability(now);
		return (failingProbability * failingFailureShare) + ((1 - failingProbability) * healthyFailureShare);
	}
}
