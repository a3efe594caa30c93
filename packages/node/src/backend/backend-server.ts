/** One backend server of this node: its slots, its queue and its connections. */
import {type Dispatcher, type Pool} from 'undici';
import {
	createFailure, type Exchange, type ExchangeHandler, type Failure, type LoadHint, type RequestHead,
} from '@limpetbarrow/core';
import {type AnnouncedServer} from '@limpetbarrow/members';
import {type WorkOutcome} from '@limpetbarrow/detect';
import {BackendExchange} from './backend-exchange.js';
import {CrashDetector} from './crash-detector.js';
import {type ExcessBytes} from './connection-requests.js';
import {type EndEvidence} from './end-evidence.js';
import {createServerPool} from './server-pool.js';
import {ServiceTimeAverage} from './service-time-average.js';

/** Receives what the backend server shows of itself. */
export type BackendServerReporter = {
	/** Called with the outcome of each request that was sent to the backend server. */
	readonly recordOutcome: (outcome: WorkOutcome) => void;
	/** Called when the backend server sent bytes beyond the end of a response. */
	readonly reportExcess: (excess: ExcessBytes) => void;
	/** Called with what was found at the end of each response without a length. */
	readonly reportEnd: (requestId: string, evidence: EndEvidence) => void;
};

/** Time for which an idle connection is kept unless the backend server asks for a longer time, in milliseconds. */
const keepAliveMs = 1000;
/** Longest idle time that a backend server may ask for, in milliseconds. */
const keepAliveMaxMs = 60_000;
/** Time reserved for returning a refusal, so that it reaches the caller before its deadline, in milliseconds. */
const refusalDeliveryMs = 50;
/** Largest number of requests whose bodies are being collected. */
const maxCollectingBodies = 256;

/** Manages the slots of one backend server. No other object starts requests on it or decides whether a request ran. */
export class BackendServer {
	readonly #reporter: BackendServerReporter;
	readonly #collectingBodies = new Set<BackendExchange>();
	/** Waiting exchanges in order, each with the timer that refuses it once it can no longer meet its deadline. */
	readonly #queue = new Map<BackendExchange, NodeJS.Timeout>();
	readonly #serviceTime = new ServiceTimeAverage();
	#server: AnnouncedServer;
	#pool: Dispatcher;
	readonly #running = new Set<BackendExchange>();
	/** Exchanges whose response has ended and is not known to be complete yet; they hold no slot. */
	readonly #judged = new Set<BackendExchange>();
	readonly #crashDetector: CrashDetector;

	constructor(server: AnnouncedServer, reporter: BackendServerReporter) {
		this.#server = server;
		this.#reporter = reporter;
		this.#crashDetector = new CrashDetector({address: server.address, isInUse: () => this.#running.size > 0});
		this.#pool = this.#createPool();
	}

	/**
	 * Starts a request now, queues it until a slot is free, or refuses it as "not run". `queueLimit` is the largest number
	 * of waiting requests.
	 */
	openExchange(head: RequestHead, handler: ExchangeHandler, queueLimit: number): Exchange {
		const exchange: BackendExchange = new BackendExchange(head, handler, {
			getLoad: () => this.getLoad(),
			handleServerDone: () => {
				this.#handleServerDone(exchange);
			},
			judgeEnd: async () => this.#crashDetector.judgeEnd(),
			handleExcess: this.#reporter.reportExcess,
			reportEnd: this.#reporter.reportEnd,
			handleBodyCollected: collected => {
				this.#collectingBodies.delete(collected);
				this.#admit(collected, queueLimit);
			},
			handleCancelled: cancelled => {
				this.#remove(cancelled);
			},
			handleFinished: (outcome, failure) => {
				this.#handleExchangeEnd(exchange, outcome, failure);
			},
		});
		if (exchange.isStartableWithoutBody()) {
			this.#admit(exchange, queueLimit);
		} else if (this.#collectingBodies.size < maxCollectingBodies) {
			this.#collectingBodies.add(exchange);
		} else {
			exchange.refuse(this.#createQueueFullFailure());
		}

		return exchange;
	}

	getLoad(): LoadHint {
		return {serverId: this.#server.id, freeSlots: this.#countSlots() - this.#running.size, queued: this.#queue.size};
	}

	/** Number of requests that are running, waiting, or collecting their body, and of responses whose end is being judged. */
	countRequests(): number {
		return this.#running.size + this.#judged.size + this.#queue.size + this.#collectingBodies.size;
	}

	/** Applies the slots and connections of a newer announcement from the same address. */
	applyAnnouncement(server: AnnouncedServer): void {
		const slotsBefore = this.#countSlots();
		this.#server = server;
		if (this.#countSlots() !== slotsBefore) {
			this.#replacePool();
		}

		this.#startNext();
	}

	/** Refuses waiting requests, and closes the connections once the running requests have ended. */
	async drain(): Promise<void> {
		this.#refuseWaiting();
		await this.#pool.close();
		this.#crashDetector.close();
	}

	/** Refuses waiting requests, and closes the connections at once, which aborts running requests. */
	async close(): Promise<void> {
		this.#refuseWaiting();
		this.#crashDetector.close();
		await this.#pool.destroy();
	}

	#refuseWaiting(): void {
		[...this.#queue.keys(), ...this.#collectingBodies].forEach(exchange => {
			this.#remove(exchange);
			exchange.refuse(createFailure('serverNotHere', `backend server ${this.#server.id} is no longer served by this node`));
		});
	}

	#createPool(): Pool {
		return createServerPool({
			address: this.#server.address,
			connections: this.#countSlots(),
			keepAliveMs,
			keepAliveMaxMs,
			handleEnd: () => {
				this.#resumeReading();
			},
			handleConnection: socket => {
				this.#crashDetector.registerConnection(socket);
			},
			handleExcess: this.#reporter.reportExcess,
		});
	}

	/** Each exchange has its own connection, so the announced number of connections also limits the slots. */
	#countSlots(): number {
		return Math.max(1, Math.min(this.#server.slots, this.#server.maxConnections));
	}

	#admit(exchange: BackendExchange, queueLimit: number): void {
		if (this.#running.size < this.#countSlots() && this.#queue.size === 0) {
			this.#start(exchange);
		} else if (this.#queue.size >= queueLimit) {
			exchange.refuse(this.#createQueueFullFailure());
		} else {
			this.#enqueue(exchange);
		}
	}

	#enqueue(exchange: BackendExchange): void {
		const expectedMs = this.#serviceTime.getExpectedMs();
		const remainingMs = exchange.getRemainingMs();
		const maxWaitMs = remainingMs - Math.max(expectedMs, Math.min(refusalDeliveryMs, remainingMs / 4));
		if (maxWaitMs <= this.#estimateWaitMs()) {
			exchange.refuse(createFailure('queueDeadline', `the wait at backend server ${this.#server.id} would exceed the deadline`, this.#estimateWaitMs()));
			return;
		}

		this.#queue.set(exchange, setTimeout(() => {
			this.#queue.delete(exchange);
			exchange.refuse(createFailure('queueDeadline', `no slot of backend server ${this.#server.id} was free in time`));
		}, maxWaitMs));
	}

	/** Time until an exchange that is enqueued now would start, in milliseconds. */
	#estimateWaitMs(): number {
		return this.#serviceTime.getExpectedMs() * (this.#queue.size + 1) / this.#countSlots();
	}

	#createQueueFullFailure(): Failure {
		return createFailure('queueFull', `too many requests wait at backend server ${this.#server.id}`, Math.ceil(this.#estimateWaitMs()));
	}

	#remove(exchange: BackendExchange): void {
		clearTimeout(this.#queue.get(exchange));
		this.#queue.delete(exchange);
		this.#collectingBodies.delete(exchange);
	}

	#start(exchange: BackendExchange): void {
		this.#running.add(exchange);
		this.#crashDetector.openSpare();
		exchange.start(this.#pool);
	}

	#handleServerDone(exchange: BackendExchange): void {
		this.#running.delete(exchange);
		this.#judged.add(exchange);
		this.#startNext();
	}

	#handleExchangeEnd(exchange: BackendExchange, outcome: WorkOutcome | undefined, failure: Failure | undefined): void {
		this.#running.delete(exchange);
		this.#judged.delete(exchange);
		if (failure?.name === 'serverTimeout') {
			this.#replacePool();
		}

		if (outcome) {
			if (outcome.kind !== 'cancelled') {
				this.#serviceTime.record(outcome.durationMs);
			}

			this.#reporter.recordOutcome(outcome);
		}

		this.#startNext();
	}

	/**
	 * Opens a new pool for new exchanges after a timeout or a change of slots. After a timeout the connection may be dead
	 * without having been closed, and the idle connections with it.
	 */
	#replacePool(): void {
		void this.#pool.close();
		this.#pool = this.#createPool();
	}

	#resumeReading(): void {
		this.#running.forEach(exchange => {
			exchange.resumeReading();
		});
	}

	#startNext(): void {
		const [next] = this.#queue.keys();
		if (!next || this.#running.size >= this.#countSlots()) {
			return;
		}

		this.#remove(next);
		this.#start(next);
		this.#startNext();
	}
}
