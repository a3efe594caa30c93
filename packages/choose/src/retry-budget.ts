/** Limits retries to a fraction of the traffic, so that retries can't sustain an overload. */

import {type RequestCause} from '@limpetbarrow/core';

/** Retry tokens earned by each first attempt: one retry for every ten. */
const tokensPerRequest = 0.1;
/** Most retries that can be saved up, and the retries that a service starts with. */
const maxTokens = 20;
const initialTokens = 3;
/** Retries per second that are guaranteed to requests proven not to have run, and the most that can be saved up. */
const guaranteedRetriesPerS = 1;
const maxGuaranteedRetries = 2;
const msPerS = 1000;

/** Decides whether a request may be retried. */
export abstract class RetryPolicy {
	/** Counts a first attempt. `cause` distinguishes calls that backend servers make while they run other requests. */
	abstract recordRequest(cause?: RequestCause): void;
	/** Takes the permit for one retry; false when there is none. `isNotRun` is true when the request is proven not to have run. */
	abstract takeRetry(isNotRun: boolean, now: number): boolean;
}

/** Allows every retry. Retry budgets are compared with it. */
export class UnlimitedRetries extends RetryPolicy {
	override recordRequest(): void {
		// Unlimited retries need no count.
	}

	override takeRetry(_isNotRun: boolean, _now: number): boolean {
		return true;
	}
}

/** Token bucket that is filled by first attempts; `now` is monotonic, in milliseconds. */
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
