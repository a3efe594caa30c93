/** Time for the expiry of terms and keys. */

/**
 * Unix milliseconds that never go back: at least the wall clock, and at least as fast as the monotonic clock. A wall
 * clock that is set back thus can't bring terms back whose keys were dropped, and a suspended host can't prolong them.
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
