/** A fleet whose nodes keep their configuration up to date, in one process with fake time and without sockets. */
import {EitherAsync, Left, Right} from 'purify-ts';
import {
	Carrier, createFailure, SilentLogger, type Address, type Exchange, type ExchangeHandler, type Failure, type NodeRecord, type RequestHead, type Unregister,
} from '@limpetbarrow/core';
import {
	gossipPeriodMs, Membership, MemberTable, MemoryNetwork, type MessageTransport,
} from '@limpetbarrow/members';
import {
	ConfigurationSource, ConfigurationWatcher, emptyConfiguration, ReleaseState, type SourceReadResult,
} from '@limpetbarrow/releases';
import {ConfigurationCarrier, PeerConfigurationFetcher} from '../fleet/peer-configurations.js';
import {WatcherRole} from '../fleet/watcher-role.js';
import {createClosedExchange} from '../routing/closed-exchange.js';
import {createRandom, wait} from './freshness-model.js';

/** Size and ways of a fleet. */
export type ConfigurationFleetPlan = {
	readonly nodes: number;
	readonly domains: number;
	readonly seed: number;
	/** Share of the datagrams that are lost. */
	readonly loss?: number;
	/** Time in which a node sends the configuration to one other, while it sends to no third one, in milliseconds. */
	readonly transferMs?: number;
};

type ModelProcess = {
	readonly table: MemberTable;
	readonly state: ReleaseState;
	readonly membership: Membership;
	readonly stop: () => void;
};

/** Receives what becomes of a transfer. */
type TransferHandler = {
	readonly handleStart: () => void;
	readonly handleArrival: (process: ModelProcess) => void;
	readonly handleAbsence: () => void;
};

const nearLatencyMs = 1;
const farLatencyMs = 30;
const storeLatencyMs = 4;
const callTimeoutMs = 1500;
const contactsPerKind = 3;

/** The store as one node reaches it. Watches that wait when an outage begins never get an answer. */
class ModelSource extends ConfigurationSource {
	readonly #fleet: ConfigurationFleet;

	constructor(fleet: ConfigurationFleet) {
		super();
		this.#fleet = fleet;
	}

	override registerRestoreListener(): Unregister {
		return () => undefined;
	}

	override read(): EitherAsync<Failure, SourceReadResult> {
		return this.#answer(0);
	}

	override watch(fromVersion: number, {waitMs = 0}: {readonly waitMs?: number}): EitherAsync<Failure, SourceReadResult> {
		const {outages} = this.#fleet;
		return EitherAsync.fromPromise(async () => {
			await this.#fleet.waitForChange(fromVersion, waitMs);
			if (this.#fleet.outages !== outages && !this.#fleet.isStoreAway) {
				await wait(waitMs + callTimeoutMs);
				return Left(createFailure('platformUnavailable', 'no answer'));
			}

			return this.#answer(fromVersion).run();
		});
	}

	#answer(fromVersion: number): EitherAsync<Failure, SourceReadResult> {
		return EitherAsync.fromPromise(async () => {
			await wait(storeLatencyMs);
			const {release, isStoreAway} = this.#fleet;
			return isStoreAway
				? Left(createFailure('platformUnavailable', 'status 503'))
				: Right({version: release, configuration: release > fromVersion ? {...emptyConfiguration, release} : undefined});
		});
	}
}

/** The way to another node, over which configurations come. */
class ModelLink extends Carrier {
	readonly #fleet: ConfigurationFleet;
	readonly #targetId: string;

	constructor(fleet: ConfigurationFleet, targetId: string) {
		super();
		this.#fleet = fleet;
		this.#targetId = targetId;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		void this.#fleet.sendConfiguration(this.#targetId, {
			handleStart() {
				handler.handleHead({status: 200, headers: []});
			},
			handleArrival(process) {
				new ConfigurationCarrier(process.state).openExchange(head, {
					...handler, handleHead() {
						// The response has begun before.
					},
				});
			},
			handleAbsence() {
				handler.handleFailure(createFailure('linkUnreachable', 'no process'));
			},
		});
		return createClosedExchange();
	}
}

/** Runs membership, watcher and fetcher of each node. Tests stop nodes and the store. */
export class ConfigurationFleet {
	/** Running processes by node id. */
	readonly processes = new Map<string, ModelProcess>();
	isStoreAway = false;
	/** Number of outages of the store so far. */
	outages = 0;
	release = 1;
	/** Ids of the nodes whose links to others are silent. */
	readonly #silentIds = new Set<string>();
	readonly #plan: ConfigurationFleetPlan;
	readonly #random: () => number;
	readonly #network: MemoryNetwork;
	readonly #transfers = new Map<string, number>();
	#waiters: ReadonlySet<() => void> = new Set();
	#incarnation = 1_790_000_000_000;

	constructor(plan: ConfigurationFleetPlan) {
		this.#plan = plan;
		this.#random = createRandom(plan.seed);
		this.#network = new MemoryNetwork(({host: from}, {host: to}) => {
			const isLost = this.#random() < (plan.loss ?? 0);
			return isLost ? undefined : this.#getLatencyMs(from, to) * (1 + this.#random());
		});
		this.listIds().forEach(id => {
			this.startProcess(id);
		});
	}

	listIds(): readonly string[] {
		return Array.from({length: this.#plan.nodes}, (_, index) => `node-${index}`);
	}

	/** Returns a number from 0 to below 1 of the plan's seed. */
	pickNumber(): number {
		return this.#random();
	}

	writeRelease(): void {
		this.release++;
		this.#endWaits();
	}

	/** Begins or ends an outage, in which each call fails at once. */
	setStoreAway(isStoreAway: boolean): void {
		this.isStoreAway = isStoreAway;
		this.outages += Number(isStoreAway);
	}

	/** Resolves when there is a newer release than that, or after the wait. An outage holds the news back. */
	async waitForChange(release: number, waitMs: number): Promise<void> {
		if (this.release > release) {
			return;
		}

		await new Promise<void>(resolve => {
			const end = (): void => {
				clearTimeout(timer);
				this.#waiters = new Set([...this.#waiters].filter(waiter => waiter !== end));
				resolve();
			};

			const timer = setTimeout(end, waitMs);
			this.#waiters = new Set([...this.#waiters, end]);
		});
	}

	/** Opens the way to a node, which sends its configuration, to several others ever more slowly. Silent links do nothing. */
	async sendConfiguration(id: string, {handleStart, handleArrival, handleAbsence}: TransferHandler): Promise<void> {
		const {transferMs = 5} = this.#plan;
		await wait(farLatencyMs);
		if (this.#silentIds.has(id)) {
			return;
		}

		if (!this.processes.has(id)) {
			handleAbsence();
			return;
		}

		handleStart();
		const count = (this.#transfers.get(id) ?? 0) + 1;
		this.#transfers.set(id, count);
		await wait(transferMs * count);
		this.#transfers.set(id, this.#transfers.get(id)! - 1);
		const process = this.processes.get(id);
		if (process) {
			handleArrival(process);
		} else if (!this.#silentIds.has(id)) {
			handleAbsence();
		}
	}

	/** Starts the next process of a node. It finds others through the store, or is found by them. */
	startProcess(id: string): void {
		const random = this.#random;
		this.#incarnation++;
		const transport = this.#network.createTransport();
		void transport.open({host: id, port: 1});
		const table = new MemberTable(this.#createRecord(id));
		const membership = new Membership({
			table, transport, seeds: [], getRandomNumber: random,
		});
		const state = new ReleaseState();
		const clock = {lastMessageAt: 0};
		transport.messages.registerListener(received => {
			clock.lastMessageAt = performance.now();
			membership.handleMessage(received);
		});
		state.store.registerListener(({after}) => {
			table.updateSelf(() => ({release: after.configuration.release}));
		});
		const role = new WatcherRole(table, {getLastMessageAt: () => clock.lastMessageAt});
		const watcher = new ConfigurationWatcher({
			source: new ModelSource(this),
			state,
			logger: new SilentLogger(),
			random,
			isSelectedWatcher: () => role.isWatcher(),
			countWatchers: () => role.countWatchers(),
			countLiveNodes: () => table.listLive().length,
		});
		const fetcher = new PeerConfigurationFetcher({
			table, state, random, logger: new SilentLogger(), findEgress: peerId => table.findMember(peerId) && new ModelLink(this, peerId), isWatching: () => watcher.isWatching(), readPlatform() {
				watcher.readNow();
			},
		});
		const timers = this.#startTimers(id, membership);
		watcher.start();
		fetcher.start();
		this.processes.set(id, {
			table, state, membership, stop: () => {
				timers.forEach(timer => {
					clearInterval(timer);
				});
				watcher.stop();
				fetcher.stop();
				this.#stopTransport(id, transport);
			},
		});
	}

	/** Ends the process of a node; as planned, it tells others. */
	stopProcess(id: string, isPlanned: boolean): void {
		const process = this.processes.get(id);
		if (isPlanned) {
			process?.membership.leave();
		}

		process?.stop();
		this.processes.delete(id);
	}

	/** Takes a node away: it tells nobody, and its links are silent. */
	removeNode(id: string): void {
		this.#silentIds.add(id);
		this.stopProcess(id, false);
	}

	/** Lists the ids of the nodes that lack the newest release. */
	listLateIds(): readonly string[] {
		return [...this.processes].filter(([, {state}]) => state.getNumber() < this.release).map(([id]) => id);
	}

	stop(): void {
		[...this.processes.keys()].forEach(id => {
			this.stopProcess(id, false);
		});
	}

	#startTimers(id: string, membership: Membership): readonly NodeJS.Timeout[] {
		const findContacts = (): void => {
			if (!this.isStoreAway) {
				membership.addSeeds(this.#pickContacts(id));
			}
		};

		const retry = setInterval(() => {
			if ((this.processes.get(id)?.table.listLive().length ?? 0) <= 1) {
				findContacts();
			}
		}, 2000);
		setTimeout(findContacts, storeLatencyMs);
		return [retry, setInterval(() => {
			membership.runStep();
		}, gossipPeriodMs)];
	}

	#pickContacts(id: string): readonly Address[] {
		const others = [...this.processes.keys()].filter(other => other !== id).map(other => ({other, order: this.#random()}))
			.toSorted((a, b) => a.order - b.order).map(({other}) => other);
		const near = others.filter(other => this.#getDomain(other) === this.#getDomain(id)).slice(0, contactsPerKind);
		const far = others.filter(other => this.#getDomain(other) !== this.#getDomain(id)).slice(0, contactsPerKind);
		return [...near, ...far].map(host => ({host, port: 1}));
	}

	#stopTransport(id: string, transport: MessageTransport): void {
		transport.close();
		this.#network.remove({host: id, port: 1});
	}

	#endWaits(): void {
		[...this.#waiters].forEach(end => {
			end();
		});
	}

	#getDomain(id: string): number {
		return Number(id.split('-')[1]) % this.#plan.domains;
	}

	#getLatencyMs(from: string, to: string): number {
		return this.#getDomain(from) === this.#getDomain(to) ? nearLatencyMs : farLatencyMs;
	}

	#createRecord(id: string): NodeRecord {
		const address = {host: id, port: 1};
		const domain = this.#getDomain(id);
		return {
			id, incarnation: this.#incarnation, sequence: 1, placement: {region: `region-${domain % 3}`, failureDomain: `domain-${domain}`}, linkAddress: address,
			gossipAddress: address, ingressAddress: address, adminAddress: address, state: 'serving', release: 0, servers: [], poison: [],
		};
	}
}
