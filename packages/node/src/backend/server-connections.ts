/** The connections to one backend server. */
import {type Dispatcher, type Pool} from 'undici';
import {createServerPool, type ServerPoolOptions} from './server-pool.js';

/** Time for which an idle connection is kept for repeatable requests, in milliseconds. */
const repeatableKeepAliveMs = 4000;
/**
 * The same for requests that must not be repeated. It is short because a request that is sent on a connection that has been
 * closed meanwhile is lost.
 */
const unrepeatableKeepAliveMs = 400;
/** Where the connections go, the largest number of connections of each kind, and who learns what happens on them. */
export type ServerConnectionsOptions = Omit<ServerPoolOptions, 'keepAliveMs' | 'keepAliveMaxMs'>;

/** Keeps connections for repeatable requests apart from those for others, which are kept open for a shorter time. */
export class ServerConnections {
	readonly #repeatable: Pool;
	readonly #unrepeatable: Pool;

	constructor(options: ServerConnectionsOptions) {
		this.#repeatable = createServerPool({...options, keepAliveMs: repeatableKeepAliveMs, keepAliveMaxMs: repeatableKeepAliveMs});
		this.#unrepeatable = createServerPool({...options, keepAliveMs: unrepeatableKeepAliveMs, keepAliveMaxMs: unrepeatableKeepAliveMs});
	}

	/** Selects the connections for a request. */
	select(isRepeatable: boolean): Dispatcher {
		return isRepeatable ? this.#repeatable : this.#unrepeatable;
	}

	/** Closes the connections once the running requests have ended. */
	async close(): Promise<void> {
		await Promise.all([this.#repeatable.close(), this.#unrepeatable.close()]);
	}

	/** Closes the connections at once, which aborts running requests. */
	async closeAtOnce(): Promise<void> {
		await Promise.all([this.#repeatable.destroy(), this.#unrepeatable.destroy()]);
	}
}
