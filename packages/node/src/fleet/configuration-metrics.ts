/** Metrics that tell how current this node's configuration is, and the calls that it costs. */
import {type MetricRegistry} from '@limpetbarrow/core';
import {type MemberTable} from '@limpetbarrow/members';
import {type CallKind, type ObjectStore} from '@limpetbarrow/object-store';
import {type ReleaseState} from '@limpetbarrow/releases';

/** Where the metrics are read. */
export type ConfigurationMetricsOptions = {
	readonly store: ObjectStore;
	readonly state: ReleaseState;
	readonly table: Pick<MemberTable, 'getHeardRelease'>;
	/** Returns the time since the platform last answered a read or a watch of the configuration, in milliseconds. */
	readonly getAnswerAgeMs: () => number;
};

const callKinds: readonly CallKind[] = ['get', 'list', 'create', 'update', 'delete', 'watch'];

/** Registers gauges for the release in force and the calls to the platform, and counts changes of the release by source. */
export function registerConfigurationMetrics(metrics: MetricRegistry, {store, state, table, getAnswerAgeMs}: ConfigurationMetricsOptions): void {
	metrics.registerGauge('configuration_release', () => state.getNumber());
	metrics.registerGauge('configuration_heard_release', () => table.getHeardRelease());
	metrics.registerGauge('configuration_answer_age_ms', () => Math.round(getAnswerAgeMs()));
	metrics.registerGauge('platform_store_era', () => store.getEra() ?? 0);
	callKinds.forEach(kind => {
		metrics.registerGauge(`platform_calls_total{kind="${kind}"}`, () => store.getCallCounts()[kind]);
	});
	state.store.registerListener(({after: {source = ''}}) => {
		const isOwnCall = source === 'read' || source === 'watch';
		metrics.addCount('configuration_changes_total', 1, {source: isOwnCall ? source : 'node'});
	});
}
