/** Watches whether this node's requests are shed for want of capacity. */
import {type MetricRegistry} from '@limpetbarrow/core';

const shedResultCodes = ['1008', '3003', '3004'] as const;
const windowSampleCount = 20;
const maxShedShare = 0.01;

type Sample = {
	readonly requests: number;
	readonly shed: number;
};

/** Compares counters over the last samples; `sample` is called at a steady pace. */
export class SheddingMonitor {
	readonly #metrics: MetricRegistry;
	#samples: readonly Sample[] = [];

	constructor(metrics: MetricRegistry) {
		this.#metrics = metrics;
	}

	/** Takes one sample. */
	recordSample(): void {
		const shed = shedResultCodes.reduce((sum, code) => sum + this.#metrics.getCount('ingress_failures_total', {code}), 0);
		const requests = this.#metrics.getCount('ingress_requests_total');
		this.#samples = [...this.#samples, {requests, shed}].slice(-windowSampleCount);
	}

	/** True when more than a hundredth of the requests in the window were shed. */
	isShedding(): boolean {
		const first = this.#samples[0];
		const last = this.#samples.at(-1);
		return first !== undefined && last !== undefined && last.shed - first.shed > (last.requests - first.requests) * maxShedShare;
	}
}
