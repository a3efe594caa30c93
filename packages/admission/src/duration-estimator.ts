/** Estimates how long a backend server takes for a request of each route. */
import {initialDurationMs, durationWeight} from './constants.js';

const maxRoutes = 1024;

/** Exponentially weighted means of durations, one for each route and one over all routes for those without their own. */
export class DurationEstimator {
	readonly #byRoute = new Map<string, number>();
	#overallMs = initialDurationMs;

	/** Records the duration of a complete request, in milliseconds. */
	recordDuration(route: string, durationMs: number): void {
		const before = this.#byRoute.get(route) ?? durationMs;
		this.#byRoute.delete(route);
		this.#byRoute.set(route, before + (durationWeight * (durationMs - before)));
		this.#overallMs += durationWeight * (durationMs - this.#overallMs);
		const [oldest] = this.#byRoute.keys();
		if (this.#byRoute.size > maxRoutes && oldest !== undefined) {
			this.#byRoute.delete(oldest);
		}
	}

	/** True once the duration of a request of the route has been recorded. */
	hasRecord(route: string): boolean {
		return this.#byRoute.has(route);
	}

	/** Estimates the duration of a request of the route, in milliseconds; for one without a record, the default or the mean of all. */
	estimateDuration(route: string, defaultMs = this.#overallMs): number {
		return this.#byRoute.get(route) ?? defaultMs;
	}
}
