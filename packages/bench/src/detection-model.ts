/** Model of one service with backend servers that fail gray; the decisions are the real ones, time and outcomes are drawn. */
import {type ServerRecord} from '@limpetbarrow/core';
import {selectServing, selectTrialServers} from '@limpetbarrow/choose';
import {
	baselinePeerCount, baselineRefreshMs, comparedPeerCount, estimateServiceBaseline, computePeerEvidence, maxCompareIntervalMs, minCompareIntervalMs, priorBaseline, OutcomeRecorder, ServerHealth,
	type Baseline, type Detector, type PolicyOptions, type WorkOutcome,
} from '@limpetbarrow/detect';
import {createRandom, pickExponential, pickNormal} from './seeded-random.js';

/** How the servers of a scenario behave; times in seconds after the onset. */
export type Fault = {
	/** Share of failing requests of a server. */
	readonly failureShare?: (server: number, second: number) => number;
	/** Share of requests that take ten times as long. */
	readonly slowShare?: (server: number, second: number) => number;
	/** Share of requests lost on the way, before they reach the server. */
	readonly lostShare?: (server: number) => number;
	/** Share of callers that give up after a few milliseconds. */
	readonly impatientShare?: number;
	/** Requests per second and server; 10 by default. */
	readonly ratePerServer?: number;
};

/** A policy under test. */
export type ModelPolicy = {
	readonly name: string;
	readonly createDetector: () => Detector;
	readonly options: PolicyOptions;
	/** False for a policy that knows nothing of the other servers. */
	readonly hasPeers: boolean;
};

/** What one run showed. */
export type ModelResult = {
	/** Seconds until server 0 was ejected; undefined when it never was. */
	readonly detectionSeconds: number | undefined;
	/** Requests that server 0 got until then. */
	readonly detectionRequests: number;
	/** Ejections of server 0 in the whole run. */
	readonly ejections: number;
	/** Ejections of the other servers after the onset. */
	readonly otherEjections: number;
	/** Share of time that a server other than 0 was out of use. */
	readonly healthyLost: number;
	/** Least number of servers in use at any request. */
	readonly leastServing: number;
	/** Requests after the onset that failed or were slow. */
	readonly badShare: number;
};

const serverCount = 12;
const floor = 6;
const defaultRate = 10;
const healthyFailureShare = 0.01;
const medianMs = 40;
const deviation = 0.5;
const slowdown = 10;
const timeoutMs = 2000;
const impatientMs = 5;
const trialShare = 1 / serverCount;
const onsetMs = 300_000;
const endMs = 780_000;

type ModelServer = {
	readonly recorder: OutcomeRecorder;
	readonly health: ServerHealth;
	baseline: Baseline;
	refreshAt: number;
	compareAt: number;
	compareMs: number;
};

class ServiceModel {
	readonly #policy: ModelPolicy;
	readonly #fault: Fault;
	readonly #random: () => number;
	readonly #servers: readonly ModelServer[];
	#now = 0;
	#detectedAt: number | undefined;
	#requests = 0;
	#ejections = 0;
	#otherEjections = 0;
	#outOfUseMs = 0;
	#leastServing = serverCount;
	#bad = 0;
	#total = 0;

	constructor(policy: ModelPolicy, fault: Fault, seed: number) {
		this.#policy = policy;
		this.#fault = fault;
		this.#random = createRandom(seed);
		this.#servers = Array.from({length: serverCount}, (_, index) => ({
			recorder: new OutcomeRecorder(),
			health: new ServerHealth(policy.createDetector(), policy.options, 0),
			baseline: priorBaseline,
			refreshAt: index * 1000,
			compareAt: 0,
			compareMs: minCompareIntervalMs,
		}));
	}

	run(): ModelResult {
		const stepMs = 1000 / ((this.#fault.ratePerServer ?? defaultRate) * serverCount);
		while (this.#now < endMs) {
			const elapsed = pickExponential(this.#random) * stepMs;
			this.#now += elapsed;
			this.#runRequest(elapsed);
		}

		return {
			detectionSeconds: this.#detectedAt === undefined ? undefined : (this.#detectedAt - onsetMs) / 1000,
			detectionRequests: this.#requests,
			ejections: this.#ejections,
			otherEjections: this.#otherEjections,
			healthyLost: this.#outOfUseMs / ((endMs - onsetMs) * (serverCount - 1)),
			leastServing: this.#leastServing,
			badShare: this.#bad / this.#total,
		};
	}

	#isAfterOnset(): boolean {
		return this.#now >= onsetMs;
	}

	#runRequest(elapsed: number): void {
		const records = this.#servers.map(({health}, index) => createRecord(health, index));
		const serving = selectServing(records, floor);
		const index = this.#pickServer(records, serving);
		if (this.#isAfterOnset()) {
			this.#outOfUseMs += elapsed * records.slice(1).filter(record => !serving.includes(record)).length;
			this.#leastServing = Math.min(this.#leastServing, serving.length);
			this.#requests += Number(index === 0 && this.#detectedAt === undefined);
		}

		const outcome = this.#pickOutcome(index);
		if (outcome) {
			this.#recordOutcome(index, outcome);
		}
	}

	#pickServer(records: readonly ServerRecord[], serving: readonly ServerRecord[]): number {
		const trials = selectTrialServers(records, serving);
		const pool = trials.length > 0 && this.#random() < trialShare * trials.length ? trials : serving;
		return Number(pool[Math.floor(this.#random() * pool.length)]!.id);
	}

	#pickOutcome(index: number): WorkOutcome | undefined {
		const {failureShare, slowShare, lostShare, impatientShare = 0} = this.#fault;
		const second = (this.#now - onsetMs) / 1000;
		const isOn = this.#isAfterOnset();
		const isLost = isOn && this.#random() < (lostShare?.(index) ?? 0);
		const isFailure = this.#random() < Math.max(healthyFailureShare, isOn ? failureShare?.(index, second) ?? 0 : 0);
		const isSlow = isOn && this.#random() < (slowShare?.(index, second) ?? 0);
		const durationMs = medianMs * Math.exp(pickNormal(this.#random) * deviation) * (isSlow ? slowdown : 1);
		const boundMs = this.#random() < impatientShare ? impatientMs : timeoutMs;
		if (isOn) {
			this.#total++;
			this.#bad += Number(isFailure || isSlow);
		}

		if (isLost) {
			return undefined;
		}

		const kind = isFailure ? 'failed' : (durationMs > boundMs ? 'timedOut' : 'answered');
		return {at: this.#now, kind, durationMs: Math.min(durationMs, boundMs)};
	}

	#recordOutcome(index: number, outcome: WorkOutcome): void {
		const server = this.#servers[index]!;
		this.#servers.forEach(({health}) => {
			health.sweep(this.#now);
		});
		if (this.#policy.hasPeers && this.#now >= server.refreshAt) {
			server.refreshAt = this.#now + baselineRefreshMs;
			server.baseline = this.#estimateBaseline(index);
		}

		server.recorder.recordOutcome(outcome, server.baseline);
		const before = server.health.getState();
		if (server.health.recordOutcome(outcome, server.baseline)) {
			this.#settleAlarm(index);
		} else if (before === 'probation' && server.health.getState() === 'ejected') {
			this.#countEjection(index);
		}
	}

	#settleAlarm(index: number): void {
		const server = this.#servers[index]!;
		if (this.#now < server.compareAt) {
			return;
		}

		const peers = this.#pickPeers(index, comparedPeerCount).map(peer => peer.recorder.getSummary(this.#now));
		const evidence = computePeerEvidence(server.recorder.getSummary(this.#now), peers);
		if (this.#policy.hasPeers && evidence < this.#policy.options.peerEvidence) {
			server.baseline = estimateServiceBaseline(peers);
			server.compareAt = this.#now + server.compareMs;
			server.compareMs = Math.min(maxCompareIntervalMs, server.compareMs * 2);
			return;
		}

		server.compareMs = minCompareIntervalMs;
		server.health.eject(this.#now);
		this.#countEjection(index);
	}

	#countEjection(index: number): void {
		if (!this.#isAfterOnset()) {
			return;
		}

		if (index === 0) {
			this.#detectedAt ??= this.#now;
			this.#ejections++;
		} else {
			this.#otherEjections++;
		}
	}

	#estimateBaseline(index: number): Baseline {
		return estimateServiceBaseline(this.#pickPeers(index, baselinePeerCount).map(({recorder}) => recorder.getSummary(this.#now)));
	}

	#pickPeers(index: number, count: number): readonly ModelServer[] {
		const first = Math.floor(this.#random() * (serverCount - count));
		return Array.from({length: count}, (_, offset) => this.#servers[(index + 1 + first + offset) % serverCount]!);
	}
}

function createRecord(health: ServerHealth, index: number): ServerRecord {
	return {
		id: String(index), service: 'modelled', slots: 3, state: health.getState(), generation: 1, badness: health.getBadness(),
	};
}

/** Runs one policy against one fault. */
export function simulateService(policy: ModelPolicy, fault: Fault, seed: number): ModelResult {
	return new ServiceModel(policy, fault, seed).run();
}
