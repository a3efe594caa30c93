/** Whether this node is one of those that watch the configuration for the fleet, and how many there are. */
import {type Gossip, type Member, type MemberTable} from '@limpetbarrow/members';
import {
	countWatchers, listRankedIds, selectWatchers, type ReleasePeer,
} from '@limpetbarrow/releases';

/** Time without a gossip message from any other node after which a node watches the configuration itself, in milliseconds. */
export const maxGossipSilenceMs = 1500;
/** Nodes of each failure domain that watch the configuration; the fleet learns of a change while any of its watches works. */
const watchersPerDomain = 4;

/** Derives this node's role from its view of the fleet. A node that hears from no other relies on itself alone. */
export class WatcherRole {
	readonly #table: MemberTable;
	readonly #gossip: Pick<Gossip, 'getLastMessageAt'>;
	#members: ReadonlyMap<string, Member> | undefined;
	#peers: readonly ReleasePeer[] = [];

	constructor(table: MemberTable, gossip: Pick<Gossip, 'getLastMessageAt'>) {
		this.#table = table;
		this.#gossip = gossip;
	}

	/** Returns whether this node watches the configuration. */
	isWatcher(): boolean {
		const {failureDomain} = this.#table.getSelf().placement;
		return this.#isOutOfTouch()
			|| selectWatchers(this.listAlivePeers().filter(peer => peer.failureDomain === failureDomain), watchersPerDomain).has(this.#table.self.id);
	}

	/** Returns the number of nodes that watch the configuration, this one included. */
	countWatchers(): number {
		return this.#isOutOfTouch() ? 1 : Math.max(1, countWatchers(this.listAlivePeers(), watchersPerDomain));
	}

	/** Returns whether this node is the first of its failure domain's watchers. A node that hears from no other is none. */
	isProver(): boolean {
		const {failureDomain} = this.#table.getSelf().placement;
		const [first] = listRankedIds(this.listAlivePeers().filter(peer => peer.failureDomain === failureDomain));
		return !this.#isOutOfTouch() && first === this.#table.self.id;
	}

	/** Lists the nodes that are alive, this one included; the same list until a member changes. */
	listAlivePeers(): readonly ReleasePeer[] {
		const {members} = this.#table.store.getState();
		if (this.#members !== members) {
			this.#members = members;
			this.#peers = [...members.values()].filter(({status}) => status === 'alive').map(({record}) => ({
				id: record.id, failureDomain: record.placement.failureDomain, release: record.release, isServing: record.state === 'serving',
			}));
		}

		return this.#peers;
	}

	#isOutOfTouch(): boolean {
		return performance.now() - this.#gossip.getLastMessageAt() > maxGossipSilenceMs;
	}
}
