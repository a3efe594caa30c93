/** Bounds the number of connections of a server, so that descriptors are left for the store, the links and the backend server. */
import {type Logger, type MetricRegistry} from '@limpetbarrow/core';

/** A connection that the limit may close. */
export type LimitedConnection = {
	/** True while a request of the connection is in progress, and the other side reads what is sent. */
	readonly isBusy: () => boolean;
	readonly close: () => void;
	/** Address and port of the other side. */
	readonly getPeer: () => string;
};

/** Dependencies of a limit. */
export type ConnectionLimitOptions = {
	/** Name of the server in metrics and logs. */
	readonly name: string;
	readonly maxConnections: number;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
};

/** Time between two log lines about closed connections, in milliseconds. */
const logPeriodMs = 1000;

/** Closes the connection that has been idle for longest when another one arrives at the limit. */
export class ConnectionLimit {
	readonly #options: ConnectionLimitOptions;
	/** Open connections; those that were active last are at the end. */
	readonly #connections = new Set<LimitedConnection>();
	#loggedAt = Number.NEGATIVE_INFINITY;
	#closedSinceLog = 0;

	constructor(options: ConnectionLimitOptions) {
		this.#options = options;
		options.metrics.registerGauge(`${options.name}_connections`, () => this.#connections.size);
	}

	/** Adds a new connection. Returns false, adding nothing, if the limit is reached and no connection is idle. */
	add(connection: LimitedConnection): boolean {
		if (this.#connections.size >= this.#options.maxConnections && !this.#closeIdle()) {
			this.#report('refused', connection);
			return false;
		}

		this.#connections.add(connection);
		return true;
	}

	remove(connection: LimitedConnection): void {
		this.#connections.delete(connection);
	}

	/** Records that a connection has been active: others are closed before it. */
	recordActivity(connection: LimitedConnection): void {
		if (this.#connections.delete(connection)) {
			this.#connections.add(connection);
		}
	}

	#closeIdle(): boolean {
		const idle = [...this.#connections].find(connection => !connection.isBusy());
		if (!idle) {
			return false;
		}

		this.#connections.delete(idle);
		this.#report('idle', idle);
		idle.close();
		return true;
	}

	#report(reason: 'idle' | 'refused', connection: LimitedConnection): void {
		const {name, maxConnections, metrics, logger} = this.#options;
		const now = performance.now();
		metrics.addCount(`${name}_connections_closed_at_limit_total`, 1, {reason});
		this.#closedSinceLog++;
		if (now - this.#loggedAt >= logPeriodMs) {
			logger.log('callersClosed', {
				reason, server: name, peer: connection.getPeer(), closed: this.#closedSinceLog, limit: maxConnections,
			});
			this.#loggedAt = now;
			this.#closedSinceLog = 0;
		}
	}
}
