/** A pool of connections to one backend server. */
import {type Socket} from 'node:net';
import {Pool, type Client} from 'undici';
import {formatAddress, type Address} from '@limpetbarrow/core';
import {createBackendConnector} from './backend-connector.js';
import {ConnectionClient, ConnectionRequests, type ExcessBytes} from './connection-requests.js';

/** Where the connections go, how long they are kept, and who learns what happens on them. */
export type ServerPoolOptions = {
	readonly address: Address;
	/** Largest number of connections. */
	readonly connections: number;
	/** Time for which an idle connection is kept, in milliseconds, and the longest one that the backend server may ask for. */
	readonly keepAliveMs: number;
	readonly keepAliveMaxMs: number;
	/** Called when the backend server has closed a connection; no response may stay paused after it. */
	readonly handleEnd: () => void;
	/** Called with each new connection. */
	readonly handleConnection: (socket: Socket) => void;
	/** Called when a connection has closed on which bytes arrived beyond a response. */
	readonly handleExcess: (excess: ExcessBytes) => void;
};

/** Connect timeout, in milliseconds. It can be short because backend servers run on this node's own host. */
const connectTimeoutMs = 1000;

/** Creates a pool whose connections carry one request at a time. */
export function createServerPool({address, connections, keepAliveMs, keepAliveMaxMs, handleEnd, handleConnection, handleExcess}: ServerPoolOptions): Pool {
	const createClient = (origin: URL, options: Client.Options): ConnectionClient => {
		const requests = new ConnectionRequests();
		const connect = createBackendConnector(connectTimeoutMs, handleEnd, socket => {
			requests.registerSocket(socket, handleExcess);
			handleConnection(socket);
		});
		return new ConnectionClient(origin, {...options, connect}, requests);
	};

	return new Pool(`http://${formatAddress(address)}`, {
		connections, pipelining: 1, keepAliveTimeout: keepAliveMs, keepAliveMaxTimeout: keepAliveMaxMs, factory: createClient,
	});
}
