/** The server side of links, which serves the exchanges of other nodes. */
import {createServer, type AddressInfo, type Server} from 'node:net';
import {
	createFailure, MetricRegistry, type Address, type Carrier, type Failure, type Logger, type NodeIdentity, type RequestTarget,
} from '@limpetbarrow/core';
import {type Connection} from './connection.js';
import {
	connectTimeoutMs, heartbeatIntervalMs, maxPendingConnections, maxSessions,
} from './constants.js';
import {FrameConnection} from './frame-connection.js';
import {ServerSession} from './server-session.js';
import {type HelloFrame, type Packet} from './types.js';
import {isSameNode} from './utils.js';

/** Selects the carrier that serves a target on this node. */
export type SelectCarrier = (target: RequestTarget) => Carrier;

/** Accepts connections of other nodes and holds their sessions. */
export class LinkServer {
	readonly #self: NodeIdentity;
	readonly #selectCarrier: SelectCarrier;
	readonly #logger: Logger;
	readonly #metrics: MetricRegistry;
	readonly #server: Server;
	readonly #sessions = new Map<string, ServerSession>();
	readonly #pendingConnections = new Set<Connection>();
	readonly #checkTimer: NodeJS.Timeout;
	#maxPendingConnections = maxPendingConnections;

	constructor(self: NodeIdentity, selectCarrier: SelectCarrier, logger: Logger, metrics = new MetricRegistry()) {
		this.#self = self;
		this.#selectCarrier = selectCarrier;
		this.#logger = logger;
		this.#metrics = metrics;
		this.#server = createServer(socket => {
			this.acceptConnection(new FrameConnection(socket));
		});
		this.#checkTimer = setInterval(() => {
			this.#checkSessions();
		}, heartbeatIntervalMs);
		this.#checkTimer.unref();
	}

	async listen({host, port}: Address): Promise<Address> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
		return {host, port: (this.#server.address() as AddressInfo).port};
	}

	/** Sets the largest number of connections that have not sent their hello. */
	setMaxPendingConnections(count: number): void {
		this.#maxPendingConnections = count;
	}

	/** Accepts a connection. Its first frame must be a hello and arrive within `connectTimeoutMs`. */
	acceptConnection(connection: Connection): void {
		if (this.#pendingConnections.size >= this.#maxPendingConnections) {
			connection.close();
			return;
		}

		const timer = setTimeout(() => {
			connection.close();
		}, connectTimeoutMs);
		const finishHandshake = (): void => {
			clearTimeout(timer);
			this.#pendingConnections.delete(connection);
		};

		this.#pendingConnections.add(connection);
		connection.registerHandler({
			handlePacket: packet => {
				finishHandshake();
				this.#handleFirstPacket(connection, packet);
			},
			handleFailure: failure => {
				this.#logRejectedFrame(failure);
			},
			handleClose: finishHandshake,
		});
	}

	/** Number of exchanges in progress that other nodes opened. */
	countExchanges(): number {
		return [...this.#sessions.values()].reduce((sum, session) => sum + session.countExchanges(), 0);
	}

	/** Number of sessions, with or without a connection. */
	countSessions(): number {
		return this.#sessions.size;
	}

	/** Ends the sessions without exchanges in progress, and tells the other nodes that no more frames are processed. */
	closeIdle(): void {
		[...this.#sessions.values()]
			.filter(session => session.countExchanges() === 0)
			.forEach(session => {
				session.end('idle while the node stops');
			});
	}

	/** Ends every session; exchanges in progress are cancelled. */
	async close(): Promise<void> {
		clearInterval(this.#checkTimer);
		[...this.#pendingConnections].forEach(connection => {
			connection.close();
		});
		[...this.#sessions.values()].forEach(session => {
			session.end('this node closes its links');
		});
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#handleFirstPacket(connection: Connection, {frame}: Packet): void {
		if (frame.kind !== 'hello') {
			this.#logRejectedFrame(createFailure('malformedFrame', `${frame.kind} frame before hello`));
			connection.close();
			return;
		}

		const session = this.#findOrCreateSession(frame);
		if (!session) {
			this.#refuseSession(connection);
			return;
		}

		if (!session.resume(connection, frame)) {
			connection.close();
		}
	}

	/** Finds or creates the session of a hello. A session to be resumed that is not known any more is not created again. */
	#findOrCreateSession(hello: HelloFrame): ServerSession | undefined {
		const known = this.#sessions.get(hello.session);
		if (known) {
			return known.isFromNode(hello.node) ? known : undefined;
		}

		if (hello.isResumed || !isSameNode(hello.peer, this.#self) || this.#sessions.size >= maxSessions) {
			return undefined;
		}

		const session = new ServerSession(hello, {
			self: this.#self,
			logger: this.#logger,
			metrics: this.#metrics,
			openRequest: (head, handler) => this.#selectCarrier(head.target).openExchange(head, handler),
			handleEnd: () => {
				this.#sessions.delete(hello.session);
			},
		});
		this.#sessions.set(hello.session, session);
		return session;
	}

	#refuseSession(connection: Connection): void {
		connection.send({
			frame: {kind: 'close'}, sequence: 0, acknowledged: 0, payload: new Uint8Array(0),
		});
		connection.end();
	}

	#checkSessions(): void {
		[...this.#sessions.values()].forEach(session => {
			session.check();
		});
	}

	#logRejectedFrame(failure: Failure): void {
		this.#logger.log('frameRejected', {code: failure.code, detail: failure.detail});
	}
}
