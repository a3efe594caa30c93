/** One session of the side that opens exchanges, over as many connections as it takes. */
import {
	createFailure, createRandomId, foldResult, type Failure, type NodeIdentity,
} from '@limpetbarrow/core';
import {type Connection} from './connection.js';
import {
	acknowledgeAfterFrames, connectTimeoutMs, heartbeatMs, idleAcknowledgeMs, idleCloseMs, maxRefusedConnections, probeAfterMs,
	probeTimeoutMs, reconnectPauseMs, resumeBoundMs, silenceBoundMs,
} from './constants.js';
import {type LinkOptions} from './link-options.js';
import {LinkSession} from './link-session.js';
import {
	type ExchangeFrame, type HelloFrame, type LinkPeer, type Packet,
} from './types.js';
import {isSameNode} from './utils.js';

/** Opens a connection to a peer. */
export type OpenConnection = (peer: LinkPeer) => Connection;

/** What a session works with. */
export type ClientSessionOptions = LinkOptions & {
	readonly self: NodeIdentity;
	readonly peer: LinkPeer;
	readonly openConnection: OpenConnection;
};

/** Why a session ended, and what the other side had received by then, where that is known. */
export type SessionEnd = {
	readonly failure: Failure;
	readonly received: number | undefined;
};

/** Called with what happens in a session. */
export type ClientSessionHandler = {
	readonly countExchanges: () => number;
	readonly handleFrame: (frame: ExchangeFrame, payload: Uint8Array) => void;
	/** An attempt to connect failed; what waits was never sent. */
	readonly handleUnreachable: () => void;
	/** Called once, last. */
	readonly handleEnd: (end: SessionEnd) => void;
};

type Attached = {
	readonly connection: Connection;
	/** Stops hearing the connection. */
	readonly release: () => void;
	readonly greetTimer: NodeJS.Timeout;
	readonly startedAt: number;
	readonly isGreeted: boolean;
};

function registerOwnTick(listener: () => void): () => void {
	const timer = setInterval(listener, heartbeatMs);
	timer.unref();
	return () => {
		clearInterval(timer);
	};
}

/** Connects, resumes, watches for silence, and ends. */
export class ClientSession {
	readonly state = new LinkSession();
	readonly #options: ClientSessionOptions;
	readonly #handler: ClientSessionHandler;
	readonly #id = createRandomId();
	readonly #stopTick: () => void;
	#attached: Attached | undefined;
	#attempt = 0;
	#wasGreeted = false;
	#busySince = performance.now();
	#idleSince = performance.now();
	#lostAt: number | undefined;
	#refusedCount = 0;
	#isUnheard = false;
	#isEnded = false;
	#pause: NodeJS.Timeout | undefined;
	#probe: NodeJS.Timeout | undefined;

	constructor(options: ClientSessionOptions, handler: ClientSessionHandler) {
		this.#options = options;
		this.#handler = handler;
		this.#stopTick = (options.registerTick ?? registerOwnTick)(() => {
			this.#check();
		});
		this.#connect();
	}

	/** True when the other side is heard but does not acknowledge. */
	isUnheard(): boolean {
		return this.#isUnheard;
	}

	/** Notes that the first exchange after a quiet time begins; the connection may have gone silent meanwhile. */
	startBusy(): void {
		const now = performance.now();
		const quietMs = now - this.#idleSince;
		this.#busySince = now;
		if (!this.#attached?.isGreeted || quietMs < probeAfterMs) {
			return;
		}

		const {connection} = this.#attached;
		this.state.sendControl({kind: 'heartbeat', isProbe: true});
		clearTimeout(this.#probe);
		this.#probe = setTimeout(() => {
			if (this.#attached?.connection === connection && connection.getHeardAt() < now) {
				this.#replace('no answer to a heartbeat');
			}
		}, probeTimeoutMs);
		this.#probe.unref();
	}

	/** Notes that no exchange is in progress any more. */
	startIdle(): void {
		this.#idleSince = performance.now();
	}

	/** Ends the session and tells the other side when it can. */
	end(failure: Failure, received?: number): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#stopTick();
		clearTimeout(this.#pause);
		clearTimeout(this.#probe);
		this.state.sendControl({kind: 'close', received: this.state.getReceived()});
		this.state.pause();
		this.#removeConnection()?.end();
		this.#handler.handleEnd({failure, received});
	}

	#connect(): void {
		const {peer, self, openConnection} = this.#options;
		this.#attempt++;
		const connection = openConnection(peer);
		const greetTimer = setTimeout(() => {
			this.#handleLost(false);
		}, connectTimeoutMs);
		const release = connection.registerHandler({
			handlePacket: packet => {
				this.#handlePacket(packet);
			},
			handleFailure: failure => {
				this.#refuseFrame(failure);
			},
			handleClose: isRefused => {
				this.#handleLost(isRefused);
			},
		});
		this.#attached = {
			connection, release, greetTimer, startedAt: performance.now(), isGreeted: false,
		};
		const frame = {
			kind: 'hello', session: this.#id, node: self, peer: peer.identity, attempt: this.#attempt, isResumed: this.#wasGreeted, received: this.state.getReceived(),
		} as const;
		connection.send({
			frame, sequence: 0, acknowledged: 0, payload: new Uint8Array(0),
		});
	}

	#removeConnection(): Connection | undefined {
		const attached = this.#attached;
		clearTimeout(attached?.greetTimer);
		attached?.release();
		this.#attached = undefined;
		return attached?.connection;
	}

	#check(): void {
		const {connection, isGreeted} = this.#attached ?? {};
		if (!connection || !isGreeted) {
			return;
		}

		if (this.#handler.countExchanges() === 0) {
			this.#checkIdle();
			return;
		}

		const now = performance.now();
		if (now - Math.max(connection.getHeardAt(), this.#busySince) > silenceBoundMs) {
			this.#replace('silent');
		} else if (this.#isOverdue(now)) {
			this.#replace('not acknowledged');
		} else {
			this.state.sendControl({kind: 'heartbeat', isProbe: false});
		}
	}

	/** True when the other side should have acknowledged by now. */
	#isOverdue(now: number): boolean {
		return now - Math.max(this.state.getOldestSentAt() ?? now, this.#busySince) > silenceBoundMs;
	}

	#checkIdle(): void {
		const idleMs = performance.now() - this.#idleSince;
		if (idleMs > idleCloseMs) {
			this.end(createFailure('linkLost', 'idle'));
		} else if (idleMs > idleAcknowledgeMs && this.state.countUnreported() > 0) {
			this.state.sendControl({kind: 'heartbeat', isProbe: false});
		}
	}

	#replace(reason: string): void {
		this.#options.logger.log('linkReplaced', {node: this.#options.peer.identity.id, reason});
		this.#options.metrics.addCount('link_replaced_total');
		this.#handleLost(false);
	}

	/** The connection is gone: resumes when the other side may have requests. */
	#handleLost(isRefused: boolean): void {
		const {isGreeted: wasGreeted = false, startedAt = 0} = this.#attached ?? {};
		const now = performance.now();
		this.#removeConnection()?.close();
		this.state.pause();
		this.#isUnheard ||= wasGreeted && this.#isOverdue(now);
		this.#lostAt ??= now;
		this.#refusedCount = isRefused ? this.#refusedCount + 1 : 0;
		if (!wasGreeted) {
			this.#handler.handleUnreachable();
		}

		if (this.#handler.countExchanges() === 0 || this.#refusedCount >= maxRefusedConnections || now - this.#lostAt > resumeBoundMs) {
			this.end(createFailure('linkLost', 'the session could not be resumed'));
			return;
		}

		this.#pause = setTimeout(() => {
			this.#connect();
		}, wasGreeted && now - startedAt > reconnectPauseMs ? 0 : reconnectPauseMs);
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

		if (!this.#attached?.isGreeted) {
			this.#refuseFrame(createFailure('malformedFrame', `${frame.kind} before hello`));
			return;
		}

		foldResult(this.state.accept(packet), failure => {
			this.#refuseFrame(failure);
		}, isNew => {
			if (frame.kind !== 'heartbeat' && isNew) {
				this.#handler.handleFrame(frame, payload);
			}
		});
		if (this.state.countUnreported() >= acknowledgeAfterFrames) {
			this.state.sendControl({kind: 'heartbeat', isProbe: false});
		}
	}

	#handleHello({node, session, received}: HelloFrame): void {
		const attached = this.#attached;
		if (attached?.isGreeted !== false || session !== this.#id || !isSameNode(node, this.#options.peer.identity)) {
			this.#refuseFrame(createFailure('malformedFrame', `hello of node ${node.id}`));
			return;
		}

		clearTimeout(attached.greetTimer);
		this.#attached = {...attached, isGreeted: true, startedAt: performance.now()};
		this.#busySince = performance.now();
		this.#lostAt = undefined;
		this.#refusedCount = 0;
		this.#isUnheard = false;
		if (!this.#wasGreeted) {
			this.#options.logger.log('linkOpened', {node: node.id});
		}

		this.#wasGreeted = true;
		foldResult(this.state.resume(packet => attached.connection.send(packet), received), failure => {
			this.#refuseFrame(failure);
		}, resent => {
			this.#options.metrics.addCount('link_resent_frames_total', resent);
		});
	}

	#refuseFrame(failure: Failure): void {
		this.#options.logger.log('frameRejected', {node: this.#options.peer.identity.id, code: failure.code, detail: failure.detail});
		this.end(failure);
	}
}
