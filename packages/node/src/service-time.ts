/** Expected time that a backend server takes for a request. */

const weight = 0.2;

/** Keeps an exponentially weighted mean of durations. */
export class ServiceTime {
	#meanMs = 0;

	/** Expected duration, in milliseconds; 0 before the first request. */
	getExpectedMs(): number {
		return this.#meanMs;
	}

	record(durationMs: number): void {
		this.#meanMs = this.#meanMs === 0 ? durationMs : this.#meanMs + (weight * (durationMs - this.#meanMs));
	}
}
