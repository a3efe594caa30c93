/** The open connections of callers, and the bounds on their number and on what is held for them. */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {type Logger, type MetricRegistry} from '@limpetbarrow/core';
import {CallerConnection} from './caller-connection.js';
import {CallerMemory} from './caller-memory.js';
import {ConnectionLimit, type LimitedConnection} from './connection-limit.js';
import {PacedConnection} from './paced-connection.js';
import {replaceConnections} from './paced-server.js';
import {type ResourceLimits} from './resource-limits.js';

/** Dependencies of the connections. */
export type CallerConnectionsOptions = {
	/** The HTTP server that parses what callers send. */
	readonly server: Server;
	readonly limits: ResourceLimits;
	/** True once a planned stop of the node has begun. */
	readonly isStopping: () => boolean;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
};

/** Takes the connections of an HTTP server, and closes the worst of them when a bound is exceeded. */
export class CallerConnections {
	readonly #options: CallerConnectionsOptions;
	readonly #connections = new Map<Duplex, CallerConnection>();
	readonly #memory: CallerMemory;
	readonly #limit: ConnectionLimit;

	constructor(options: CallerConnectionsOptions) {
		const {server, limits, metrics, logger} = options;
		this.#options = options;
		this.#memory = new CallerMemory({limits: {totalBytes: limits.callerMemoryBytes, connectionBytes: limits.connectionMemoryBytes}, metrics, logger});
		this.#limit = new ConnectionLimit({
			name: 'ingress', maxConnections: limits.maxCallerConnections, metrics, logger,
		});
		replaceConnections(server, socket => this.#acceptSocket(socket));
	}

	findConnection(socket: Duplex): CallerConnection | undefined {
		return this.#connections.get(socket);
	}

	countConnections(): number {
		return this.#connections.size;
	}

	/** Number of connections that are being closed and whose callers may still be reading the last response. */
	countDelivering(): number {
		return [...this.#connections.values()].filter(connection => connection.isDelivering()).length;
	}

	/** Closes the connections without pending responses. */
	closeIdle(): void {
		this.#connections.forEach(connection => {
			connection.closeIfIdle();
		});
	}

	/** Closes all connections at once, whatever is in progress on them. */
	close(): void {
		this.#connections.forEach(connection => {
			connection.closeAtOnce();
		});
	}

	/** Creates the connection of a new socket, or refuses the socket if there are too many. */
	#acceptSocket(socket: Socket): PacedConnection | undefined {
		const limited: LimitedConnection = {
			isBusy: () => connection.hasPendingResponses() && !paced.isStalled(),
			close() {
				paced.destroy();
			},
			getPeer: () => `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`,
		};
		if (!this.#limit.add(limited)) {
			socket.destroy();
			return undefined;
		}

		const paced: PacedConnection = new PacedConnection(socket, {
			server: this.#options.server,
			isFeedable: () => connection.isFeedable(),
			handleBacklog(change) {
				memory.addBytes(change);
			},
		});
		const memory = this.#memory.openShare({
			closeConnection() {
				paced.destroy();
			},
			getPeer: limited.getPeer,
		});
		const connection: CallerConnection = new CallerConnection(paced, memory, {
			isStopping: this.#options.isStopping,
			recordActivity: () => {
				this.#limit.recordActivity(limited);
			},
		});
		this.#connections.set(paced, connection);
		paced.once('close', () => {
			this.#connections.delete(paced);
			this.#limit.remove(limited);
		});
		return paced;
	}
}
