/**
 * Bounds retries over a sliding window so that the parts of all nodes add up to the fleet's budget.
 *
 * It answers retry storms: of the requests that a node took in the window, a share may be sent once more, and each node
 * may add its part of the fleet's fixed allowance. Summed over the nodes that is the budget itself, however uneven
 * their load.
 */
import {RetryPolicy} from './retry-budget.js';

/** Size of a service's budget. */
export type RetryWindow = {
	readonly windowMs: number;
	/** Retries for each request of the window. */
	readonly ratio: number;
	/** Retries in each window beside those, for the whole fleet. */
	readonly allowance: number;
};

/** The last in a window, so that its sum is kept without the whole list. */
type Sample = {
	readonly at: number;
	readonly isRetry: boolean;
};

/** One node's part of a service's budget. */
export class WindowedRetries extends RetryPolicy {
	readonly #window: RetryWindow;
	readonly #countNodes: () => number;
	#samples: readonly Sample[] = [];

	/** `countNodes` tells how many nodes share the allowance. */
	constructor(window: RetryWindow, countNodes: () => number) {
		super();
		this.#window = window;
		this.#countNodes = countNodes;
	}

	override recordRequest(): void {
		this.#add(false, performance.now());
	}

	override takeRetry(_isNotRun: boolean, now: number): boolean {
		const {windowMs, ratio, allowance} = this.#window;
		this.#samples = this.#samples.filter(({at}) => at > now - windowMs);
		const retries = this.#samples.filter(({isRetry}) => isRetry).length;
		const requests = this.#samples.length - retries;
		if (retries + 1 > (ratio * requests) + (allowance / Math.max(1, this.#countNodes()))) {
			return false;
		}

		this.#add(true, now);
		return true;
	}

	#add(isRetry: boolean, at: number): void {
		const oldest = at - this.#window.windowMs;
		this.#samples = [...this.#samples.filter(sample => sample.at > oldest), {at, isRetry}];
	}
}
