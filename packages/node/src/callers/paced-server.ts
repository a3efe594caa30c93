/** Lets an HTTP server read its callers' connections through `PacedConnection`. */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {type PacedConnection} from './paced-connection.js';

/** Creates the paced connection of a new socket; undefined if the socket was refused. */
export type CreatePacedConnection = (socket: Socket) => PacedConnection | undefined;

/** Replaces the way in which the HTTP server takes new sockets: it gets what `create` returns for each. */
export function replaceConnections(server: Server, create: CreatePacedConnection): void {
	const listeners = server.listeners('connection') as unknown as ReadonlyArray<(connection: unknown) => void>;
	server.removeAllListeners('connection');
	server.on('connection', (socket: Socket) => {
		const connection = create(socket);
		if (connection) {
			listeners.forEach(handleConnection => {
				handleConnection.call(server, connection);
			});
		}
	});
}
