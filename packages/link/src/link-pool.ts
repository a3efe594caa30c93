/** The links that a node has opened, one for each incarnation and address of another node. */
import {connect} from 'node:net';
import {
	MetricRegistry, SilentLogger, Subject, type Carrier, type NodeIdentity,
} from '@limpetbarrow/core';
import {type OpenConnection} from './client-session.js';
import {FrameConnection} from './frame-connection.js';
import {unusedLinkTimeoutMs, heartbeatIntervalMs} from './constants.js';
import {LinkClient} from './link-client.js';
import {type LinkOptions} from './link-options.js';
import {type LinkPeer} from './types.js';

function connectSocket({address}: LinkPeer): FrameConnection {
	return new FrameConnection(connect({host: address.host, port: address.port}));
}

function getPeerKey({identity, address}: LinkPeer): string {
	return `${identity.id}/${identity.incarnation}/${address.host}:${address.port}`;
}

type PooledLink = {
	readonly link: LinkClient;
	/** Monotonic time when the link was last returned by `getLink`, in milliseconds. */
	readonly lastRequestedAt: number;
};

/** Creates links on demand and removes unused ones. */
export class LinkPool {
	readonly #self: NodeIdentity;
	readonly #options: LinkOptions;
	readonly #openConnection: OpenConnection;
	readonly #links = new Map<string, PooledLink>();
	readonly #ticks = new Subject<void>();
	#timer: NodeJS.Timeout | undefined;
	#isClosed = false;

	constructor(self: NodeIdentity, options: Partial<LinkOptions> = {}, openConnection: OpenConnection = connectSocket) {
		this.#self = self;
		this.#options = {
			logger: options.logger ?? new SilentLogger(),
			metrics: options.metrics ?? new MetricRegistry(),
			registerTick: listener => this.#ticks.registerListener(listener),
		};
		this.#openConnection = openConnection;
	}

	/** Returns the link to a node, which connects when it is first used. A link of a closed pool refuses all exchanges. */
	getLink(peer: LinkPeer): Carrier {
		const key = getPeerKey(peer);
		const pooled = this.#links.get(key);
		if (pooled) {
			this.#links.set(key, {...pooled, lastRequestedAt: performance.now()});
			return pooled.link;
		}

		this.#removeUnused();
		const link = new LinkClient({
			...this.#options, self: this.#self, peer, openConnection: this.#openConnection,
		});
		if (this.#isClosed) {
			link.close();
			return link;
		}

		this.#startTimer();
		this.#links.set(key, {link, lastRequestedAt: performance.now()});
		return link;
	}

	/** Number of exchanges in progress that this node opened on its links. */
	countExchanges(): number {
		return [...this.#links.values()].reduce((sum, {link}) => sum + link.countExchanges(), 0);
	}

	/** Number of links with an open session. */
	countSessions(): number {
		return [...this.#links.values()].filter(({link}) => link.hasSession()).length;
	}

	/** Closes the links without exchanges in progress. */
	closeIdle(): void {
		[...this.#links]
			.filter(([, {link}]) => link.countExchanges() === 0)
			.forEach(([key, {link}]) => {
				link.close();
				this.#links.delete(key);
			});
	}

	/** Closes every link; exchanges in progress fail. */
	close(): void {
		this.#isClosed = true;
		clearInterval(this.#timer);
		[...this.#links.values()].forEach(({link}) => {
			link.close();
		});
		this.#links.clear();
	}

	/** Starts one timer for all links, so that many idle links don't wake the process more often than one. */
	#startTimer(): void {
		this.#timer ??= setInterval(() => {
			this.#ticks.publish();
		}, heartbeatIntervalMs);
		this.#timer.unref();
	}

	/** Removes unused links, but none just requested: it has no session yet, and the pool would never close that session. */
	#removeUnused(): void {
		const cutoff = performance.now() - unusedLinkTimeoutMs;
		[...this.#links]
			.filter(([, {link, lastRequestedAt}]) => !link.hasSession() && lastRequestedAt < cutoff)
			.forEach(([key]) => {
				this.#links.delete(key);
			});
	}
}
