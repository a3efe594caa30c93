/** How long a backend server takes for the requests of each route. */
import {initialWorkMs, workWeight} from './constants.js';

const maxRoutes = 1024;

/** Keeps an exponentially weighted mean of durations for each route, and one over all. */
export class WorkTimes {
	readonly #byRoute = new Map<string, number>();
	#overallMs = initialWorkMs;

	/** Takes the duration of a whole answer. */
	recordWork(route: string, durationMs: number): void {
		const before = this.#byRoute.get(route) ?? durationMs;
		this.#byRoute.delete(route);
		this.#byRoute.set(route, before + (workWeight * (durationMs - before)));
		this.#overallMs += workWeight * (durationMs - this.#overallMs);
		const [oldest] = this.#byRoute.keys();
		if (this.#byRoute.size > maxRoutes && oldest !== undefined) {
			this.#byRoute.delete(oldest);
		}
	}

	/** Expected duration of a request, in milliseconds. */
	estimateWork(route: string): number {
		return this.#byRoute.get(route) ?? this.#overallMs;
	}
}
