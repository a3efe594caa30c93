/**
 * Estimates the probability that a backend server is in a failing state, from few outcomes.
 *
 * The estimate is the forward filter of a two-state hidden Markov model. A backend server is either healthy or failing and
 * changes state at random, at known mean rates. Each outcome updates the estimate by Bayes' rule, and time moves it back
 * towards the stationary probability. It detects gray failures: a server that fails most of its work for some seconds while
 * its health check passes. One failure is strong evidence where such periods are more common than single failures, and
 * one success cancels most of it.
 */

/** Parameters of the two-state model. */
export type FailureStateModel = {
	/** Mean time for which a backend server stays healthy, in milliseconds. */
	readonly meanHealthyMs: number;
	/** Mean time for which a backend server stays failing, in milliseconds. */
	readonly meanFailingMs: number;
	/** Share of its requests that a healthy backend server fails. */
	readonly healthyFailureShare: number;
	/** Share of its requests that a failing backend server fails. */
	readonly failingFailureShare: number;
};

/** Model of gray failures as the users' brief describes them: most requests fail for a few seconds, sometimes for a minute. */
export const grayFailureModel: FailureStateModel = {
	meanHealthyMs: 60_000, meanFailingMs: 8000, healthyFailureShare: 0.015, failingFailureShare: 0.8,
};

/** Model of load shedding: a failing server rejects much of its work without running it, a healthy one hardly any. */
export const sheddingModel: FailureStateModel = {
	meanHealthyMs: 60_000, meanFailingMs: 8000, healthyFailureShare: 0.005, failingFailureShare: 0.5,
};

/** Filter for one backend server. Times are monotonic milliseconds given by the caller. */
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

	/** Updates the estimate with the outcome of one request. */
	recordOutcome(isFailure: boolean, now: number): void {
		const {healthyFailureShare, failingFailureShare} = this.#model;
		const failingLikelihood = isFailure ? failingFailureShare : 1 - failingFailureShare;
		const healthyLikelihood = isFailure ? healthyFailureShare : 1 - healthyFailureShare;
		const failingProbability = this.estimateProbability(now);
		const failingWeight = failingProbability * failingLikelihood;
		this.#failingProbability = failingWeight / (failingWeight + ((1 - failingProbability) * healthyLikelihood));
		this.#updatedAt = now;
	}

	/** Estimates the probability that the backend server is failing, from 0 to 1. */
	estimateProbability(now: number): number {
		const ageMs = Math.max(0, now - this.#updatedAt);
		return this.#stationaryProbability + ((this.#failingProbability - this.#stationaryProbability) * Math.exp(-ageMs / this.#relaxationMs));
	}

	/** Estimates the probability that the next request fails, from 0 to 1. */
	estimateFailureShare(now: number): number {
		const {healthyFailureShare, failingFailureShare} = this.#model;
		const failingProbability = this.estimateProbability(now);
		return (failingProbability * failingFailureShare) + ((1 - failingProbability) * healthyFailureShare);
	}
}
