/** How long a backend server takes for the requests of each route. */
import {initialDurationMs, durationWeight} from './constants.js';

const maxRoutes = 1024;

/** Keeps an exponentially weighted mean of durations for each route, and one over all. */
export class DurationEstimator {
	readonly #meansByRoute = new Map<string, number>();
	#overallMeanMs = initialDurationMs;

	/** Takes the duration of a whole answer. */
	recordDuration(route: string, durationMs: number): void {
		const before = this.#meansByRoute.get(route) ?? durationMs;
		this.#meansByRoute.delete(route);
		this.#meansByRoute.set(route, before + (durationWeight * (durationMs - before)));
		this.#overallMeanMs += durationWeight * (durationMs - this.#overallMeanMs);
		const [oldest] = this.#meansByRoute.keys();
		if (this.#meansByRoute.size > maxRoutes && oldest !== undefined) {
			this.#meansByRoute.delete(oldest);
		}
	}

	/** Expected duration of a request, in milliseconds. */
	estimateDuration(route: string): number {
		return this.#meansByRoute.get(route) ?? this.#overallMeanMs;
	}
}
