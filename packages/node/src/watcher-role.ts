/** Whether this node is one of those that watch the configuration for the fleet, and how many there are. */
import {type Gossip, type MemberTable} from '@limpetbarrow/members';
import {countWatchers, selectWatchers, type ReleasePeer} from '@limpetbarrow/releases';

/** Time without a gossip message from any other node after which a node watches the configuration itself, in milliseconds. */
const maxGossipSilenceMs = 1500;
/** Nodes of each failure domain that watch the configuration; the fleet learns of a change while any of its watches works. */
const watchersPerDomain = 4;

/** Derives this node's role from its view of the fleet. A node that hears from no other relies on itself alone. */
export class WatcherRole {
	readonly #table: MemberTable;
	readonly #gossip: Gossip;

	constructor(table: MemberTable, gossip: Gossip) {
		this.#table = table;
		this.#gossip = gossip;
	}

	/** Returns whether this node watches the configuration. */
	isWatcher(): boolean {
		const {failureDomain} = this.#table.getSelf().placement;
		return this.#isOutOfTouch()
			|| selectWatchers(this.#listAlivePeers().filter(peer => peer.failureDomain === failureDomain), watchersPerDomain).has(this.#table.self.id);
	}

	/** Returns the number of nodes that watch the configuration, this one included. */
	countWatchers(): number {
		return this.#isOutOfTouch() ? 1 : Math.max(1, countWatchers(this.#listAlivePeers(), watchersPerDomain));
	}

	#isOutOfTouch(): boolean {
		return performance.now() - this.#gossip.getLastMessageAt() > maxGossipSilenceMs;
	}

	#listAlivePeers(): readonly ReleasePeer[] {
		return this.#table.listLive().filter(({status}) => status === 'alive').map(({record}) => ({
			id: record.id, failureDomain: record.placement.failureDomain, release: record.release, isServing: record.state === 'serving',
		}));
	}
}
