/** Runs the membership protocol of a node on its timer and its transport. */
import {
	MetricRegistry, type Address, type Logger,
} from '@limpetbarrow/core';
import {gossipPeriodMs} from './constants.js';
import {type MemberTable} from './member-table.js';
import {Membership} from './membership.js';
import {type MessageTransport} from './message-transport.js';
import {UdpTransport} from './udp-transport.js';

/** What gossip may be given besides table and seeds. */
export type GossipOptions = {
	readonly logger?: Logger;
	readonly metrics?: MetricRegistry;
	readonly transport?: MessageTransport;
};

/** Takes part in the fleet's membership. */
export class Gossip {
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
		metrics.registerGauge('gossip_health_factor', () => this.#membership.getHealthFactor());
		metrics.registerGauge('gossip_queued_updates', () => this.#membership.countUpdates());
	}

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

	/** Monotonic time of the last message of another node, in milliseconds; 0 before the first. */
	getLastMessageAt(): number {
		return this.#lastMessageAt;
	}

	/** Takes addresses of other nodes that became known after the start. */
	addSeeds(addresses: readonly Address[]): void {
		this.#membership.addSeeds(addresses);
	}

	/** Resolves once the records of the other members are here, at the latest after `boundMs`; at once without seeds. */
	async waitUntilJoined(boundMs: number): Promise<void> {
		if (!this.#hasSeeds || !this.#membership.isCatchingUp() || boundMs <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			setTimeout(resolve, gossipPeriodMs);
		});
		await this.waitUntilJoined(boundMs - gossipPeriodMs);
	}

	/** Ends; other members are told when the stop is planned. */
	stop(): void {
		clearInterval(this.#timer);
		this.#membership.leave();
		this.#transport.close();
	}
}
