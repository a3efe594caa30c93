/** Session of the server side. It is kept for `sessionRetentionMs` after it has lost its connection. */
import {
	createFailure, foldResult, type Failure, type NodeIdentity,
} from '@limpetbarrow/core';
import {type Connection} from './connection.js';
import {
	acknowledgeAfterFrames, linkIdleTimeoutMs, maxExchanges, maxUnacknowledgedBytes, sessionRetentionMs, silenceTimeoutMs,
} from './constants.js';
import {type LinkOptions} from './link-options.js';
import {LinkSession} from './link-session.js';
import {ServerExchange, type OpenRequest} from './server-exchange.js';
import {
	type ExchangeFrame, type HelloFrame, type Packet, type RequestFrame,
} from './types.js';
import {isSameNode} from './utils.js';

/** Options of a server session. */
export type ServerSessionOptions = LinkOptions & {
	readonly self: NodeIdentity;
	readonly openRequest: OpenRequest;
	/** Called once, when the session ends. */
	readonly handleEnd: () => void;
};

type ActiveConnection = {
	readonly connection: Connection;
	/** Removes the session's handler from the connection. */
	readonly release: () => void;
};

const sessionIdleTimeoutMs = 2 * linkIdleTimeoutMs;

/** Serves the exchanges that another node opened in one session. */
export class ServerSession {
	readonly #id: string;
	readonly #peer: NodeIdentity;
	readonly #options: ServerSessionOptions;
	readonly #state = new LinkSession();
	readonly #exchanges = new Map<number, ServerExchange>();
	#activeConnection: ActiveConnection | undefined;
	#attempt = 0;
	#lastStream = 0;
	#connectionLostAt = performance.now();
	#busySince = performance.now();
	#isEnded = false;

	constructor({session, node}: HelloFrame, options: ServerSessionOptions) {
		this.#id = session;
		this.#peer = node;
		this.#options = options;
	}

	/** True when that incarnation of a node opened the session. */
	isFromNode(node: NodeIdentity): boolean {
		return isSameNode(node, this.#peer);
	}

	/** Continues over a connection that sent a hello. Returns false for a late hello of a connection already replaced. */
	resume(connection: Connection, hello: HelloFrame): boolean {
		if (hello.attempt <= this.#attempt) {
			return false;
		}

		this.#attempt = hello.attempt;
		this.#removeConnection()?.close();
		const release = connection.registerHandler({
			handlePacket: packet => {
				this.#handlePacket(packet);
			},
			handleFailure: failure => {
				this.#endOnInvalidFrame(failure);
			},
			handleClose: () => {
				this.#handleConnectionLost();
			},
		});
		this.#activeConnection = {connection, release};
		this.#busySince = performance.now();
		connection.send({
			frame: {
				...hello, node: this.#options.self, peer: hello.node, received: this.#state.getLastReceivedSequence(),
			},
			sequence: 0,
			acknowledged: 0,
			payload: new Uint8Array(0),
		});
		foldResult(this.#state.resume(packet => connection.send(packet), hello.received), failure => {
			this.#endOnInvalidFrame(failure);
		}, resent => {
			this.#options.metrics.addCount('link_resent_frames_total', resent);
		});
		return true;
	}

	/** Number of exchanges in progress. */
	countExchanges(): number {
		return this.#exchanges.size;
	}

	/** Sends a heartbeat if one is due, closes a silent connection, and ends the session past its time or size limits. */
	check(): void {
		const now = performance.now();
		if (this.#state.countBufferedBytes() > maxUnacknowledgedBytes) {
			this.end('too many unacknowledged bytes');
		} else if (!this.#activeConnection) {
			this.#checkRetention(now);
		} else if (this.#exchanges.size === 0) {
			this.#checkIdle(this.#activeConnection.connection, now);
		} else if (now - Math.max(this.#activeConnection.connection.getLastReceivedAt(), this.#busySince) > silenceTimeoutMs) {
			this.#handleConnectionLost();
		} else {
			this.#state.sendControl({kind: 'heartbeat', isProbe: false});
		}
	}

	/** Ends the session and tells the other side which frame was received last. Exchanges in progress are cancelled. */
	end(reason: string): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		const exchanges = [...this.#exchanges.values()];
		this.#exchanges.clear();
		this.#state.sendControl({kind: 'close', received: this.#state.getLastReceivedSequence()});
		this.#state.pause();
		this.#removeConnection()?.end();
		this.#options.handleEnd();
		if (exchanges.length > 0) {
			this.#options.logger.log('linkEnded', {node: this.#peer.id, session: this.#id, detail: reason});
		}

		exchanges.forEach(exchange => {
			exchange.cancel();
		});
	}

	#checkRetention(now: number): void {
		if (now - this.#connectionLostAt > sessionRetentionMs) {
			this.end('the other node did not reconnect in time');
		}
	}

	#checkIdle(connection: Connection, now: number): void {
		if (now - connection.getLastReceivedAt() > sessionIdleTimeoutMs) {
			this.end('idle');
		}
	}

	#removeConnection(): Connection | undefined {
		const active = this.#activeConnection;
		active?.release();
		this.#activeConnection = undefined;
		return active?.connection;
	}

	#handleConnectionLost(): void {
		this.#connectionLostAt = performance.now();
		this.#state.pause();
		this.#removeConnection()?.close();
	}

	#handlePacket(packet: Packet): void {
		const {frame, payload} = packet;
		if (frame.kind === 'hello') {
			this.#endOnInvalidFrame(createFailure('malformedFrame', 'a second hello on one connection'));
			return;
		}

		if (frame.kind === 'close') {
			this.end('the other node ended the session');
			return;
		}

		foldResult(this.#state.accept(packet), failure => {
			this.#endOnInvalidFrame(failure);
		}, isNew => {
			if (frame.kind === 'heartbeat') {
				this.#answerProbe(frame.isProbe);
			} else if (isNew) {
				this.#dispatchFrame(frame, payload);
			}
		});
		if (this.#state.countPendingAcknowledgements() >= acknowledgeAfterFrames) {
			this.#state.sendControl({kind: 'heartbeat', isProbe: false});
		}
	}

	#answerProbe(isProbe: boolean): void {
		if (isProbe) {
			this.#state.sendControl({kind: 'heartbeat', isProbe: false});
		}
	}

	#dispatchFrame(frame: ExchangeFrame, payload: Uint8Array): void {
		if (frame.kind === 'request') {
			this.#openExchange(frame);
			return;
		}

		const exchange = this.#exchanges.get(frame.stream);
		if (!exchange) {
			this.#countLateFrame(frame);
			return;
		}

		switch (frame.kind) {
			case 'data': {
				const failure = exchange.writeBody(payload);
				if (failure) {
					this.#endOnInvalidFrame(failure);
				}

				break;
			}

			case 'end': {
				exchange.endBody();
				break;
			}

			case 'credit': {
				exchange.grantCredit(frame.bytes);
				break;
			}

			case 'cancel': {
				this.#exchanges.delete(frame.stream);
				exchange.cancel();
				break;
			}

			case 'response':
			case 'accepted':
			case 'failure': {
				this.#endOnInvalidFrame(createFailure('malformedFrame', `unexpected ${frame.kind} frame from the client side`));
				break;
			}
		}
	}

	/** Counts a frame of a finished exchange, but not credit and cancel frames, which normally cross the end of a response. */
	#countLateFrame({kind}: ExchangeFrame): void {
		if (kind !== 'credit' && kind !== 'cancel') {
			this.#options.metrics.addCount('link_late_frames_total');
		}
	}

	#openExchange({stream, head}: RequestFrame): void {
		if (stream <= this.#lastStream || this.#exchanges.size >= maxExchanges) {
			this.#endOnInvalidFrame(createFailure('malformedFrame', `request on stream ${stream} after stream ${this.#lastStream} with ${this.#exchanges.size} exchanges in progress`));
			return;
		}

		this.#lastStream = stream;
		if (this.#exchanges.size === 0) {
			this.#busySince = performance.now();
		}

		const removeExchange = (): void => {
			this.#exchanges.delete(stream);
		};

		const exchange = new ServerExchange(stream, this.#state, removeExchange, handler => this.#options.openRequest(head, handler));
		if (!exchange.isFinished()) {
			this.#exchanges.set(stream, exchange);
		}
	}

	#endOnInvalidFrame(failure: Failure): void {
		this.#options.logger.log('frameRejected', {node: this.#peer.id, code: failure.code, detail: failure.detail});
		this.end('a frame was rejected');
	}
}
