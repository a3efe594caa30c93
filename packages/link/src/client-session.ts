/** Session of the client side, which continues over new connections when one fails. */
import {
	createFailure, createRandomId, foldResult, type Failure, type NodeIdentity,
} from '@limpetbarrow/core';
import {type Connection} from './connection.js';
import {
	acknowledgeAfterFrames, connectTimeoutMs, heartbeatIntervalMs, idleAcknowledgeDelayMs, linkIdleTimeoutMs, maxConsecutiveRefusals, probeAfterIdleMs,
	probeTimeoutMs, reconnectDelayMs, resumeTimeoutMs, silenceTimeoutMs,
} from './constants.js';
import {type LinkOptions} from './link-options.js';
import {LinkSession} from './link-session.js';
import {
	type ExchangeFrame, type HelloFrame, type LinkPeer, type Packet,
} from './types.js';
import {isSameNode} from './utils.js';

/** Opens a connection to a peer. */
export type OpenConnection = (peer: LinkPeer) => Connection;

/** Options of a client session. */
export type ClientSessionOptions = LinkOptions & {
	readonly self: NodeIdentity;
	readonly peer: LinkPeer;
	readonly openConnection: OpenConnection;
};

/** Why a session ended, and the sequence number of the last frame that the other side had received, if known. */
export type SessionEnd = {
	readonly failure: Failure;
	readonly received: number | undefined;
};

/** Callbacks of a session to its link. */
export type ClientSessionHandler = {
	readonly countExchanges: () => number;
	readonly handleFrame: (frame: ExchangeFrame, payload: Uint8Array) => void;
	/** Called when an attempt to connect failed; unsent frames were never written to a connection. */
	readonly handleUnreachable: () => void;
	/** Called once, as the last callback. */
	readonly handleEnd: (end: SessionEnd) => void;
};

type ActiveConnection = {
	readonly connection: Connection;
	/** Removes the session's handler from the connection. */
	readonly release: () => void;
	readonly handshakeTimer: NodeJS.Timeout;
	readonly startedAt: number;
	readonly isEstablished: boolean;
};

/** What the other side has to acknowledge. */
type AwaitedAnswer = {
	/** Monotonic time from which on it is awaited, in milliseconds. */
	readonly since: number;
	/** Sequence number of the last frame that had been sent then. */
	readonly sequence: number;
};

function registerOwnTick(listener: () => void): () => void {
	const timer = setInterval(listener, heartbeatIntervalMs);
	timer.unref();
	return () => {
		clearInterval(timer);
	};
}

/** Connects, sends heartbeats, replaces connections that stopped working, and ends the session when it can't be resumed. */
export class ClientSession {
	readonly state = new LinkSession();
	readonly #options: ClientSessionOptions;
	readonly #handler: ClientSessionHandler;
	readonly #id = createRandomId();
	readonly #stopTick: () => void;
	#activeConnection: ActiveConnection | undefined;
	#attempt = 0;
	#wasEstablished = false;
	/**
	 * The oldest sign of life that is awaited on the connection. It outlives the exchanges that ask for it: a time that starts anew
	 * with each exchange would never be over on a silent connection under steady load.
	 */
	#awaitedAnswer: AwaitedAnswer | undefined;
	#idleSince = performance.now();
	#connectionLostAt: number | undefined;
	#consecutiveRefusals = 0;
	#hasStalledAcknowledgements = false;
	#isEnded = false;
	#reconnectTimer: NodeJS.Timeout | undefined;
	#probeTimer: NodeJS.Timeout | undefined;

	constructor(options: ClientSessionOptions, handler: ClientSessionHandler) {
		this.#options = options;
		this.#handler = handler;
		this.#stopTick = (options.registerTick ?? registerOwnTick)(() => {
			this.#checkConnection();
		});
		this.#connect();
	}

	/** True when a connection was lost while acknowledgements were overdue, and none was established since. */
	hasStalledAcknowledgements(): boolean {
		return this.#hasStalledAcknowledgements;
	}

	/**
	 * Called when the first exchange after an idle period begins. It probes the connection after a long idle period, in which
	 * the connection may have gone silent unnoticed.
	 */
	startBusyPeriod(): void {
		const now = performance.now();
		const idleMs = now - this.#idleSince;
		if (!this.#activeConnection?.isEstablished) {
			return;
		}

		this.#setAwaitedAnswer(now);
		if (idleMs < probeAfterIdleMs) {
			return;
		}

		const {connection} = this.#activeConnection;
		this.state.sendControl({kind: 'heartbeat', isProbe: true});
		clearTimeout(this.#probeTimer);
		this.#probeTimer = setTimeout(() => {
			if (this.#activeConnection?.connection === connection && connection.getLastReceivedAt() < now) {
				this.#replaceConnection('no answer to a heartbeat');
			}
		}, probeTimeoutMs);
		this.#probeTimer.unref();
	}

	/** Called when no exchange is in progress any more. */
	startIdlePeriod(): void {
		this.#idleSince = performance.now();
	}

	/** Ends the session, and sends a close frame if there is a connection. */
	end(failure: Failure, received?: number): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#stopTick();
		clearTimeout(this.#reconnectTimer);
		clearTimeout(this.#probeTimer);
		this.state.sendControl({kind: 'close', received: this.state.getLastReceivedSequence()});
		this.state.pause();
		this.#removeConnection()?.end();
		this.#handler.handleEnd({failure, received});
	}

	#connect(): void {
		const {peer, self, openConnection} = this.#options;
		this.#attempt++;
		const connection = openConnection(peer);
		const handshakeTimer = setTimeout(() => {
			this.#handleConnectionLost(false);
		}, connectTimeoutMs);
		const release = connection.registerHandler({
			handlePacket: packet => {
				this.#handlePacket(packet);
			},
			handleFailure: failure => {
				this.#endOnInvalidFrame(failure);
			},
			handleClose: isRefused => {
				this.#handleConnectionLost(isRefused);
			},
		});
		this.#activeConnection = {
			connection, release, handshakeTimer, startedAt: performance.now(), isEstablished: false,
		};
		const frame = {
			kind: 'hello', session: this.#id, node: self, peer: peer.identity, attempt: this.#attempt, isResumed: this.#wasEstablished, received: this.state.getLastReceivedSequence(),
		} as const;
		connection.send({
			frame, sequence: 0, acknowledged: 0, payload: new Uint8Array(0),
		});
	}

	#removeConnection(): Connection | undefined {
		const active = this.#activeConnection;
		clearTimeout(active?.handshakeTimer);
		active?.release();
		this.#activeConnection = undefined;
		return active?.connection;
	}

	#checkConnection(): void {
		const {connection, isEstablished} = this.#activeConnection ?? {};
		if (!connection || !isEstablished) {
			return;
		}

		const now = performance.now();
		if (this.#awaitedAnswer && now - this.#awaitedAnswer.since > silenceTimeoutMs) {
			this.#replaceConnection(connection.getLastReceivedAt() < this.#awaitedAnswer.since ? 'nothing received' : 'frames not acknowledged');
		} else if (this.#handler.countExchanges() > 0) {
			// The other side sends heartbeats of its own while it has exchanges.
			this.#setAwaitedAnswer(Math.min(this.state.getOldestUnacknowledgedSentAt() ?? now, Math.max(connection.getLastReceivedAt(), now - heartbeatIntervalMs)));
			this.state.sendControl({kind: 'heartbeat', isProbe: false});
		} else if (this.#awaitedAnswer) {
			this.state.sendControl({kind: 'heartbeat', isProbe: true});
		} else {
			this.#checkIdle();
		}
	}

	#setAwaitedAnswer(since: number): void {
		this.#awaitedAnswer ??= {since, sequence: this.state.getLastSentSequence()};
	}

	/** True when frames that were sent before an answer was awaited have not been acknowledged for longer than `silenceTimeoutMs`. */
	#isAcknowledgementOverdue(now: number): boolean {
		const sentAt = this.state.getOldestUnacknowledgedSentAt();
		return this.#awaitedAnswer !== undefined && sentAt !== undefined && now - Math.max(sentAt, this.#awaitedAnswer.since) > silenceTimeoutMs;
	}

	#checkIdle(): void {
		const idleMs = performance.now() - this.#idleSince;
		if (idleMs > linkIdleTimeoutMs) {
			this.end(createFailure('linkLost', 'the link was idle for too long'));
		} else if (idleMs > idleAcknowledgeDelayMs && this.state.countPendingAcknowledgements() > 0) {
			this.state.sendControl({kind: 'heartbeat', isProbe: false});
		}
	}

	#replaceConnection(reason: string): void {
		this.#options.logger.log('linkReplaced', {node: this.#options.peer.identity.id, reason});
		this.#options.metrics.addCount('link_replaced_total');
		this.#handleConnectionLost(false);
	}

	/** Reconnects while exchanges are in progress and the session may be resumed; ends the session otherwise. */
	#handleConnectionLost(isRefused: boolean): void {
		const {isEstablished: wasEstablished = false, startedAt = 0} = this.#activeConnection ?? {};
		const now = performance.now();
		this.#removeConnection()?.close();
		this.state.pause();
		this.#hasStalledAcknowledgements ||= wasEstablished && this.#isAcknowledgementOverdue(now);
		this.#awaitedAnswer = undefined;
		this.#connectionLostAt ??= now;
		this.#consecutiveRefusals = isRefused ? this.#consecutiveRefusals + 1 : 0;
		if (!wasEstablished) {
			this.#handler.handleUnreachable();
		}

		if (this.#handler.countExchanges() === 0 || this.#consecutiveRefusals >= maxConsecutiveRefusals || now - this.#connectionLostAt > resumeTimeoutMs) {
			this.end(createFailure('linkLost', 'the session could not be resumed'));
			return;
		}

		this.#reconnectTimer = setTimeout(() => {
			this.#connect();
		}, wasEstablished && now - startedAt > reconnectDelayMs ? 0 : reconnectDelayMs);
	}

	#handlePacket(packet: Packet): void {
		const {frame, payload} = packet;
		if (frame.kind === 'hello') {
			this.#handleHello(frame);
			return;
		}

		if (frame.kind === 'close') {
			this.end(createFailure('linkLost', 'the other node ended the session'), frame.received);
			return;
		}

		if (!this.#activeConnection?.isEstablished) {
			this.#endOnInvalidFrame(createFailure('malformedFrame', `${frame.kind} frame before hello`));
			return;
		}

		foldResult(this.state.accept(packet), failure => {
			this.#endOnInvalidFrame(failure);
		}, isNew => {
			if (packet.acknowledged >= (this.#awaitedAnswer?.sequence ?? 0)) {
				this.#awaitedAnswer = undefined;
			}

			if (frame.kind !== 'heartbeat' && isNew) {
				this.#handler.handleFrame(frame, payload);
			}
		});
		if (this.state.countPendingAcknowledgements() >= acknowledgeAfterFrames) {
			this.state.sendControl({kind: 'heartbeat', isProbe: false});
		}
	}

	#handleHello({node, session, received}: HelloFrame): void {
		const active = this.#activeConnection;
		if (active?.isEstablished !== false || session !== this.#id || !isSameNode(node, this.#options.peer.identity)) {
			this.#endOnInvalidFrame(createFailure('malformedFrame', `unexpected hello of node ${node.id}`));
			return;
		}

		clearTimeout(active.handshakeTimer);
		this.#activeConnection = {...active, isEstablished: true, startedAt: performance.now()};
		this.#connectionLostAt = undefined;
		this.#consecutiveRefusals = 0;
		this.#hasStalledAcknowledgements = false;
		if (!this.#wasEstablished) {
			this.#options.logger.log('linkOpened', {node: node.id});
		}

		this.#wasEstablished = true;
		foldResult(this.state.resume(packet => active.connection.send(packet), received), failure => {
			this.#endOnInvalidFrame(failure);
		}, resent => {
			this.#options.metrics.addCount('link_resent_frames_total', resent);
			this.#setAwaitedAnswer(performance.now());
		});
	}

	#endOnInvalidFrame(failure: Failure): void {
		this.#options.logger.log('frameRejected', {node: this.#options.peer.identity.id, code: failure.code, detail: failure.detail});
		this.end(failure);
	}
}
