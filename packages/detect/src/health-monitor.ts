/** Monitors the health of the backend servers of one node. */
import {Subject} from '@limpetbarrow/core';
import {type PeerSummarySource} from './peer-summary-source.js';
import {estimateServiceBaseline, priorBaseline} from './baseline.js';
import {computePeerEvidence} from './peer-comparison.js';
import {
	baselinePeerCount, baselineRefreshMs, comparedPeerCount, maxCompareIntervalMs, minCompareIntervalMs,
} from './constants.js';
import {createDetector, detectionPolicies, type DetectionPolicy} from './policies.js';
import {ServerHealth, type HealthState} from './server-health.js';
import {OutcomeRecorder} from './summary.js';
import {type Baseline, type ServerSummary, type WorkOutcome} from './types.js';

/** A change of a backend server's health state. */
export type HealthChange = {
	readonly serverId: string;
	readonly before: HealthState;
	readonly after: HealthState;
	readonly badness: number;
};

type MonitoredServer = {
	readonly id: string;
	readonly service: string;
	readonly policy: DetectionPolicy;
	readonly health: ServerHealth;
	readonly recorder: OutcomeRecorder;
	readonly baseline: Baseline;
	readonly isComparing: boolean;
	/** Monotonic time before which no comparison starts, in milliseconds. */
	readonly nextComparisonAt: number;
	/** Interval after the next comparison, in milliseconds. */
	readonly comparisonIntervalMs: number;
};

/** Summaries of a service's peers, and the monotonic time at which to fetch them again, in milliseconds. */
type PeerCache = {
	readonly summaries: readonly ServerSummary[];
	readonly refreshAt: number;
};

/** Collects evidence on each backend server, compares it with its peers before an ejection and publishes changes of state. */
export class HealthMonitor {
	readonly changes = new Subject<HealthChange>();
	readonly #source: PeerSummarySource;
	readonly #monitored = new Map<string, MonitoredServer>();
	readonly #peerCaches = new Map<string, PeerCache>();

	constructor(source: PeerSummarySource) {
		this.#source = source;
	}

	/** Starts to monitor a backend server, or starts over when its process or its policy has changed. */
	addServer(id: string, service: string, policy: DetectionPolicy): void {
		const now = performance.now();
		this.#monitored.set(id, {
			id,
			service,
			policy,
			health: new ServerHealth(createDetector(policy), detectionPolicies[policy], now),
			recorder: new OutcomeRecorder(),
			baseline: priorBaseline,
			isComparing: false,
			nextComparisonAt: 0,
			comparisonIntervalMs: minCompareIntervalMs,
		});
		this.#updateBaselines(service);
	}

	removeServer(id: string): void {
		this.#monitored.delete(id);
		const services = new Set([...this.#monitored.values()].map(({service}) => service));
		[...this.#peerCaches.keys()].filter(service => !services.has(service)).forEach(service => {
			this.#peerCaches.delete(service);
		});
	}

	/** Finds the policy of a backend server; undefined when it isn't monitored. */
	findPolicy(id: string): DetectionPolicy | undefined {
		return this.#monitored.get(id)?.policy;
	}

	getState(id: string): HealthState {
		return this.#monitored.get(id)?.health.getState() ?? 'ready';
	}

	getBadness(id: string): number {
		return this.#monitored.get(id)?.health.getBadness() ?? 0;
	}

	/** Records the outcome of one request. */
	recordOutcome(id: string, outcome: WorkOutcome): void {
		const monitored = this.#monitored.get(id);
		if (!monitored) {
			return;
		}

		monitored.recorder.recordOutcome(outcome, monitored.baseline);
		this.#updateState(monitored, ({health}) => {
			if (health.recordOutcome(outcome, monitored.baseline)) {
				this.#startComparison(monitored, outcome.at);
			}
		});
	}

	/** Lists the summaries of this node's ready and warming servers of a service, which peers fetch. */
	listSummaries(service: string): readonly ServerSummary[] {
		const now = performance.now();
		return [...this.#monitored.values()]
			.filter(monitored => monitored.service === service && ['ready', 'warming'].includes(monitored.health.getState()))
			.map(({recorder}) => recorder.getSummary(now));
	}

	/** Makes the state changes that are due and fetches the summaries of peers that are due. */
	sweep(): void {
		const now = performance.now();
		[...this.#monitored.values()].forEach(monitored => {
			this.#updateState(monitored, ({health}) => {
				health.sweep(now);
			});
			if (now >= (this.#peerCaches.get(monitored.service)?.refreshAt ?? 0)) {
				void this.#fetchPeers(monitored.service, now);
			}
		});
	}

	async #fetchPeers(service: string, now: number): Promise<void> {
		this.#peerCaches.set(service, {summaries: this.#peerCaches.get(service)?.summaries ?? [], refreshAt: now + baselineRefreshMs});
		const summaries = await this.#source.fetchSummaries(service, baselinePeerCount);
		this.#setPeers(service, summaries);
	}

	#setPeers(service: string, summaries: readonly ServerSummary[]): void {
		const known = this.#peerCaches.get(service);
		if (known && summaries.length > 0) {
			this.#peerCaches.set(service, {...known, summaries});
		}

		this.#updateBaselines(service);
	}

	#updateBaselines(service: string): void {
		const now = performance.now();
		[...this.#monitored.values()].filter(monitored => monitored.service === service).forEach(monitored => {
			const baseline = estimateServiceBaseline([...this.#listOthers(monitored, now), ...this.#peerCaches.get(service)?.summaries ?? []]);
			this.#monitored.set(monitored.id, {...monitored, baseline});
		});
	}

	#listOthers(monitored: MonitoredServer, now: number): readonly ServerSummary[] {
		return [...this.#monitored.values()]
			.filter(other => other.id !== monitored.id && other.service === monitored.service && other.health.getState() !== 'ejected')
			.map(({recorder}) => recorder.getSummary(now));
	}

	#startComparison(monitored: MonitoredServer, now: number): void {
		if (monitored.isComparing || now < monitored.nextComparisonAt) {
			return;
		}

		this.#monitored.set(monitored.id, {...monitored, isComparing: true});
		void this.#compareWithPeers(monitored);
	}

	async #compareWithPeers({id, service, health}: MonitoredServer): Promise<void> {
		const peers = await this.#source.fetchSummaries(service, comparedPeerCount);
		const monitored = this.#monitored.get(id);
		if (monitored?.health !== health) {
			return;
		}

		const now = performance.now();
		const evidence = computePeerEvidence(monitored.recorder.getSummary(now), [...this.#listOthers(monitored, now), ...peers]);
		const isWorse = evidence >= detectionPolicies[monitored.policy].peerEvidence;
		this.#monitored.set(id, {
			...monitored,
			isComparing: false,
			nextComparisonAt: isWorse ? 0 : now + monitored.comparisonIntervalMs,
			comparisonIntervalMs: isWorse ? minCompareIntervalMs : Math.min(maxCompareIntervalMs, monitored.comparisonIntervalMs * 2),
		});
		this.#setPeers(service, peers);
		if (isWorse) {
			this.#updateState(monitored, () => {
				health.eject(now);
			});
		}
	}

	#updateState(monitored: MonitoredServer, change: (monitored: MonitoredServer) => void): void {
		const before = monitored.health.getState();
		change(monitored);
		const after = monitored.health.getState();
		if (after !== before) {
			this.changes.publish({
				serverId: monitored.id, before, after, badness: monitored.health.getBadness(),
			});
		}
	}
}
