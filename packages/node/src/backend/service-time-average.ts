/** Estimates the time that a backend server takes for a request. */

/** Weight of the newest duration in the mean. */
const newestWeight = 0.2;

/** Exponentially weighted moving average of request durations. */
export class ServiceTimeAverage {
	#meanMs = 0;

	/** Expected duration, in milliseconds; 0 before the first request. */
	getExpectedMs(): number {
		return this.#meanMs;
	}

	record(durationMs: number): void {
		this.#meanMs = this.#meanMs === 0 ? durationMs : this.#meanMs + (newestWeight * (durationMs - this.#meanMs));
	}
}
