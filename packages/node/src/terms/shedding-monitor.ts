/** Detects whether this node's requests are being shed for lack of capacity. */
import {type MetricRegistry} from '@limpetbarrow/core';

/** Codes of the results `noServer`, `queueFull` and `queueDeadline`. */
const shedResultCodes = ['1008', '3003', '3004'] as const;
/** Number of samples that the window covers. */
const windowSampleCount = 20;
/** Share of shed requests above which the node counts as shedding. */
const maxShedShare = 0.01;

type Sample = {
	readonly requests: number;
	readonly shed: number;
};

/** Compares metric counters between the first and the last sample of a window; `recordSample` is called at a fixed interval. */
export class SheddingMonitor {
	readonly #metrics: MetricRegistry;
	#samples: readonly Sample[] = [];

	constructor(metrics: MetricRegistry) {
		this.#metrics = metrics;
	}

	/** Records the current values of the counters and drops the oldest sample of a full window. */
	recordSample(): void {
		const shed = shedResultCodes.reduce((sum, code) => sum + this.#metrics.getCount('ingress_failures_total', {code}), 0);
		const requests = this.#metrics.getCount('ingress_requests_total');
		this.#samples = [...this.#samples, {requests, shed}].slice(-windowSampleCount);
	}

	/** True when more than 1 % of the requests in the window were shed. */
	isShedding(): boolean {
		const first = this.#samples[0];
		const last = this.#samples.at(-1);
		return first !== undefined && last !== undefined && last.shed - first.shed > (last.requests - first.requests) * maxShedShare;
	}
}
