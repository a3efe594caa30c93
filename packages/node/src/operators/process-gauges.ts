/** Gauges for the process's CPU time, memory and work in progress. */
import process from 'node:process';
import {type MetricRegistry} from '@limpetbarrow/core';

/** Counts the work in progress of one kind. */
export type InProgressCount = {
	readonly name: string;
	readonly count: () => number;
};

/** Registers a gauge for each kind of work in progress; a planned stop waits for all of them to reach zero. */
export function registerInProgressGauges(metrics: MetricRegistry, counts: readonly InProgressCount[]): void {
	counts.forEach(({name, count}) => {
		metrics.registerGauge(`${name}_in_progress`, count);
	});
}

/** Registers gauges for CPU time and memory; each name ends in its unit. */
export function registerProcessGauges(metrics: MetricRegistry): void {
	metrics.registerGauge('process_cpu_user_us', () => process.cpuUsage().user);
	metrics.registerGauge('process_cpu_system_us', () => process.cpuUsage().system);
	metrics.registerGauge('process_resident_bytes', () => process.memoryUsage().rss);
	metrics.registerGauge('process_heap_used_bytes', () => process.memoryUsage().heapUsed);
}
