/** Finds other nodes through the object API: each node writes one entry and lists the entries of the others. */
import {setTimeout as wait} from 'node:timers/promises';
import {EitherAsync, Left} from 'purify-ts';
import {
	createFailure, parseAddress, pickRandom, type Address, type Failure, type Logger, type PoisonMark, type Unregister,
} from '@limpetbarrow/core';
import {type NodeMarks} from '@limpetbarrow/detect';
import {type LeftServers} from '@limpetbarrow/members';
import {type EraChange, type ObjectStore, type StoredObject} from '@limpetbarrow/object-store';
import {
	NodeEntry, nodeKeyPrefix, parseNodeEntry, type NodeEntryFields,
} from '../node-entry.js';
import {MarkStorage} from './mark-storage.js';

/** Dependencies of discovery. */
export type StoreDiscoveryOptions = {
	readonly store: ObjectStore;
	readonly self: {readonly id: string; readonly failureDomain: string; readonly gossipAddress: Address};
	/** Called with the backend servers of this host that have left, as the previous process of this node stored them. */
	readonly handleDepartures?: (left: LeftServers) => void;
	/** Called with the poison marks that an earlier process of this node stored. */
	readonly handleOwnMarks?: (marks: readonly PoisonMark[]) => void;
	/** Called with the poison marks that the other nodes have stored, whether they are live or not. */
	readonly handleNodeMarks?: (nodes: readonly NodeMarks[]) => void;
	readonly logger: Logger;
	/** Called with the gossip addresses of other nodes. */
	readonly handlePeers: (peers: readonly Address[]) => void;
	/** Lists the ids of the live members, including this node. */
	readonly listLiveIds: () => readonly string[];
};

/** Time that a starting node waits for its stored incarnation before it takes one from the clock alone, in milliseconds. */
const incarnationTimeoutMs = 800;
/**
 * Time within which a departure must be stored to be acknowledged, in milliseconds: an acknowledgement counts only within
 * a second.
 */
const departureWriteTimeoutMs = 750;
const firstRetryMs = 500;
const maxRetryMs = 4000;
/** Time between two sweeps for the entries of nodes that are gone, in milliseconds. */
const sweepPeriodMs = 60_000;
/** Time over which the nodes spread their calls after the store was restored, in milliseconds. */
const restoreSpreadMs = 1000;
/** Time after which a node that knows no other live node lists the entries again, in milliseconds. */
const isolatedPollPeriodMs = 2000;

/** Nodes that a node contacts first, in its own failure domain and in others; it learns of the remaining nodes from them. */
const maxSameDomainContacts = 3;
const maxOtherDomainContacts = 3;

/** Resolves to the result, or to undefined if it takes longer than the timeout. */
async function waitAtMost<T>(result: Promise<T>, timeoutMs: number): Promise<T | undefined> {
	const timer = new AbortController();
	const timeout = wait(timeoutMs, undefined, {signal: timer.signal, ref: false}).catch(() => undefined);
	const first = await Promise.race([result, timeout]);
	timer.abort();
	return first;
}

function hasUnexpiredMarks(entry: NodeEntryFields | undefined): boolean {
	return entry?.poison.some(({expiresAt}) => expiresAt > Date.now()) === true;
}

/** Keeps this node's entry in the object API and finds the entries of other nodes. */
export class StoreDiscovery {
	readonly #options: StoreDiscoveryOptions;
	readonly #entry: NodeEntry;
	readonly #markStorage: MarkStorage;
	readonly #unregisterEraListener: Unregister;
	#timer: NodeJS.Timeout | undefined;
	#retryMs = firstRetryMs;
	#sweptAt = performance.now();
	#absentKeys: ReadonlySet<string> = new Set();
	#isStarted = false;
	#isStopped = false;
	#heardEra = 0;
	#isRunning = false;
	/** True when the entry has to be checked again after the run in progress. */
	#isCheckDue = false;

	constructor(options: StoreDiscoveryOptions) {
		this.#options = options;
		const {store, self, handleDepartures = () => undefined, handleOwnMarks, logger} = options;
		this.#entry = new NodeEntry({
			store, self, handleStoredDepartures: handleDepartures, handleStoredMarks: handleOwnMarks,
		});
		this.#markStorage = new MarkStorage({writeMarks: marks => this.#entry.writeMarks(marks), logger});
		this.#unregisterEraListener = store.eraChanges.registerListener(change => {
			this.#handleEraChange(change);
		});
	}

	/**
	 * Writes this node's entry and returns the incarnation of this process; it comes from the clock alone if the store
	 * does not answer in time.
	 */
	async takeIncarnation(): Promise<number> {
		await waitAtMost(this.#entry.write().run(), incarnationTimeoutMs);
		return this.#entry.getIncarnation();
	}

	/**
	 * Resolves once the departures are stored for later processes of this node; fails with `leaveNotKept` if that takes
	 * too long.
	 */
	recordDepartures(left: LeftServers): EitherAsync<Failure, void> {
		return EitherAsync.fromPromise(async () => {
			const result = await waitAtMost(this.#entry.writeDepartures(left).run(), departureWriteTimeoutMs);
			return (result ?? Left(createFailure('leaveNotKept', `the object API did not answer within ${departureWriteTimeoutMs} ms`)))
				.mapLeft(({detail}) => createFailure('leaveNotKept', detail));
		});
	}

	/** Stores this node's poison marks for its later processes and for the other nodes. */
	recordMarks(marks: readonly PoisonMark[]): void {
		this.#markStorage.update(marks);
	}

	/** Starts to list the entries, and writes this node's entry if it has not been written yet. */
	start(): void {
		this.#isStarted = true;
		this.#startTimer(0);
	}

	/**
	 * Calls the store within a second if another node has heard of a later era than this one: a node that doesn't watch may make
	 * no call for a minute.
	 */
	applyHeardEra(heardEra: number): void {
		const knownEra = this.#options.store.getEra();
		if (knownEra !== undefined && heardEra > Math.max(knownEra, this.#heardEra)) {
			this.#heardEra = heardEra;
			this.#checkSoon();
		}
	}

	/** Stops discovery; this node's entry stays until another node sweeps it. */
	stop(): void {
		this.#isStopped = true;
		this.#unregisterEraListener();
		this.#markStorage.stop();
		clearTimeout(this.#timer);
	}

	/** Writes the entry again when the store was restored, as it may lack the entry. */
	#handleEraChange({era, previous}: EraChange): void {
		if (previous === undefined) {
			return;
		}

		this.#options.logger.log('storeRestored', {era, previous});
		this.#entry.forgetStored();
		this.#checkSoon();
	}

	/** Calls the store at a random moment within the spread, without waiting for the next sweep. */
	#checkSoon(): void {
		if (this.#isRunning) {
			this.#isCheckDue = true;
		} else if (this.#isStarted) {
			clearTimeout(this.#timer);
			this.#startTimer(Math.random() * restoreSpreadMs);
		}
	}

	#startTimer(delayMs: number): void {
		if (!this.#isStopped) {
			this.#timer = setTimeout(() => {
				void this.#runDiscovery();
			}, delayMs);
		}
	}

	async #runDiscovery(): Promise<void> {
		const {logger, listLiveIds, store} = this.#options;
		this.#isRunning = true;
		const list = store.list(nodeKeyPrefix);
		const result = await this.#entry.write().chain(() => list).run();
		result.ifRight(({objects}) => {
			this.#retryMs = firstRetryMs;
			this.#handleList(objects);
		}).ifLeft(({code, detail}) => {
			logger.log('discoveryFailed', {code, detail});
		});
		this.#isRunning = false;
		if (this.#isCheckDue) {
			this.#isCheckDue = false;
			this.#checkSoon();
		} else if (result.isLeft()) {
			this.#startTimer(this.#retryMs * (0.5 + Math.random()));
			this.#retryMs = Math.min(maxRetryMs, this.#retryMs * 2);
		} else {
			this.#startTimer(listLiveIds().length > 1 ? sweepPeriodMs : isolatedPollPeriodMs);
		}
	}

	#handleList(objects: readonly StoredObject[]): void {
		const {
			self, logger, handlePeers, handleNodeMarks,
		} = this.#options;
		const otherEntries = objects.filter(({key}) => key !== this.#entry.key).flatMap(({key, value}) => {
			const entry = parseNodeEntry(value);
			return entry ? [{...entry, nodeId: key.slice(nodeKeyPrefix.length)}] : [];
		});
		const sameDomainEntries = otherEntries.filter(({failureDomain}) => failureDomain === self.failureDomain);
		const otherDomainEntries = otherEntries.filter(({failureDomain}) => failureDomain !== self.failureDomain);
		const contacts = [...pickRandom(sameDomainEntries, maxSameDomainContacts), ...pickRandom(otherDomainEntries, maxOtherDomainContacts)].flatMap(({gossip}) => parseAddress(gossip) ?? []);
		logger.log('discoveryDone', {nodes: otherEntries.length + 1, contacts: contacts.length, incarnation: this.#entry.getIncarnation()});
		handlePeers(contacts);
		handleNodeMarks?.(otherEntries.filter(({poison}) => poison.length > 0).map(({nodeId, incarnation, poison}) => ({nodeId, incarnation, marks: poison})));
		if (!objects.some(({key}) => key === this.#entry.key)) {
			this.#entry.forgetStored();
			this.#checkSoon();
		}

		void this.#sweepStaleEntries(objects);
	}

	/**
	 * Removes entries whose node was not live in two sweeps in a row and whose poison marks have expired: the marks hold for the
	 * whole fleet. Only the live node with the lowest id sweeps.
	 */
	async #sweepStaleEntries(objects: readonly StoredObject[]): Promise<void> {
		const now = performance.now();
		const liveIds = new Set(this.#options.listLiveIds());
		const [lowestId] = [...liveIds].toSorted((a, b) => Number(a > b) - Number(a < b));
		if (lowestId !== this.#options.self.id || now - this.#sweptAt < sweepPeriodMs) {
			return;
		}

		this.#sweptAt = now;
		const absentEntries = objects.filter(({key}) => !liveIds.has(key.slice(nodeKeyPrefix.length)));
		const staleEntries = absentEntries.filter(({key, value}) => this.#absentKeys.has(key) && !hasUnexpiredMarks(parseNodeEntry(value)));
		this.#absentKeys = new Set(absentEntries.map(({key}) => key));
		await Promise.all(staleEntries.map(async ({key, version}) => this.#options.store.remove(key, version).run()));
	}
}
