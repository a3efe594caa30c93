/** Limits resends to a fraction of the requests. */

const resendsEarnedPerRequest = 0.1;
const maxAvailableResends = 10;

/** Token bucket of resends: starts full with 10, each request adds a tenth of a resend, and each resend takes one. */
export class RetryBudget {
	#availableResends = maxAvailableResends;

	/** Counts the first send of a request. */
	recordRequest(): void {
		this.#availableResends = Math.min(maxAvailableResends, this.#availableResends + resendsEarnedPerRequest);
	}

	/** Takes one resend from the budget; returns false when none is left. */
	takeResend(): boolean {
		const isAllowed = this.#availableResends >= 1;
		this.#availableResends -= isAllowed ? 1 : 0;
		return isAllowed;
	}
}
