/** Tells whether a backend server's process has outlived a moment, from its connections: a crash ends all of them. */
import {createConnection, type Socket} from 'node:net';
import {setImmediate as waitForPoll, setTimeout as wait} from 'node:timers/promises';
import {type Address} from '@limpetbarrow/core';
import {type EndEvidence, type EndReason} from './end-evidence.js';

/** Where the process listens, and whether requests to it are in progress. */
export type CrashDetectorOptions = {
	readonly address: Address;
	readonly isInUse: () => boolean;
};

/**
 * Time for which the connections must stay open after the end of a response, in milliseconds. The ends of a crashed process
 * don't arrive at the same time: a listener may close after the connections, and a relay passes an end on later.
 */
const observationMs = 100;
/** Longest time for which a connection may take to be established, in milliseconds. */
const connectTimeoutMs = 1000;
/** Time after which the spare connection is opened again while requests are in progress, in milliseconds. */
const spareRetryMs = 200;

/** Waits until all events that the operating system had ready when this was called have been handled. */
async function waitForReadyEvents(): Promise<void> {
	// A part of a response and the end behind it may take two polls.
	await waitForPoll();
	await waitForPoll();
}

/**
 * Follows the connections to one process. Besides those of requests it keeps a spare one open while the process is in use, so
 * that there is one at the end of each response that was established before.
 */
export class CrashDetector {
	readonly #options: CrashDetectorOptions;
	/** Open connections whose establishment is known to precede every end that is read from now on. */
	readonly #earlierConnections = new Set<Socket>();
	#spare: Socket | undefined;
	#pendingJudgements = 0;
	#isClosed = false;

	constructor(options: CrashDetectorOptions) {
		this.#options = options;
	}

	/** Follows an established connection to the process. */
	registerConnection(socket: Socket): void {
		const forget = (): void => {
			this.#earlierConnections.delete(socket);
		};

		socket.once('end', forget);
		socket.once('close', forget);
		void waitForReadyEvents().then(() => {
			if (!socket.destroyed && !socket.readableEnded) {
				this.#earlierConnections.add(socket);
			}
		});
	}

	/** Opens the spare connection unless it is open. */
	openSpare(): void {
		if (this.#spare === undefined && !this.#isClosed) {
			this.#setSpare(this.#connect());
		}
	}

	/**
	 * Judges whether the process has outlived the end of a response that was read just now. Its earlier connections must stay
	 * open, and a new one must be accepted and stay open as well: an earlier one may have gone silent, and a new one may belong
	 * to another process.
	 */
	async judgeEnd(): Promise<EndEvidence> {
		this.#pendingJudgements++;
		const earlier = [...this.#earlierConnections];
		const newConnection = this.#connect();
		await this.#waitForObservation(newConnection);
		await waitForReadyEvents();
		const reason = this.#findReason(earlier, newConnection);
		this.#pendingJudgements--;
		if (this.#spare === undefined && !this.#isClosed && !newConnection.destroyed) {
			this.#setSpare(newConnection);
		} else {
			newConnection.destroy();
		}

		this.#closeSpareIfDone();
		return {isProven: reason === 'connectionsOpen', reason};
	}

	/** Closes the spare connection once the judgements in progress are done. */
	close(): void {
		this.#isClosed = true;
		this.#closeSpareIfDone();
	}

	/** Waits for the time of the observation, or until the new connection has ended. */
	async #waitForObservation(newConnection: Socket): Promise<void> {
		const timer = new AbortController();
		newConnection.once('close', () => {
			timer.abort();
		});
		await wait(observationMs, undefined, {signal: timer.signal}).catch(() => undefined);
	}

	#findReason(earlier: readonly Socket[], newConnection: Socket): EndReason {
		if (newConnection.destroyed || newConnection.readableEnded) {
			return 'newConnectionEnded';
		}

		if (newConnection.connecting) {
			return 'newConnectionUnanswered';
		}

		if (earlier.length === 0) {
			return 'noEarlierConnection';
		}

		return earlier.some(socket => this.#earlierConnections.has(socket)) ? 'connectionsOpen' : 'earlierConnectionsEnded';
	}

	#connect(): Socket {
		const socket = createConnection({...this.#options.address, timeout: connectTimeoutMs});
		socket.once('timeout', () => {
			if (socket.connecting) {
				socket.destroy();
			}
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.once('connect', () => {
			this.registerConnection(socket);
		});
		// The end of a connection is only read when its data is.
		socket.resume();
		socket.unref();
		return socket;
	}

	#setSpare(socket: Socket): void {
		this.#spare = socket;
		socket.once('close', () => {
			this.#spare = undefined;
			setTimeout(() => {
				if (this.#options.isInUse()) {
					this.openSpare();
				}
			}, spareRetryMs).unref();
		});
	}

	#closeSpareIfDone(): void {
		if (this.#isClosed && this.#pendingJudgements === 0) {
			this.#spare?.destroy();
		}
	}
}
