/** Bounds retries to a share of the traffic, so that they can't keep an overload going. */

import {type RequestCause} from '@limpetbarrow/core';

/** Share of first tries that may be followed by a retry. */
const tokensPerRequest = 0.1;
/** Retries that may be saved up, and those a service starts with. */
const maxTokens = 20;
const initialTokens = 3;
/** Retries per second that a proven "not run" may always have. */
const guaranteedRetriesPerS = 1;
const maxGuaranteedRetries = 2;
const msPerS = 1000;

/** Decides on retries. */
export abstract class RetryPolicy {
	/** Counts a first try; calls that backend servers make for other requests are told apart by their cause. */
	abstract recordRequest(cause?: RequestCause): void;
	/** Takes the permit for one retry; `isNotRun` when the request is proven not to have run. */
	abstract takeRetry(isNotRun: boolean, now: number): boolean;
}

/** Allows every retry; the baseline that budgets are compared with. */
export class UnlimitedRetries extends RetryPolicy {
	override recordRequest(): void {
		// Nothing is counted.
	}

	override takeRetry(_isNotRun: boolean, _now: number): boolean {
		return true;
	}
}

/** Token bucket filled by first tries. */
export class RetryBudget extends RetryPolicy {
	#tokens = initialTokens;
	#guaranteedTokens = maxGuaranteedRetries;
	#guaranteedTokensAt = 0;

	override recordRequest(): void {
		this.#tokens = Math.min(maxTokens, this.#tokens + tokensPerRequest);
	}

	override takeRetry(isNotRun: boolean, now: number): boolean {
		if (this.#tokens >= 1) {
			this.#tokens--;
			return true;
		}

		return isNotRun && this.#takeGuaranteedRetry(now);
	}

	#takeGuaranteedRetry(now: number): boolean {
		this.#guaranteedTokens = Math.min(maxGuaranteedRetries, this.#guaranteedTokens + (Math.max(0, now - this.#guaranteedTokensAt) * guaranteedRetriesPerS / msPerS));
		this.#guaranteedTokensAt = now;
		if (this.#guaranteedTokens < 1) {
			return false;
		}

		this.#guaranteedTokens--;
		return true;
	}
}
