/** A fleet of release followers in one process without sockets, for tests and benchmarks. */
import {EitherAsync, Left, Right} from 'purify-ts';
import {createFailure, SilentLogger, type Failure} from '@limpetbarrow/core';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {ReleaseFollower} from './release-follower.js';
import {ReleasePeers, type ReleasePeer} from './release-peers.js';
import {ReleaseState} from './release-state.js';
import {type Configuration, type Release} from './types.js';

/** One node of an in-memory fleet. */
export type MemoryNode = {
	readonly id: string;
	readonly failureDomain: string;
	readonly store: ObjectStore;
	readonly state: ReleaseState;
	readonly follower: ReleaseFollower;
};

/** Settings of an in-memory fleet. */
export type MemoryFleetOptions = {
	readonly createStore: (nodeId: string) => ObjectStore;
	/** Time after which the other nodes learn of a node's new release number, in milliseconds. */
	readonly gossipDelayMs: number;
	readonly random: () => number;
	readonly watchersPerDomain?: number;
	/** Tells whether one node can reach another's admin API. */
	readonly canFetch?: (fromId: string, toId: string) => boolean;
};

class MemoryPeers extends ReleasePeers {
	readonly #selfId: string;
	readonly #fleet: MemoryFleet;

	constructor(selfId: string, fleet: MemoryFleet) {
		super();
		this.#selfId = selfId;
		this.#fleet = fleet;
	}

	override getSelfId(): string {
		return this.#selfId;
	}

	override listLive(): readonly ReleasePeer[] {
		return this.#fleet.listPeers();
	}

	override fetchReleases(peerId: string, after: number): EitherAsync<Failure, readonly Release[]> {
		return this.#fetch(peerId).chain(async state => {
			const releases = state.selectAfter(after);
			return releases ? Right(releases) : Left(createFailure('releaseGone', peerId));
		});
	}

	override fetchConfiguration(peerId: string): EitherAsync<Failure, Configuration> {
		return this.#fetch(peerId).map(state => state.getConfiguration());
	}

	#fetch(peerId: string): EitherAsync<Failure, ReleaseState> {
		return EitherAsync.liftEither(this.#fleet.fetchState(this.#selfId, peerId));
	}
}

/** Starts and crashes nodes that know of one another through simulated gossip. */
export class MemoryFleet {
	readonly #options: MemoryFleetOptions;
	readonly #nodes = new Map<string, MemoryNode>();
	#peers: ReadonlyMap<string, ReleasePeer> = new Map();
	#peerList: readonly ReleasePeer[] = [];
	#fetchCount = 0;

	constructor(options: MemoryFleetOptions) {
		this.#options = options;
	}

	/** Starts a node that expects peers. */
	startNode(id: string, failureDomain: string): MemoryNode {
		const {
			createStore, gossipDelayMs, random, watchersPerDomain,
		} = this.#options;
		const store = createStore(id);
		const state = new ReleaseState();
		const follower = new ReleaseFollower({
			store, state, peers: new MemoryPeers(id, this), expectsPeers: true, logger: new SilentLogger(), random, ...(watchersPerDomain !== undefined && {watchersPerDomain}),
		});
		const node = {
			id, failureDomain, store, state, follower,
		};
		this.#nodes.set(id, node);
		this.#setPeer({
			id, failureDomain, release: 0, isServing: true,
		});
		state.store.registerListener(({after}) => {
			setTimeout(() => {
				this.#setRelease(id, after.configuration.release);
			}, gossipDelayMs);
		});
		follower.start();
		return node;
	}

	/** Stops a node; the others learn of it at once. */
	crashNode(id: string): void {
		this.#nodes.get(id)?.follower.stop();
		this.#nodes.delete(id);
		this.#peers = new Map([...this.#peers].filter(([peerId]) => peerId !== id));
		this.#peerList = [...this.#peers.values()];
	}

	listNodes(): readonly MemoryNode[] {
		return [...this.#nodes.values()];
	}

	listPeers(): readonly ReleasePeer[] {
		return this.#peerList;
	}

	listWatching(): readonly MemoryNode[] {
		return this.listNodes().filter(({follower}) => follower.isWatching());
	}

	/** Returns the number of fetches between nodes so far. */
	getFetchCount(): number {
		return this.#fetchCount;
	}

	/** Counts the platform calls so far of all running nodes. */
	countPlatformCalls(): number {
		return this.listNodes().reduce((sum, {store}) => sum + Object.values(store.getCallCounts()).reduce((total, count) => total + count, 0), 0);
	}

	fetchState(fromId: string, toId: string) {
		this.#fetchCount++;
		const node = this.#nodes.get(toId);
		const isReached = node && (this.#options.canFetch?.(fromId, toId) ?? true);
		return isReached ? Right<ReleaseState, Failure>(node.state) : Left<Failure, ReleaseState>(createFailure('linkUnreachable', toId));
	}

	#setPeer(peer: ReleasePeer): void {
		this.#peers = new Map(this.#peers).set(peer.id, peer);
		this.#peerList = [...this.#peers.values()];
	}

	#setRelease(id: string, release: number): void {
		const peer = this.#peers.get(id);
		if (peer && peer.release < release) {
			this.#setPeer({...peer, release});
		}
	}
}
