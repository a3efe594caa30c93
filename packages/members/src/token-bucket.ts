/** A token bucket: a budget that refills at a fixed rate. */

const msPerSecond = 1000;

/** Holds a budget of tokens, which may be overdrawn. */
export class TokenBucket {
	readonly #rate: number;
	readonly #burst: number;
	#tokens: number;
	#refilledAt = performance.now();

	constructor(perSecond: number, burst: number) {
		this.#rate = perSecond / msPerSecond;
		this.#burst = burst;
		this.#tokens = burst;
	}

	/** Returns the current number of tokens; negative when the budget is overdrawn. */
	count(): number {
		const now = performance.now();
		this.#tokens = Math.min(this.#burst, this.#tokens + ((now - this.#refilledAt) * this.#rate));
		this.#refilledAt = now;
		return this.#tokens;
	}

	/** Takes tokens from the budget, also more than it holds. */
	take(amount: number): void {
		this.#tokens = this.count() - amount;
	}
}
