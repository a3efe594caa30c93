/** The account of the memory that a node holds for its callers' connections. */
import {type Logger, type MetricRegistry, type RawHeaders} from '@limpetbarrow/core';

/** Bounds of the account, in bytes. */
export type CallerMemoryLimits = {
	/** Largest sum over all connections. Above it, the connections that hold most are closed. */
	readonly totalBytes: number;
	/** Bytes of requests from which on a connection is not read further while a request of it is in progress. */
	readonly connectionBytes: number;
};

/** Dependencies of an account. */
export type CallerMemoryOptions = {
	readonly limits: CallerMemoryLimits;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
};

/** Memory of an open connection without a request: its socket, parser and streams, in bytes. */
export const connectionBaseBytes = 8192;
/** Memory of a request besides its head: the runtime's objects and those of its exchange, in bytes. */
export const requestBaseBytes = 6144;
/** Memory of a header line besides its characters: its two strings, and its places in the lists and maps that are kept, in bytes. */
export const headerLineBytes = 112;
/** Time between two log lines about closed connections, in milliseconds. */
const logPeriodMs = 1000;

/** Estimates the memory that a request takes while it is in progress, without its body, in bytes. */
export function estimateRequestBytes(headers: RawHeaders, url: string): number {
	const characters = headers.reduce((sum, text) => sum + text.length, url.length);
	return requestBaseBytes + (headers.length / 2 * headerLineBytes) + characters;
}

/** The connection that a share belongs to. */
export type MemoryOwner = {
	/** Closes the connection, and with it the share. */
	readonly closeConnection: () => void;
	/** Address and port of the caller. */
	readonly getPeer: () => string;
};

/** The share of one connection. */
export class ConnectionMemory {
	readonly #account: CallerMemory;
	readonly #owner: MemoryOwner;
	#requestBytes = 0;
	#otherBytes = connectionBaseBytes;
	#isClosed = false;

	constructor(account: CallerMemory, owner: MemoryOwner) {
		this.#account = account;
		this.#owner = owner;
	}

	/** Address and port of the caller. */
	getPeer(): string {
		return this.#owner.getPeer();
	}

	/** Bytes held for the connection. */
	countBytes(): number {
		return this.#isClosed ? 0 : this.#requestBytes + this.#otherBytes;
	}

	/** True while the requests in progress leave room for another one. */
	hasRequestRoom(): boolean {
		return this.#requestBytes < this.#account.limits.connectionBytes;
	}

	/** Adds bytes of a request: its head and its body. A negative number gives them back. */
	addRequestBytes(bytes: number): void {
		if (!this.#isClosed) {
			this.#requestBytes += bytes;
			this.#account.recordChange(bytes);
		}
	}

	/** Adds bytes that were read and not parsed, or that are to be written. A negative number gives them back. */
	addBytes(bytes: number): void {
		if (!this.#isClosed) {
			this.#otherBytes += bytes;
			this.#account.recordChange(bytes);
		}
	}

	/** Closes the connection because the node holds too much. */
	closeConnection(): void {
		this.#owner.closeConnection();
		this.close();
	}

	/** Gives back everything; later changes count for nothing. */
	close(): void {
		if (!this.#isClosed) {
			const bytes = this.countBytes();
			this.#isClosed = true;
			this.#account.removeShare(this, bytes);
		}
	}
}

/** Adds up what is held for all connections, and closes the worst of them while the sum is above its bound. */
export class CallerMemory {
	readonly limits: CallerMemoryLimits;
	readonly #options: CallerMemoryOptions;
	readonly #shares = new Set<ConnectionMemory>();
	#totalBytes = 0;
	#isClosing = false;
	#loggedAt = Number.NEGATIVE_INFINITY;
	#closedSinceLog = 0;

	constructor(options: CallerMemoryOptions) {
		this.limits = options.limits;
		this.#options = options;
		options.metrics.registerGauge('ingress_held_bytes', () => this.#totalBytes);
		options.metrics.registerGauge('ingress_held_bytes_limit', () => options.limits.totalBytes);
	}

	/** Opens the share of a new connection. */
	openShare(owner: MemoryOwner): ConnectionMemory {
		const share = new ConnectionMemory(this, owner);
		this.#shares.add(share);
		this.recordChange(connectionBaseBytes);
		return share;
	}

	/** Bytes held for all connections. */
	countBytes(): number {
		return this.#totalBytes;
	}

	/** Records a change of one share; called by the shares. */
	recordChange(bytes: number): void {
		this.#totalBytes += bytes;
		if (bytes > 0) {
			this.#closeWorst();
		}
	}

	/** Removes a share with all that it holds; called by the shares. */
	removeShare(share: ConnectionMemory, bytes: number): void {
		this.#shares.delete(share);
		this.#totalBytes -= bytes;
	}

	#closeWorst(): void {
		if (this.#isClosing || this.#totalBytes <= this.limits.totalBytes) {
			return;
		}

		// Closing a connection may change other shares; they are judged once it is done.
		this.#isClosing = true;
		const worst = [...this.#shares].reduce<ConnectionMemory | undefined>((most, share) => most === undefined || share.countBytes() > most.countBytes() ? share : most, undefined);
		if (worst) {
			this.#report(worst);
			worst.closeConnection();
		}

		this.#isClosing = false;
		this.#closeWorst();
	}

	#report(share: ConnectionMemory): void {
		const {metrics, logger} = this.#options;
		const now = performance.now();
		metrics.addCount('ingress_connections_closed_for_memory_total');
		this.#closedSinceLog++;
		if (now - this.#loggedAt >= logPeriodMs) {
			logger.log('callersClosed', {
				reason: 'memory', peer: share.getPeer(), closed: this.#closedSinceLog, held: share.countBytes(), total: this.#totalBytes, limit: this.limits.totalBytes,
			});
			this.#loggedAt = now;
			this.#closedSinceLog = 0;
		}
	}
}
