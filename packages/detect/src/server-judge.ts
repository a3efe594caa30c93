/** Judges the backend servers of one node. */
import {Subject} from '@limpetbarrow/core';
import {type BaselineSource} from './baseline-source.js';
import {estimateServiceBaseline, noBaseline} from './baseline.js';
import {computePeerEvidence} from './compare-with-peers.js';
import {
	baselinePeers, baselineRefreshMs, comparedPeers, maxCompareMs, minCompareMs,
} from './constants.js';
import {createDetector, detectionPolicies, type DetectionPolicy} from './policies.js';
import {ServerHealth, type HealthState} from './server-health.js';
import {OutcomeRecorder} from './summary.js';
import {type Baseline, type ServerSummary, type WorkOutcome} from './types.js';

/** A change of a backend server's state. */
export type HealthChange = {
	readonly serverId: string;
	readonly before: HealthState;
	readonly after: HealthState;
	readonly badness: number;
};

type Judged = {
	readonly id: string;
	readonly service: string;
	readonly policy: DetectionPolicy;
	readonly health: ServerHealth;
	readonly recorder: OutcomeRecorder;
	readonly baseline: Baseline;
	readonly isComparing: boolean;
	/** Monotonic time before which no comparison begins, and the wait after the next, in milliseconds. */
	readonly compareAt: number;
	readonly compareMs: number;
};

type PeerCache = {
	readonly summaries: readonly ServerSummary[];
	readonly refreshAt: number;
};

/** Keeps the evidence on each backend server, asks peers, and tells of changes. */
export class ServerJudge {
	readonly changes = new Subject<HealthChange>();
	readonly #source: BaselineSource;
	readonly #judged = new Map<string, Judged>();
	readonly #peers = new Map<string, PeerCache>();

	constructor(source: BaselineSource) {
		this.#source = source;
	}

	/** Begins to judge a backend server, or begins anew when its process or its policy is another one. */
	addServer(id: string, service: string, policy: DetectionPolicy): void {
		const now = performance.now();
		this.#judged.set(id, {
			id,
			service,
			policy,
			health: new ServerHealth(createDetector(policy), detectionPolicies[policy], now),
			recorder: new OutcomeRecorder(),
			baseline: noBaseline,
			isComparing: false,
			compareAt: 0,
			compareMs: minCompareMs,
		});
		this.#updateBaselines(service);
	}

	removeServer(id: string): void {
		this.#judged.delete(id);
		const services = new Set([...this.#judged.values()].map(({service}) => service));
		[...this.#peers.keys()].filter(service => !services.has(service)).forEach(service => {
			this.#peers.delete(service);
		});
	}

	/** Policy a backend server is judged by; undefined for one that isn't judged. */
	findPolicy(id: string): DetectionPolicy | undefined {
		return this.#judged.get(id)?.policy;
	}

	getState(id: string): HealthState {
		return this.#judged.get(id)?.health.getState() ?? 'ready';
	}

	getBadness(id: string): number {
		return this.#judged.get(id)?.health.getBadness() ?? 0;
	}

	/** Takes what became of one request. */
	recordOutcome(id: string, outcome: WorkOutcome): void {
		const judged = this.#judged.get(id);
		if (!judged) {
			return;
		}

		judged.recorder.recordOutcome(outcome, judged.baseline);
		this.#updateState(judged, ({health}) => {
			if (health.recordOutcome(outcome, judged.baseline)) {
				this.#startComparison(judged, outcome.at);
			}
		});
	}

	/** Summaries of this node's servers of a service that are in use, as peers ask for them. */
	listSummaries(service: string): readonly ServerSummary[] {
		const now = performance.now();
		return [...this.#judged.values()]
			.filter(judged => judged.service === service && ['ready', 'warming'].includes(judged.health.getState()))
			.map(({recorder}) => recorder.getSummary(now));
	}

	/** Moves on with time and asks peers again where that is due. */
	sweep(): void {
		const now = performance.now();
		[...this.#judged.values()].forEach(judged => {
			this.#updateState(judged, ({health}) => {
				health.sweep(now);
			});
			if (now >= (this.#peers.get(judged.service)?.refreshAt ?? 0)) {
				void this.#fetchPeers(judged.service, now);
			}
		});
	}

	async #fetchPeers(service: string, now: number): Promise<void> {
		this.#peers.set(service, {summaries: this.#peers.get(service)?.summaries ?? [], refreshAt: now + baselineRefreshMs});
		const summaries = await this.#source.fetchSummaries(service, baselinePeers);
		this.#setPeers(service, summaries);
	}

	#setPeers(service: string, summaries: readonly ServerSummary[]): void {
		const known = this.#peers.get(service);
		if (known && summaries.length > 0) {
			this.#peers.set(service, {...known, summaries});
		}

		this.#updateBaselines(service);
	}

	#updateBaselines(service: string): void {
		const now = performance.now();
		[...this.#judged.values()].filter(judged => judged.service === service).forEach(judged => {
			const baseline = estimateServiceBaseline([...this.#listOthers(judged, now), ...this.#peers.get(service)?.summaries ?? []]);
			this.#judged.set(judged.id, {...judged, baseline});
		});
	}

	#listOthers(judged: Judged, now: number): readonly ServerSummary[] {
		return [...this.#judged.values()]
			.filter(other => other.id !== judged.id && other.service === judged.service && other.health.getState() !== 'ejected')
			.map(({recorder}) => recorder.getSummary(now));
	}

	#startComparison(judged: Judged, now: number): void {
		if (judged.isComparing || now < judged.compareAt) {
			return;
		}

		this.#judged.set(judged.id, {...judged, isComparing: true});
		void this.#compare(judged);
	}

	async #compare({id, service, health}: Judged): Promise<void> {
		const peers = await this.#source.fetchSummaries(service, comparedPeers);
		const judged = this.#judged.get(id);
		if (judged?.health !== health) {
			return;
		}

		const now = performance.now();
		const evidence = computePeerEvidence(judged.recorder.getSummary(now), [...this.#listOthers(judged, now), ...peers]);
		const isWorse = evidence >= detectionPolicies[judged.policy].peerEvidence;
		this.#judged.set(id, {
			...judged,
			isComparing: false,
			compareAt: isWorse ? 0 : now + judged.compareMs,
			compareMs: isWorse ? minCompareMs : Math.min(maxCompareMs, judged.compareMs * 2),
		});
		this.#setPeers(service, peers);
		if (isWorse) {
			this.#updateState(judged, () => {
				health.eject(now);
			});
		}
	}

	#updateState(judged: Judged, change: (judged: Judged) => void): void {
		const before = judged.health.getState();
		change(judged);
		const after = judged.health.getState();
		if (after !== before) {
			this.changes.publish({
				serverId: judged.id, before, after, badness: judged.health.getBadness(),
			});
		}
	}
}
