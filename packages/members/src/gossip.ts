/** Runs the membership protocol of a node on a timer and a transport. */
import {
	MetricRegistry, type Address, type Logger,
} from '@limpetbarrow/core';
import {gossipPeriodMs} from './constants.js';
import {type MemberTable} from './member-table.js';
import {Membership} from './membership.js';
import {type MessageTransport} from './message-transport.js';
import {type PeerQueries} from './peer-queries.js';
import {UdpTransport} from './udp-transport.js';

/** Optional dependencies of `Gossip`. */
export type GossipOptions = {
	readonly logger?: Logger;
	readonly metrics?: MetricRegistry;
	readonly transport?: MessageTransport;
};

/** Runs a node's membership over UDP, or over the given transport. */
export class Gossip {
	/** Questions to other members, and the answers to theirs. */
	readonly queries: PeerQueries;
	readonly #membership: Membership;
	readonly #transport: MessageTransport;
	readonly #hasSeeds: boolean;
	#lastMessageAt = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(table: MemberTable, seeds: readonly Address[], options: GossipOptions = {}) {
		this.#hasSeeds = seeds.length > 0;
		const metrics = options.metrics ?? new MetricRegistry();
		this.#transport = options.transport ?? new UdpTransport(metrics);
		this.#membership = new Membership({
			...options, table, seeds, metrics, transport: this.#transport,
		});
		this.queries = this.#membership.queries;
		metrics.registerGauge('gossip_health_factor', () => this.#membership.getHealthFactor());
		metrics.registerGauge('gossip_queued_updates', () => this.#membership.countUpdates());
	}

	/** Opens the transport, starts the protocol and resolves to the bound address. */
	async start(address: Address): Promise<Address> {
		const bound = await this.#transport.open(address);
		this.#transport.messages.registerListener(received => {
			this.#lastMessageAt = performance.now();
			this.#membership.handleMessage(received);
		});
		this.#timer = setInterval(() => {
			this.#membership.runStep();
		}, gossipPeriodMs);
		return bound;
	}

	/** Returns the monotonic time of the last message received, in milliseconds; 0 before the first one. */
	getLastMessageAt(): number {
		return this.#lastMessageAt;
	}

	/** Adds addresses of other nodes that became known after the start. */
	addSeeds(addresses: readonly Address[]): void {
		this.#membership.addSeeds(addresses);
	}

	/** Resolves when the records of the other members have arrived, at the latest after `maxWaitMs`; at once without seeds. */
	async waitUntilJoined(maxWaitMs: number): Promise<void> {
		if (!this.#hasSeeds || !this.#membership.isCatchingUp() || maxWaitMs <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			setTimeout(resolve, gossipPeriodMs);
		});
		await this.waitUntilJoined(maxWaitMs - gossipPeriodMs);
	}

	/** Announces the stop to other members, then closes the transport. */
	stop(): void {
		clearInterval(this.#timer);
		this.#membership.leave();
		this.#transport.close();
	}
}
