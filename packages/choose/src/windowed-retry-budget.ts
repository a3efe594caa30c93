/**
 * Bounds the retries that one backend server is sent, so that the parts of a service's backend servers add up to its
 * budget.
 *
 * It answers retry storms: for a share of the first tries that a backend server took in the window it may take retries,
 * and besides its part of the service's fixed allowance. Summed up that is the budget itself, however uneven the load.
 *
 * It answers retries that fan out: a run that is repeated makes its calls again, so those take from the budget of the
 * service that is called, while calls as such don't add to it.
 */
import {type RequestCause} from '@limpetbarrow/core';
import {RetryPolicy} from './retry-budget.js';

/** Size of a service's budget. */
export type RetryBudgetOptions = {
	readonly windowMs: number;
	/** Retries for each request of the window. */
	readonly ratio: number;
	/** Retries in each window beside those, for the whole service. */
	readonly allowance: number;
};

/** The last in a window, so that its sum is kept without the whole list. */
type Sample = {
	readonly at: number;
	readonly isRetry: boolean;
};

/** One backend server's part of a service's budget. */
export class WindowedRetryBudget extends RetryPolicy {
	readonly #options: RetryBudgetOptions;
	readonly #countServers: () => number;
	#samples: readonly Sample[] = [];

	/** `countServers` tells how many share the allowance. */
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
