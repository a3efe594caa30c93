/** The links a node has opened, one for each run of another node. */
import {connect} from 'node:net';
import {
	MetricRegistry, SilentLogger, type Carrier, type NodeIdentity,
} from '@limpetbarrow/core';
import {type OpenConnection} from './client-session.js';
import {FrameConnection} from './frame-connection.js';
import {LinkClient} from './link-client.js';
import {type LinkOptions} from './link-options.js';
import {type LinkPeer} from './types.js';

function connectSocket({address}: LinkPeer): FrameConnection {
	return new FrameConnection(connect({host: address.host, port: address.port}));
}

function getPeerKey({identity, address}: LinkPeer): string {
	return `${identity.id}/${identity.incarnation}/${address.host}:${address.port}`;
}

/** Opens links as they are asked for, and drops those that are not used. */
export class LinkPool {
	readonly #self: NodeIdentity;
	readonly #options: LinkOptions;
	readonly #openConnection: OpenConnection;
	readonly #links = new Map<string, LinkClient>();

	constructor(self: NodeIdentity, options: Partial<LinkOptions> = {}, openConnection: OpenConnection = connectSocket) {
		this.#self = self;
		this.#options = {logger: options.logger ?? new SilentLogger(), metrics: options.metrics ?? new MetricRegistry()};
		this.#openConnection = openConnection;
	}

	/** The link to a node; it connects when first used. */
	getLink(peer: LinkPeer): Carrier {
		const key = getPeerKey(peer);
		const known = this.#links.get(key);
		if (known) {
			return known;
		}

		this.#forgetUnused();
		const link = new LinkClient({
			...this.#options, self: this.#self, peer, openConnection: this.#openConnection,
		});
		this.#links.set(key, link);
		return link;
	}

	/** Number of exchanges in progress that this node opened on its links. */
	countExchanges(): number {
		return [...this.#links.values()].reduce((sum, link) => sum + link.countExchanges(), 0);
	}

	/** Number of links with an open session. */
	countSessions(): number {
		return [...this.#links.values()].filter(link => link.hasSession()).length;
	}

	/** Closes the links without exchanges in progress. */
	closeIdle(): void {
		[...this.#links]
			.filter(([, link]) => link.countExchanges() === 0)
			.forEach(([key, link]) => {
				link.close();
				this.#links.delete(key);
			});
	}

	/** Closes every link; exchanges in progress fail. */
	close(): void {
		[...this.#links.values()].forEach(link => {
			link.close();
		});
		this.#links.clear();
	}

	#forgetUnused(): void {
		[...this.#links]
			.filter(([, link]) => !link.hasSession())
			.forEach(([key]) => {
				this.#links.delete(key);
			});
	}
}
