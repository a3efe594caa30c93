/** The clock by which terms and keys expire. */

/**
 * Clock in Unix milliseconds that never goes back: it is never behind the wall clock and advances at least as fast as the
 * monotonic clock. Setting the wall clock back therefore can't revive terms whose keys were dropped, and suspending the
 * host can't prolong terms.
 */
export class SteadyClock {
	#wall = Date.now();
	#monotonic = performance.now();

	getNow(): number {
		const monotonic = performance.now();
		this.#wall = Math.max(Date.now(), this.#wall + (monotonic - this.#monotonic));
		this.#monotonic = monotonic;
		return this.#wall;
	}
}
