/** The side of a link that opens exchanges. */
import {connect} from 'node:net';
import {
	Carrier, createFailure, createRandomId, Exchange, type ExchangeHandler, type Failure, type NodeIdentity, type RequestHead,
} from '@limpetbarrow/core';
import {connectTimeoutMs, heartbeatMs, silenceBoundMs} from './constants.js';
import {FrameConnection} from './frame-connection.js';
import {type Frame, type FrameWithPayload, type LinkPeer} from './types.js';

class ClientExchange extends Exchange {
	readonly #send: (frame: Frame, payload?: Uint8Array) => void;
	readonly #stream: number;
	readonly #forget: () => void;

	constructor(stream: number, send: (frame: Frame, payload?: Uint8Array) => void, forget: () => void) {
		super();
		this.#stream = stream;
		this.#send = send;
		this.#forget = forget;
	}

	override writeBody(chunk: Uint8Array): void {
		this.#send({kind: 'data', stream: this.#stream}, chunk);
	}

	override endBody(): void {
		this.#send({kind: 'end', stream: this.#stream});
	}

	override grantCredit(bytes: number): void {
		this.#send({kind: 'credit', stream: this.#stream, bytes});
	}

	override cancel(): void {
		this.#forget();
		this.#send({kind: 'cancel', stream: this.#stream});
	}
}

/** Carries exchanges to one run of one node. */
export class LinkClient extends Carrier {
	readonly #peer: LinkPeer;
	readonly #self: NodeIdentity;
	readonly #session = createRandomId();
	readonly #handlers = new Map<number, ExchangeHandler>();
	#connection: FrameConnection | undefined;
	#isGreeted = false;
	#nextStream = 1;
	#heartbeat: NodeJS.Timeout | undefined;

	constructor(self: NodeIdentity, peer: LinkPeer) {
		super();
		this.#self = self;
		this.#peer = peer;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const stream = this.#nextStream++;
		this.#handlers.set(stream, handler);
		this.#getConnection().send({kind: 'request', stream, head});
		return new ClientExchange(stream, (frame, payload) => {
			this.#connection?.send(frame, payload);
		}, () => {
			this.#handlers.delete(stream);
		});
	}

	/** Number of exchanges in progress. */
	countExchanges(): number {
		return this.#handlers.size;
	}

	close(): void {
		this.#connection?.close();
	}

	#getConnection(): FrameConnection {
		if (this.#connection) {
			return this.#connection;
		}

		const socket = connect({...this.#peer.address});
		const connection = new FrameConnection(socket);
		const startedAt = performance.now();
		this.#connection = connection;
		this.#isGreeted = false;
		connection.frames.registerListener(frame => {
			this.#handleFrame(frame);
		});
		connection.closes.registerListener(() => {
			this.#handleClose();
		});
		this.#heartbeat = setInterval(() => {
			this.#checkConnection(connection, startedAt);
		}, heartbeatMs);
		this.#heartbeat.unref();
		connection.send({kind: 'hello', session: this.#session, node: this.#self});
		return connection;
	}

	#checkConnection(connection: FrameConnection, startedAt: number): void {
		const now = performance.now();
		const isSilent = this.#isGreeted ? now - connection.getHeardAt() > silenceBoundMs : now - startedAt > connectTimeoutMs;
		if (isSilent) {
			connection.close();
			return;
		}

		connection.send({kind: 'heartbeat'});
	}

	#handleFrame({frame, payload}: FrameWithPayload): void {
		if (frame.kind === 'hello') {
			this.#isGreeted = true;
			return;
		}

		if (frame.kind === 'heartbeat') {
			return;
		}

		const handler = this.#handlers.get(frame.stream);
		if (handler) {
			this.#dispatchFrame(frame, payload, handler);
		}
	}

	#dispatchFrame(frame: Exclude<Frame, {readonly kind: 'hello' | 'heartbeat'}>, payload: Uint8Array, handler: ExchangeHandler): void {
		switch (frame.kind) {
			case 'response': {
				handler.handleHead(frame.head);
				break;
			}

			case 'data': {
				handler.handleData(payload);
				break;
			}

			case 'credit': {
				handler.handleCredit(frame.bytes);
				break;
			}

			case 'end': {
				this.#handlers.delete(frame.stream);
				handler.handleEnd();
				break;
			}

			case 'failure': {
				this.#handlers.delete(frame.stream);
				handler.handleFailure(frame.failure);
				break;
			}

			case 'request':
			case 'cancel': {
				this.#connection?.close();
				break;
			}
		}
	}

	#handleClose(): void {
		clearInterval(this.#heartbeat);
		this.#connection = undefined;
		const failure: Failure = this.#isGreeted
			? createFailure('linkLost', `node ${this.#peer.identity.id}`)
			: createFailure('linkUnreachable', `node ${this.#peer.identity.id}`);
		const handlers = [...this.#handlers.values()];
		this.#handlers.clear();
		handlers.forEach(handler => {
			handler.handleFailure(failure);
		});
	}
}
