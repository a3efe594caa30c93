/** HTTP servers for backend servers, the platform and operators, which serve one request of a connection at a time. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {type Logger, type MetricRegistry} from '@limpetbarrow/core';
import {ConnectionLimit, type LimitedConnection} from '../callers/connection-limit.js';
import {PacedConnection} from '../callers/paced-connection.js';
import {replaceConnections} from '../callers/paced-server.js';

/** Settings and dependencies of a server. */
export type SequentialServerOptions = {
	/** Name of the server in metrics and logs. */
	readonly name: string;
	readonly maxConnections: number;
	/** Time within which a request must have arrived, in milliseconds. */
	readonly requestTimeoutMs?: number;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
};

/** Largest head, in bytes; half of what callers may send, as these calls have few headers. */
const maxHeadBytes = 8192;
const defaultRequestTimeoutMs = 10_000;
/** Time between two checks for requests that take too long, in milliseconds. */
const checkPeriodMs = 1000;

/** Creates a server that parses the next request of a connection once the response to the one before has left. */
export function createSequentialServer(options: SequentialServerOptions, handleRequest: (message: IncomingMessage, response: ServerResponse) => void): Server {
	const {requestTimeoutMs = defaultRequestTimeoutMs} = options;
	const limit = new ConnectionLimit(options);
	const responses = new Map<Duplex, ServerResponse>();
	const server = createServer({
		maxHeaderSize: maxHeadBytes, requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs, connectionsCheckingInterval: checkPeriodMs,
	}, (message, response) => {
		const {socket} = message;
		responses.set(socket, response);
		response.once('close', () => {
			responses.delete(socket);
			(socket as unknown as PacedConnection).resumeFeeding();
		});
		handleRequest(message, response);
	});
	replaceConnections(server, (socket: Socket) => {
		const limited: LimitedConnection = {
			isBusy: () => responses.has(paced) && !paced.isStalled(),
			close() {
				paced.destroy();
			},
			getPeer: () => `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`,
		};
		if (!limit.add(limited)) {
			socket.destroy();
			return undefined;
		}

		const paced: PacedConnection = new PacedConnection(socket, {
			server,
			isFeedable: () => responses.get(paced)?.req.complete !== true,
			handleBacklog() {
				// At most one read's worth, for a small number of connections.
			},
		});
		paced.once('close', () => {
			responses.delete(paced);
			limit.remove(limited);
		});
		return paced;
	});
	return server;
}
