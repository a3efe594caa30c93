/** The connections to one backend server. */
import {Pool, type Dispatcher} from 'undici';
import {formatAddress, type Address} from '@limpetbarrow/core';
import {createBackendConnector} from './backend-connector.js';

/** Time for which an idle connection is kept for repeatable requests, in milliseconds. */
const repeatableKeepAliveMs = 4000;
/**
 * The same for requests that must not be repeated. It is short because a request that is sent on a connection that has been
 * closed meanwhile is lost.
 */
const unrepeatableKeepAliveMs = 400;
/** Connect timeout, in milliseconds. It can be short because backend servers run on this node's own host. */
const connectTimeoutMs = 1000;

/** Where the connections go, and who learns of their end. */
export type ServerConnectionsOptions = {
	readonly address: Address;
	/** Largest number of connections of each kind. */
	readonly connections: number;
	/** Called when the backend server has closed a connection; no response may stay paused after it. */
	readonly handleEnd: () => void;
};

function createPool({address, connections, handleEnd}: ServerConnectionsOptions, keepAliveMs: number): Pool {
	return new Pool(`http://${formatAddress(address)}`, {
		connections, pipelining: 1, keepAliveTimeout: keepAliveMs, keepAliveMaxTimeout: keepAliveMs, connect: createBackendConnector(connectTimeoutMs, handleEnd),
	});
}

/** Keeps connections for repeatable requests apart from those for others, which are kept open for a shorter time. */
export class ServerConnections {
	readonly #repeatable: Pool;
	readonly #unrepeatable: Pool;

	constructor(options: ServerConnectionsOptions) {
		this.#repeatable = createPool(options, repeatableKeepAliveMs);
		this.#unrepeatable = createPool(options, unrepeatableKeepAliveMs);
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
