/**
 * Limits the retries sent to one backend server in a sliding window, so that the limits of all backend servers of a
 * service add up to the service's retry budget.
 *
 * This prevents retry storms: a backend server may take retries for a share of the first attempts that it took in the
 * window, and its part of the service's fixed allowance. The sum over all backend servers is the budget of the service,
 * however uneven the load.
 *
 * It also limits the fan-out of retries: a request that runs again makes its calls again, so those calls are counted as
 * retries against the budget of the called service, while ordinary calls don't add to it.
 */
import {type RequestCause} from '@limpetbarrow/core';
import {RetryPolicy} from './retry-budget.js';

/** Retry budget of a service. */
export type RetryBudgetOptions = {
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
	/** Retries allowed for each first attempt in the window. */
	readonly ratio: number;
	/** Further retries allowed in each window, for the whole service. */
	readonly allowance: number;
};

/** A first attempt or a retry in the window. */
type Sample = {
	/** Monotonic time, in milliseconds. */
	readonly at: number;
	readonly isRetry: boolean;
};

/** One backend server's part of a service's retry budget. */
export class WindowedRetryBudget extends RetryPolicy {
	readonly #options: RetryBudgetOptions;
	readonly #countServers: () => number;
	#samples: readonly Sample[] = [];

	/** `countServers` returns the number of backend servers that share the allowance. */
	constructor(options: RetryBudgetOptions, countServers: () => number) {
		super();
		this.#options = options;
		this.#countServers = countServers;
	}

	override recordRequest(cause?: RequestCause): void {
		if (cause !== 'call') {
			this.#addSample(cause === 'repeatedCall', performance.now());
		}
	}

	override takeRetry(_isNotRun: boolean, now: number): boolean {
		const {windowMs, ratio, allowance} = this.#options;
		this.#samples = this.#samples.filter(({at}) => at > now - windowMs);
		const retries = this.#samples.filter(({isRetry}) => isRetry).length;
		const requests = this.#samples.length - retries;
		if (retries + 1 > (ratio * requests) + (allowance / Math.max(1, this.#countServers()))) {
			return false;
		}

		this.#addSample(true, now);
		return true;
	}

	#addSample(isRetry: boolean, at: number): void {
		const oldest = at - this.#options.windowMs;
		this.#samples = [...this.#samples.filter(sample => sample.at > oldest), {at, isRetry}];
	}
}
