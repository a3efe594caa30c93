/** The links a node has opened, one for each run of another node. */
import {type Carrier, type NodeIdentity} from '@limpetbarrow/core';
import {LinkClient} from './link-client.js';
import {type LinkPeer} from './types.js';

function getPeerKey({identity, address}: LinkPeer): string {
	return `${identity.id}/${identity.incarnation}/${address.host}:${address.port}`;
}

/** Opens links as they are asked for. */
export class LinkPool {
	readonly #self: NodeIdentity;
	readonly #links = new Map<string, LinkClient>();

	constructor(self: NodeIdentity) {
		this.#self = self;
	}

	/** The link to a node; it connects when first used. */
	getLink(peer: LinkPeer): Carrier {
		const key = getPeerKey(peer);
		const link = this.#links.get(key) ?? new LinkClient(this.#self, peer);
		this.#links.set(key, link);
		return link;
	}

	/** Number of exchanges in progress that this node opened on its links. */
	countExchanges(): number {
		return [...this.#links.values()].reduce((sum, link) => sum + link.countExchanges(), 0);
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
}
