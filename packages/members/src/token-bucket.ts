/** A budget that refills at a fixed rate. */

const msPerSecond = 1000;

/** Holds a budget; it may be overdrawn by what is taken. */
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

	/** What is left now; below zero when overdrawn. */
	count(): number {
		const now = performance.now();
		this.#tokens = Math.min(this.#burst, this.#tokens + ((now - this.#refilledAt) * this.#rate));
		this.#refilledAt = now;
		return this.#tokens;
	}

	/** Takes from the budget, also what it doesn't hold. */
	take(amount: number): void {
		this.#tokens = this.count() - amount;
	}
}
