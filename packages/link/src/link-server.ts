/** The side of a link that serves exchanges. */
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	type Address, type Carrier, type Exchange, type ExchangeHandler, type Logger, type NodeIdentity, type RequestTarget,
} from '@limpetbarrow/core';
import {heartbeatMs} from './constants.js';
import {FrameConnection} from './frame-connection.js';
import {type Frame} from './types.js';

/** Finds what serves a target on this node. */
export type SelectCarrier = (target: RequestTarget) => Carrier;

/** Accepts connections of other nodes. */
export class LinkServer {
	readonly #self: NodeIdentity;
	readonly #selectCarrier: SelectCarrier;
	readonly #logger: Logger;
	readonly #server: Server;
	readonly #connections = new Set<FrameConnection>();
	#exchangeCount = 0;

	constructor(self: NodeIdentity, selectCarrier: SelectCarrier, logger: Logger) {
		this.#self = self;
		this.#selectCarrier = selectCarrier;
		this.#logger = logger;
		this.#server = createServer(socket => {
			this.#handleSocket(socket);
		});
	}

	async listen({host, port}: Address): Promise<Address> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
		return {host, port: (this.#server.address() as AddressInfo).port};
	}

	/** Number of exchanges in progress that other nodes opened. */
	countExchanges(): number {
		return this.#exchangeCount;
	}

	async close(): Promise<void> {
		[...this.#connections].forEach(connection => {
			connection.close();
		});
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#handleSocket(socket: Socket): void {
		const connection = new FrameConnection(socket);
		const exchanges = new Map<number, Exchange>();
		const heartbeat = setInterval(() => {
			connection.send({kind: 'heartbeat'});
		}, heartbeatMs);
		heartbeat.unref();
		this.#connections.add(connection);
		connection.frames.registerListener(({frame, payload}) => {
			this.#handleFrame(connection, exchanges, frame, payload);
		});
		connection.failures.registerListener(failure => {
			this.#logger.log('frameRejected', {code: failure.code, detail: failure.detail});
		});
		connection.closes.registerListener(() => {
			clearInterval(heartbeat);
			this.#connections.delete(connection);
			this.#exchangeCount -= exchanges.size;
			[...exchanges.values()].forEach(exchange => {
				exchange.cancel();
			});
			exchanges.clear();
		});
	}

	#forget(exchanges: Map<number, Exchange>, stream: number): void {
		if (exchanges.delete(stream)) {
			this.#exchangeCount--;
		}
	}

	#handleFrame(connection: FrameConnection, exchanges: Map<number, Exchange>, frame: Frame, payload: Uint8Array): void {
		switch (frame.kind) {
			case 'hello': {
				connection.send({kind: 'hello', session: frame.session, node: this.#self});
				break;
			}

			case 'request': {
				const {stream, head} = frame;
				const handler = createReplyHandler(connection, stream, () => {
					this.#forget(exchanges, stream);
				});
				this.#exchangeCount++;
				exchanges.set(stream, this.#selectCarrier(head.target).openExchange(head, handler));
				break;
			}

			case 'data': {
				exchanges.get(frame.stream)?.writeBody(payload);
				break;
			}

			case 'end': {
				exchanges.get(frame.stream)?.endBody();
				break;
			}

			case 'credit': {
				exchanges.get(frame.stream)?.grantCredit(frame.bytes);
				break;
			}

			case 'cancel': {
				exchanges.get(frame.stream)?.cancel();
				this.#forget(exchanges, frame.stream);
				break;
			}

			case 'heartbeat': {
				break;
			}

			case 'response':
			case 'failure': {
				connection.close();
				break;
			}
		}
	}
}

function createReplyHandler(connection: FrameConnection, stream: number, forget: () => void): ExchangeHandler {
	return {
		handleHead(head) {
			connection.send({kind: 'response', stream, head});
		},
		handleData(chunk) {
			connection.send({kind: 'data', stream}, chunk);
		},
		handleEnd() {
			forget();
			connection.send({kind: 'end', stream});
		},
		handleFailure(failure) {
			forget();
			connection.send({kind: 'failure', stream, failure});
		},
		handleCredit(bytes) {
			connection.send({kind: 'credit', stream, bytes});
		},
	};
}
