/** Finds other nodes by a list in the object API: each node writes one object of its own and reads the list. */
import {setTimeout as wait} from 'node:timers/promises';
import {EitherAsync, Left} from 'purify-ts';
import {
	createFailure, parseAddress, pickRandom, type Address, type Failure, type Logger,
} from '@limpetbarrow/core';
import {type LeftServers} from '@limpetbarrow/members';
import {type ObjectStore, type StoredObject} from '@limpetbarrow/object-store';
import {NodeEntry, nodeKeyPrefix, parseNodeEntry} from './node-entry.js';

/** What discovery works with. */
export type StoreDiscoveryOptions = {
	readonly store: ObjectStore;
	readonly self: {readonly id: string; readonly failureDomain: string; readonly gossipAddress: Address};
	/** Called with the backend servers of this host that have left, as the run before kept them. */
	readonly handleDepartures?: (left: LeftServers) => void;
	readonly logger: Logger;
	/** Called with the gossip addresses of other nodes. */
	readonly handlePeers: (peers: readonly Address[]) => void;
	/** Ids of the live members, this node's among them. */
	readonly listLiveIds: () => readonly string[];
};

/** Time a starting node waits for its number before it takes one from the clock, in milliseconds. */
const incarnationTimeoutMs = 800;
/** Time within which a leave must be kept to be acknowledged, in milliseconds: an acknowledgement counts for a second. */
const departureWriteTimeoutMs = 750;
const firstRetryMs = 500;
const maxRetryMs = 4000;
/** Time between two looks for objects of nodes that are gone, in milliseconds. */
const sweepPeriodMs = 60_000;
/** Time after which a node that knows no other reads the list again, in milliseconds. */
const isolatedPollPeriodMs = 2000;

/** Nodes that a node writes to first, in its own failure domain and beyond; it learns of the others from them. */
const maxSameDomainContacts = 3;
const maxOtherDomainContacts = 3;

async function waitAtMost<T>(result: Promise<T>, boundMs: number): Promise<T | undefined> {
	const bound = new AbortController();
	const late = wait(boundMs, undefined, {signal: bound.signal, ref: false}).catch(() => undefined);
	const first = await Promise.race([result, late]);
	bound.abort();
	return first;
}

/** Keeps this node in the list and learns of the others. */
export class StoreDiscovery {
	readonly #options: StoreDiscoveryOptions;
	readonly #entry: NodeEntry;
	#timer: NodeJS.Timeout | undefined;
	#retryMs = firstRetryMs;
	#sweptAt = performance.now();
	#absentKeys: ReadonlySet<string> = new Set();
	#isStopped = false;

	constructor(options: StoreDiscoveryOptions) {
		this.#options = options;
		const {store, self, handleDepartures: handleLeft = () => undefined} = options;
		this.#entry = new NodeEntry({store, self, handleStoredDepartures: handleLeft});
	}

	/** Takes the number of this run and writes this node's object; from the clock alone when the store does not answer. */
	async takeIncarnation(): Promise<number> {
		await waitAtMost(this.#entry.write().run(), incarnationTimeoutMs);
		return this.#entry.getIncarnation();
	}

	/** Resolves once the processes after this one know which runs have left, or that they could not be told in time. */
	recordDepartures(left: LeftServers): EitherAsync<Failure, void> {
		return EitherAsync.fromPromise(async () => {
			const kept = await waitAtMost(this.#entry.writeDepartures(left).run(), departureWriteTimeoutMs);
			return (kept ?? Left(createFailure('leaveNotKept', `the object API did not answer within ${departureWriteTimeoutMs} ms`)))
				.mapLeft(({detail}) => createFailure('leaveNotKept', detail));
		});
	}

	/** Reads the list, and writes this node's object if that is still to be done. */
	start(): void {
		this.#startTimer(0);
	}

	/** Ends; a node that goes for good takes its object with it. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
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
		const list = store.list(nodeKeyPrefix);
		const result = await this.#entry.write().chain(() => list).run();
		result.ifRight(({objects}) => {
			this.#retryMs = firstRetryMs;
			this.#handleList(objects);
		}).ifLeft(({code, detail}) => {
			logger.log('discoveryFailed', {code, detail});
		});
		if (result.isLeft()) {
			this.#startTimer(this.#retryMs * (0.5 + Math.random()));
			this.#retryMs = Math.min(maxRetryMs, this.#retryMs * 2);
		} else {
			this.#startTimer(listLiveIds().length > 1 ? sweepPeriodMs : isolatedPollPeriodMs);
		}
	}

	#handleList(objects: readonly StoredObject[]): void {
		const {self, logger, handlePeers} = this.#options;
		const others = objects.filter(({key}) => key !== this.#entry.key).map(({value}) => parseNodeEntry(value)).filter(entry => entry !== undefined);
		const near = others.filter(({failureDomain}) => failureDomain === self.failureDomain);
		const distant = others.filter(({failureDomain}) => failureDomain !== self.failureDomain);
		const contacts = [...pickRandom(near, maxSameDomainContacts), ...pickRandom(distant, maxOtherDomainContacts)].flatMap(({gossip}) => parseAddress(gossip) ?? []);
		logger.log('discoveryDone', {nodes: others.length + 1, contacts: contacts.length, incarnation: this.#entry.getIncarnation()});
		handlePeers(contacts);
		void this.#sweepStaleEntries(objects);
	}

	/** The live node with the lowest id drops objects whose node was not there at two looks in a row. */
	async #sweepStaleEntries(objects: readonly StoredObject[]): Promise<void> {
		const now = performance.now();
		const live = new Set(this.#options.listLiveIds());
		const [lowest] = [...live].toSorted((a, b) => Number(a > b) - Number(a < b));
		if (lowest !== this.#options.self.id || now - this.#sweptAt < sweepPeriodMs) {
			return;
		}

		this.#sweptAt = now;
		const absent = objects.filter(({key}) => !live.has(key.slice(nodeKeyPrefix.length)));
		const gone = absent.filter(({key}) => this.#absentKeys.has(key));
		this.#absentKeys = new Set(absent.map(({key}) => key));
		await Promise.all(gone.map(async ({key, version}) => this.#options.store.remove(key, version).run()));
	}
}
