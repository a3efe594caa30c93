/** Bounds resends to a share of the requests. */

const earnedPerRequest = 0.1;
const maxHeld = 10;

/** Each request earns a part of a resend; each resend spends one. */
export class RetryBudget {
	#held = maxHeld;

	/** Counts a first send. */
	recordRequest(): void {
		this.#held = Math.min(maxHeld, this.#held + earnedPerRequest);
	}

	/** True when a resend may be made; it is then spent. */
	takeResend(): boolean {
		const isAllowed = this.#held >= 1;
		this.#held -= isAllowed ? 1 : 0;
		return isAllowed;
	}
}
