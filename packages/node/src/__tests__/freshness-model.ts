/** A fleet whose nodes prove the freshness of their configuration, in one process with fake time and without sockets. */
import {EitherAsync, Left, Right} from 'purify-ts';
import {
	createFailure, SilentLogger, type Failure, type Unregister,
} from '@limpetbarrow/core';
import {
	createEntry, encodeMessage, MemberTable, MemoryNetwork, PeerQueries, type Member, type MemberEntry,
} from '@limpetbarrow/members';
import {
	ConfigurationFreshness, ConfigurationSource, ConfigurationWatcher, emptyConfiguration, listRankedIds, ReleaseState, type ReleasePeer, type SourceReadResult,
} from '@limpetbarrow/releases';
import {FreshnessExchange} from '../index.js';

/** Size of a fleet, and the losses on its paths. */
export type FreshnessPlan = {
	readonly nodes: number;
	readonly domains: number;
	readonly seed: number;
	/** Share of the datagrams that are lost. */
	readonly loss?: number;
};

/** Ages of the proofs of some nodes over a time, in milliseconds. */
export type AgeFigures = {
	readonly max: number;
	readonly p99: number;
	/** Share of the samples above the age from which keys are rejected. */
	readonly unprovenShare: number;
};

type ModelNode = {
	readonly id: string;
	readonly failureDomain: string;
	readonly state: ReleaseState;
	readonly freshness: ConfigurationFreshness;
	readonly queries: PeerQueries;
	readonly stop: () => void;
	sentBytes: number;
	sentDatagrams: number;
};

const datagramOverheadBytes = 28;
const watchersPerDomain = 4;
const nearLatencyMs = 1;
const farLatencyMs = 30;
const storeLatencyMs = 10;
const callTimeoutMs = 1500;
const boundMs = 4700;
const sampleMs = 100;

/** Creates numbers from 0 to below 1 that repeat with the seed (Park and Miller). */
export function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** Lets the fake time pass. */
export async function wait(ms: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, ms);
	});
}

/** The store as one node reaches it. */
class ModelSource extends ConfigurationSource {
	readonly #fleet: FreshnessFleet;
	readonly #id: string;

	constructor(fleet: FreshnessFleet, id: string) {
		super();
		this.#fleet = fleet;
		this.#id = id;
	}

	override registerRestoreListener(): Unregister {
		return () => undefined;
	}

	override read(): EitherAsync<Failure, SourceReadResult> {
		return this.#fetch(0, 0);
	}

	override watch(fromVersion: number, {waitMs = 0}: {readonly waitMs?: number}): EitherAsync<Failure, SourceReadResult> {
		return this.#fetch(fromVersion, waitMs);
	}

	/** A change during a long watch ends it only with its wait, so that watches count as silent here. */
	#fetch(fromVersion: number, waitMs: number): EitherAsync<Failure, SourceReadResult> {
		return EitherAsync.fromPromise(async () => {
			this.#fleet.storeCalls++;
			if (this.#isCut()) {
				await wait(waitMs + callTimeoutMs);
				return Left(createFailure('platformUnavailable', 'no answer'));
			}

			await wait(waitMs + storeLatencyMs);
			const {release} = this.#fleet;
			return Right({version: release, configuration: release > fromVersion ? {...emptyConfiguration, release} : undefined});
		});
	}

	#isCut(): boolean {
		return this.#fleet.storeCuts.has(this.#id);
	}
}

/** Runs the watcher and the exchange of each node. Tests cut nodes from the store and from each other. */
export class FreshnessFleet {
	readonly nodes: readonly ModelNode[];
	/** Ids of the nodes that don't reach the store. */
	readonly storeCuts = new Set<string>();
	/** Ids of the nodes whose datagrams are lost in both directions. */
	readonly cutIds = new Set<string>();
	/** Ids of the nodes of older builds, which know no questions. */
	readonly oldIds = new Set<string>();
	/** Ids of the nodes that the others hold for dead. */
	deadIds: ReadonlySet<string> = new Set();
	/** True while the nodes need proofs. */
	isNeeded = true;
	release = 1;
	storeCalls = 0;
	readonly #plan: FreshnessPlan;
	readonly #random: () => number;
	readonly #network: MemoryNetwork;
	readonly #domains = new Map<string, string>();
	readonly #indexes = new Map<string, number>();
	#peers: readonly ReleasePeer[] = [];
	#peersFor: ReadonlySet<string> | undefined;
	#firstIds: ReadonlyMap<string, readonly string[]> = new Map();

	constructor(plan: FreshnessPlan) {
		this.#plan = plan;
		this.#random = createRandom(plan.seed);
		Array.from({length: plan.nodes}, (_, index) => index).forEach(index => {
			this.#domains.set(`node-${index}`, `domain-${index % plan.domains}`);
			this.#indexes.set(`node-${index}`, index);
		});
		this.#network = new MemoryNetwork(({host: from}, {host: to}, message) => {
			const sender = this.nodes[this.#indexes.get(from)!]!;
			sender.sentDatagrams++;
			sender.sentBytes += encodeMessage(message).length + datagramOverheadBytes;
			const isLost = this.cutIds.has(from) || this.cutIds.has(to) || this.#random() < (plan.loss ?? 0);
			const latencyMs = this.#domains.get(from) === this.#domains.get(to) ? nearLatencyMs : farLatencyMs;
			return isLost ? undefined : latencyMs * (1 + this.#random());
		});
		const members = new Map<string, Member>();
		const entries = new Map<string, MemberEntry>();
		[...this.#domains].forEach(([id, failureDomain]) => {
			members.set(id, {record: this.#createRecord(id, failureDomain), status: 'alive'});
			entries.set(id, createEntry(id, 1, 0));
		});
		this.nodes = [...this.#domains].map(([id, failureDomain]) => this.#addNode(id, failureDomain, {members, entries}));
	}

	/** Writes a new configuration, which reaches each node from others within `spreadMs`. */
	writeRelease(spreadMs: number): void {
		this.release++;
		const configuration = {...emptyConfiguration, release: this.release};
		this.nodes.forEach(({state}) => {
			setTimeout(() => {
				state.applyConfiguration(configuration);
			}, this.#random() * spreadMs);
		});
	}

	/** Lists the ids of a domain's nodes in the order of the tree. */
	listRankedIds(domain: number): readonly string[] {
		this.#updatePeers();
		return this.#firstIds.get(`domain-${domain}`) ?? [];
	}

	getAgeMs({freshness}: ModelNode): number {
		return freshness.getAgeMs(performance.now(), Date.now());
	}

	/** Counts the nodes whose proof is too old for requests with keys. */
	countUnproven(): number {
		return this.nodes.filter(node => !(this.getAgeMs(node) <= boundMs)).length;
	}

	/** Samples the ages of the nodes that `isSampled` selects over a time; `tick` lets the fake time pass. */
	async measureAges(durationMs: number, tick: (ms: number) => Promise<unknown>, isSampled: (node: ModelNode) => boolean = () => true): Promise<AgeFigures> {
		const ages: number[] = [];
		await Array.from({length: durationMs / sampleMs}).reduce<Promise<unknown>>(async before => {
			await before;
			await tick(sampleMs);
			this.nodes.filter(node => isSampled(node)).forEach(node => {
				ages.push(this.getAgeMs(node));
			});
		}, Promise.resolve());
		const sorted = ages.toSorted((a, b) => a - b);
		return {
			max: Math.round(sorted.at(-1)!),
			p99: Math.round(sorted[Math.floor(sorted.length * 0.99)]!),
			unprovenShare: sorted.filter(age => age > boundMs).length / sorted.length,
		};
	}

	/** Returns the bytes and datagrams sent since the last call: of the busiest node, and the largest mean over a domain. */
	takeTraffic(durationMs: number): {readonly busiestBytesPerS: number; readonly busiestDatagramsPerS: number; readonly domainBytesPerS: number} {
		const seconds = durationMs / 1000;
		const sums = Array.from({length: this.#plan.domains}, (_, domain) => {
			const members = this.nodes.filter(({failureDomain}) => failureDomain === `domain-${domain}`);
			return members.reduce((sum, {sentBytes}) => sum + sentBytes, 0) / members.length;
		});
		const traffic = {
			busiestBytesPerS: Math.round(Math.max(...this.nodes.map(({sentBytes}) => sentBytes)) / seconds),
			busiestDatagramsPerS: Math.round(Math.max(...this.nodes.map(({sentDatagrams}) => sentDatagrams)) / seconds),
			domainBytesPerS: Math.round(Math.max(...sums) / seconds),
		};
		this.nodes.forEach(node => {
			node.sentBytes = 0;
			node.sentDatagrams = 0;
		});
		return traffic;
	}

	stop(): void {
		this.nodes.forEach(({stop}) => {
			stop();
		});
	}

	#updatePeers(): void {
		if (this.#peersFor !== this.deadIds) {
			this.#peersFor = this.deadIds;
			this.#peers = [...this.#domains].filter(([id]) => !this.deadIds.has(id)).map(([id, failureDomain]) => ({
				id, failureDomain, release: 1, isServing: true,
			}));
			const names = [...new Set(this.#domains.values())];
			this.#firstIds = new Map(names.map(name => [name, listRankedIds(this.#peers.filter(({failureDomain}) => failureDomain === name))]));
		}
	}

	#createRecord(id: string, failureDomain: string): Member['record'] {
		const address = {host: id, port: 1};
		return {
			id, incarnation: 1_790_000_000_000, sequence: 1, placement: {region: 'region', failureDomain}, linkAddress: address, gossipAddress: address,
			ingressAddress: address, adminAddress: address, state: 'serving', release: 1, servers: [], poison: [],
		};
	}

	#addNode(id: string, failureDomain: string, known: ConstructorParameters<typeof MemberTable>[1]): ModelNode {
		const random = this.#random;
		const transport = this.#network.createTransport();
		void transport.open({host: id, port: 1});
		const table = new MemberTable(this.#createRecord(id, failureDomain), known);
		const queries = new PeerQueries({table, transport, getRandomNumber: random});
		const state = new ReleaseState();
		const freshness = new ConfigurationFreshness(() => state.getNumber());
		transport.messages.registerListener(({message, from}) => {
			if (message.kind === 'query' && !this.oldIds.has(id)) {
				queries.handleQuery(message, from);
			} else if (message.kind === 'reply') {
				queries.handleReply(message);
			}
		});
		const exchange = new FreshnessExchange({
			selfId: id, failureDomain, freshness, queries, random, isNeeded: () => this.isNeeded, listNodes: () => {
				this.#updatePeers();
				return this.#peers;
			},
		});
		const getRank = (): number => {
			this.#updatePeers();
			return this.#firstIds.get(failureDomain)!.slice(0, watchersPerDomain).indexOf(id);
		};

		const watcher = new ConfigurationWatcher({
			source: new ModelSource(this, id),
			state,
			logger: new SilentLogger(),
			random,
			isSelectedWatcher: () => getRank() >= 0,
			countWatchers: () => this.#plan.domains * watchersPerDomain,
			countLiveNodes: () => this.#plan.nodes,
			freshness,
			getFreshnessDuty: () => ({isNeeded: this.isNeeded, isProver: getRank() === 0}),
		});
		exchange.start();
		watcher.start();
		return {
			id, failureDomain, state, freshness, queries, sentBytes: 0, sentDatagrams: 0, stop() {
				exchange.stop();
				watcher.stop();
				queries.close();
				transport.close();
			},
		};
	}
}
