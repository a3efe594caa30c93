/** Gauges of the process itself: processor time and memory. */
import process from 'node:process';
import {type MetricRegistry} from '@limpetbarrow/core';

/** Number of one kind of work in progress. */
export type InProgressCount = {
	readonly name: string;
	readonly count: () => number;
};

/** Registers a gauge for each kind of work in progress, which a planned stop waits for. */
export function registerInProgressGauges(metrics: MetricRegistry, counts: readonly InProgressCount[]): void {
	counts.forEach(({name, count}) => {
		metrics.registerGauge(`${name}_in_progress`, count);
	});
}

/** Registers the gauges; units are in their names. */
export function registerProcessGauges(metrics: MetricRegistry): void {
	metrics.registerGauge('process_cpu_user_us', () => process.cpuUsage().user);
	metrics.registerGauge('process_cpu_system_us', () => process.cpuUsage().system);
	metrics.registerGauge('process_resident_bytes', () => process.memoryUsage().rss);
	metrics.registerGauge('process_heap_used_bytes', () => process.memoryUsage().heapUsed);
}
