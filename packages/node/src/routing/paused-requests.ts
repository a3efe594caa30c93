/** The requests of one node that pause before they ask backend servers again. */
import {type MetricRegistry} from '@limpetbarrow/core';

/** Largest number of requests that pause at once; each holds its buffered body. */
const maxPausedRequests = 256;

/** Runs the timers of paused requests, at most `maxPausedRequests` at once. */
export class PausedRequests {
	readonly #metrics: MetricRegistry;
	readonly #timers = new Set<NodeJS.Timeout>();

	constructor(metrics: MetricRegistry) {
		this.#metrics = metrics;
		metrics.registerGauge('ingress_paused_requests', () => this.#timers.size);
	}

	/** Starts a pause, at whose end it calls back. Returns a function that ends it early, or undefined if too many pause. */
	start(pauseMs: number, handleEnd: () => void): (() => void) | undefined {
		if (this.#timers.size >= maxPausedRequests) {
			this.#metrics.addCount('ingress_pauses_refused_total');
			return undefined;
		}

		this.#metrics.addCount('ingress_pauses_total');
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			handleEnd();
		}, pauseMs);
		this.#timers.add(timer);
		return () => {
			clearTimeout(timer);
			this.#timers.delete(timer);
		};
	}
}
