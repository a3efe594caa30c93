/** Counters, gauges and histograms, reported in the Prometheus text exposition format. */
import process from 'node:process';
import {build, type Histogram} from 'hdr-histogram-js';

/** Label names and values of one series. */
export type Labels = Readonly<Record<string, string>>;

type Series = {
	readonly name: string;
	readonly labels: string;
};

const reportedQuantiles = [0.5, 0.9, 0.99, 0.999] as const;
const maxRecordableUs = 600_000_000;

/** Holds the metrics of one process. Names carry their unit, as in `request_duration_us`. */
export class MetricRegistry {
	readonly #counters = new Map<string, number>();
	readonly #histograms = new Map<string, {readonly series: Series; readonly histogram: Histogram}>();
	readonly #gauges = new Map<string, () => number>();

	/** Adds to a counter. */
	addCount(name: string, amount = 1, labels: Labels = {}): void {
		const key = formatSeries({name, labels: formatLabels(labels)});
		this.#counters.set(key, (this.#counters.get(key) ?? 0) + amount);
	}

	/** Returns the value of a counter; 0 if nothing was added to it. */
	getCount(name: string, labels: Labels = {}): number {
		return this.#counters.get(formatSeries({name, labels: formatLabels(labels)})) ?? 0;
	}

	/** Registers a gauge whose value `read` returns at each report. Returns a function that unregisters it. */
	registerGauge(name: string, read: () => number): () => void {
		this.#gauges.set(name, read);
		return () => {
			this.#gauges.delete(name);
		};
	}

	/** Records a duration in microseconds, rounded to whole ones and clamped to the range of 0 to 10 minutes. */
	recordDuration(name: string, microseconds: number, labels: Labels = {}): void {
		const series = {name, labels: formatLabels(labels)};
		const key = formatSeries(series);
		const entry = this.#histograms.get(key) ?? {
			series,
			histogram: build({
				bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: maxRecordableUs, numberOfSignificantValueDigits: 2,
			}),
		};
		this.#histograms.set(key, entry);
		entry.histogram.recordValue(Math.min(maxRecordableUs, Math.max(0, Math.round(microseconds))));
	}

	/** Formats the report: one line per counter, gauge, quantile, histogram count and histogram sum. */
	formatReport(): string {
		const counters = [...this.#counters].map(([key, value]) => `limpetbarrow_${key} ${value}`);
		const gauges = [...this.#gauges].map(([key, read]) => `limpetbarrow_${key} ${read()}`);
		const histograms = [...this.#histograms.values()].flatMap(({series, histogram}) => formatHistogram(series, histogram));
		return `${[...counters, ...gauges, ...histograms].toSorted((a, b) => a.localeCompare(b)).join('\n')}\n`;
	}
}

function formatLabels(labels: Labels): string {
	return Object.entries(labels)
		.map(([name, value]) => `${name}="${value.replaceAll(/[\\"\n]/gv, '_')}"`)
		.join(',');
}

function formatSeries({name, labels}: Series): string {
	return labels === '' ? name : `${name}{${labels}}`;
}

function formatHistogram({name, labels}: Series, histogram: Histogram): readonly string[] {
	const prefix = labels === '' ? '' : `${labels},`;
	const quantiles = reportedQuantiles.map(quantile => `limpetbarrow_${name}{${prefix}quantile="${quantile}"} ${histogram.getValueAtPercentile(quantile * 100)}`);
	return [
		...quantiles,
		`limpetbarrow_${formatSeries({name: `${name}_count`, labels})} ${histogram.totalCount}`,
		`limpetbarrow_${formatSeries({name: `${name}_sum`, labels})} ${Math.round(histogram.mean * histogram.totalCount)}`,
	];
}
