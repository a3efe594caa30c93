/** Many followers in one process, for tests and benchmarks that need no sockets. */
import {EitherAsync, Left, Right} from 'purify-ts';
import {createFailure, SilentLogger, type Failure} from '@limpetbarrow/core';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {ReleaseFollower} from './release-follower.js';
import {ReleasePeers, type ReleasePeer} from './release-peers.js';
import {ReleaseState} from './release-state.js';
import {type Configuration, type Release} from './types.js';

/** One node of a fleet in memory. */
export type MemoryNode = {
	readonly id: string;
	readonly failureDomain: string;
	readonly store: ObjectStore;
	readonly state: ReleaseState;
	readonly follower: ReleaseFollower;
};

/** What of a fleet in memory differs between tests. */
export type MemoryFleetOptions = {
	readonly createStore: (nodeId: string) => ObjectStore;
	/** Time until the other nodes hear of a new release number, in milliseconds. */
	readonly gossipDelayMs: number;
	readonly random: () => number;
	readonly watchersPerDomain?: number;
	/** Whether one node reaches another one's admin API. */
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

/** Starts and ends nodes that hear of one another. */
export class MemoryFleet {
	readonly #options: MemoryFleetOptions;
	readonly #nodes = new Map<string, MemoryNode>();
	#peers: ReadonlyMap<string, ReleasePeer> = new Map();
	#peerList: readonly ReleasePeer[] = [];
	#fetchCount = 0;

	constructor(options: MemoryFleetOptions) {
		this.#options = options;
	}

	/** Starts a node that expects others. */
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

	/** Ends a node at once; the others hear of it at the same time. */
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

	/** Fetches from other nodes so far. */
	getFetchCount(): number {
		return this.#fetchCount;
	}

	/** Calls of the platform so far by all nodes that run. */
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
