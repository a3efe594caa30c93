/**
 * Keeps a node's releases up to date.
 *
 * A few nodes of each failure domain watch the platform. The others learn by gossip which release other nodes have in
 * force and fetch missing releases from them. In addition, every node reads the platform at random times, at a rate that,
 * summed over the fleet, does not depend on its size, so that a release is found even when no watcher reaches the platform.
 */
import {type Logger} from '@limpetbarrow/core';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {PeerFollower} from './peer-follower.js';
import {ReleaseLog} from './release-log.js';
import {type ReleasePeer, type ReleasePeers} from './release-peers.js';
import {ReleaseReader} from './release-reader.js';
import {type ReleaseState} from './release-state.js';
import {countWatchers, selectWatchers} from './select-watchers.js';
import {SnapshotStore} from './snapshot-store.js';
import {StoreWatcher} from './store-watcher.js';

/** Mean time between two steps of a follower, in each of which it checks the other nodes' releases, in milliseconds. */
export const followStepPeriodMs = 500;

/** Mean time between two random reads of the platform, over the whole fleet, in milliseconds. */
export const fleetPollPeriodMs = 2000;

/** Time after the start in which a node that expects peers learns of them before it may watch, in milliseconds. */
export const joinGracePeriodMs = 3000;

/** Dependencies and settings of a release follower. */
export type ReleaseFollowerOptions = {
	readonly store: ObjectStore;
	readonly state: ReleaseState;
	readonly peers: ReleasePeers;
	/** True when the node was started with other nodes to join. */
	readonly expectsPeers: boolean;
	readonly logger: Logger;
	readonly random?: () => number;
	/** Number of nodes of each failure domain that watch the platform. */
	readonly watchersPerDomain?: number;
};

/** Keeps a release state up to date between `start` and `stop`. */
export class ReleaseFollower {
	readonly #options: ReleaseFollowerOptions;
	readonly #random: () => number;
	readonly #reader: ReleaseReader;
	readonly #watcher: StoreWatcher;
	readonly #peerFollower: PeerFollower;
	#timer: NodeJS.Timeout | undefined;
	#watchAllowedAt = 0;

	constructor(options: ReleaseFollowerOptions) {
		const {store, state, peers, logger, random = Math.random} = options;
		const log = new ReleaseLog(store);
		this.#options = options;
		this.#random = random;
		this.#reader = new ReleaseReader(log, new SnapshotStore(store), state);
		this.#watcher = new StoreWatcher({
			store, log, reader: this.#reader, state, logger, random, countWatchers: () => Math.max(1, countWatchers(peers.listLive(), options.watchersPerDomain)),
		});
		this.#peerFollower = new PeerFollower({
			peers, state, logger, random,
		});
	}

	start(): void {
		this.#watchAllowedAt = performance.now() + (this.#options.expectsPeers ? joinGracePeriodMs + (this.#random() * followStepPeriodMs) : 0);
		this.#runStep();
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#watcher.stop();
	}

	isWatching(): boolean {
		return this.#watcher.isRunning();
	}

	#runStep(): void {
		const live = this.#options.peers.listLive();
		this.#updateWatching(live);
		void this.#peerFollower.run(live);
		this.#readAtRandom(live);
		this.#timer = setTimeout(() => {
			this.#runStep();
		}, followStepPeriodMs * (0.75 + (this.#random() / 2)));
	}

	#updateWatching(live: readonly ReleasePeer[]): void {
		const isSelected = performance.now() >= this.#watchAllowedAt && selectWatchers(live, this.#options.watchersPerDomain).has(this.#options.peers.getSelfId());
		if (isSelected === this.#watcher.isRunning()) {
			return;
		}

		this.#options.logger.log(isSelected ? 'watchStarted' : 'watchStopped');
		if (isSelected) {
			this.#watcher.start();
		} else {
			this.#watcher.stop();
		}
	}

	#readAtRandom(live: readonly ReleasePeer[]): void {
		const isDue = this.#random() < followStepPeriodMs / (fleetPollPeriodMs * Math.max(1, live.length));
		if (isDue && performance.now() >= this.#watchAllowedAt) {
			void this.#reader.readConfiguration().run();
		}
	}
}
