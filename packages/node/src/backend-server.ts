/** One backend server behind this node: its slots, its queue and the connections to it. */
import {Pool, type Dispatcher} from 'undici';
import {
	createFailure, formatAddress, type Exchange, type ExchangeHandler, type Failure, type LoadHint, type RequestHead,
} from '@limpetbarrow/core';
import {type AnnouncedServer} from '@limpetbarrow/members';
import {type WorkOutcome} from '@limpetbarrow/detect';
import {createBackendConnector} from './backend-connector.js';
import {BackendExchange} from './backend-exchange.js';
import {ServiceTimeAverage} from './service-time-average.js';

/** Called with what became of each request that the backend server ran. */
export type RecordOutcome = (outcome: WorkOutcome) => void;

/** Time for which an unused connection is kept when the backend server does not name a longer one, in milliseconds. */
const keepAliveMs = 1000;
const keepAliveMaxMs = 60_000;
/** Backend servers are on this node's own host. */
const connectTimeoutMs = 1000;
/** Time kept for the way back of a refusal, so that it arrives before the caller's deadline, in milliseconds. */
const refusalDeliveryMs = 50;
/** Requests whose body is still arriving. */
const maxCollectingBodies = 256;

/** Owns the slots of one backend server and alone decides whether a request ran. */
export class BackendServer {
	readonly #recordOutcome: RecordOutcome;
	readonly #collectingBodies = new Set<BackendExchange>();
	/** Waiting runs in order, each with the timer that refuses it when it can't meet its deadline any more. */
	readonly #queue = new Map<BackendExchange, NodeJS.Timeout>();
	readonly #serviceTime = new ServiceTimeAverage();
	#server: AnnouncedServer;
	#pool: Dispatcher;
	#runningCount = 0;

	constructor(server: AnnouncedServer, recordOutcome: RecordOutcome) {
		this.#server = server;
		this.#recordOutcome = recordOutcome;
		this.#pool = this.#createPool();
	}

	/** Runs a request now or when a slot is free, or refuses it with "not run". */
	openExchange(head: RequestHead, handler: ExchangeHandler, queueLimit: number): Exchange {
		const exchange = new BackendExchange(head, handler, {
			getLoad: () => this.getLoad(),
			handleBodyCollected: collected => {
				this.#collectingBodies.delete(collected);
				this.#admit(collected, queueLimit);
			},
			handleCancelled: cancelled => {
				this.#remove(cancelled);
			},
			handleFinished: (outcome, failure) => {
				this.#handleExchangeEnd(outcome, failure);
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
		return {serverId: this.#server.id, freeSlots: this.#countSlots() - this.#runningCount, queued: this.#queue.size};
	}

	/** Requests running, waiting, or whose body is arriving. */
	countRequests(): number {
		return this.#runningCount + this.#queue.size + this.#collectingBodies.size;
	}

	/** Takes the slots and connections of a newer announcement from the same address. */
	applyAnnouncement(server: AnnouncedServer): void {
		const slotsBefore = this.#countSlots();
		this.#server = server;
		if (this.#countSlots() !== slotsBefore) {
			this.#replacePool();
		}

		this.#startNext();
	}

	/** Refuses what waits, and closes once what runs is over. */
	async drain(): Promise<void> {
		this.#refuseWaiting();
		await this.#pool.close();
	}

	/** Closes at once; what runs breaks off. */
	async close(): Promise<void> {
		this.#refuseWaiting();
		await this.#pool.destroy();
	}

	#refuseWaiting(): void {
		[...this.#queue.keys(), ...this.#collectingBodies].forEach(exchange => {
			this.#remove(exchange);
			exchange.refuse(createFailure('serverNotHere', `server ${this.#server.id}`));
		});
	}

	#createPool(): Pool {
		return new Pool(`http://${formatAddress(this.#server.address)}`, {
			connections: this.#countSlots(), pipelining: 1, keepAliveTimeout: keepAliveMs, keepAliveMaxTimeout: keepAliveMaxMs, connect: createBackendConnector(connectTimeoutMs),
		});
	}

	/** Each run has a connection of its own, so the announced connections bound the runs too. */
	#countSlots(): number {
		return Math.max(1, Math.min(this.#server.slots, this.#server.maxConnections));
	}

	#admit(exchange: BackendExchange, queueLimit: number): void {
		if (this.#runningCount < this.#countSlots() && this.#queue.size === 0) {
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
			exchange.refuse(createFailure('queueDeadline', `server ${this.#server.id}`, this.#estimateWaitMs()));
			return;
		}

		this.#queue.set(exchange, setTimeout(() => {
			this.#queue.delete(exchange);
			exchange.refuse(createFailure('queueDeadline', `server ${this.#server.id}`));
		}, maxWaitMs));
	}

	/** Time until a run that is enqueued now would be started. */
	#estimateWaitMs(): number {
		return this.#serviceTime.getExpectedMs() * (this.#queue.size + 1) / this.#countSlots();
	}

	#createQueueFullFailure(): Failure {
		return createFailure('queueFull', `server ${this.#server.id}`, Math.ceil(this.#estimateWaitMs()));
	}

	#remove(exchange: BackendExchange): void {
		clearTimeout(this.#queue.get(exchange));
		this.#queue.delete(exchange);
		this.#collectingBodies.delete(exchange);
	}

	#start(exchange: BackendExchange): void {
		this.#runningCount++;
		exchange.start(this.#pool);
	}

	#handleExchangeEnd(outcome: WorkOutcome | undefined, failure: Failure | undefined): void {
		this.#runningCount--;
		if (failure?.name === 'serverTimeout') {
			this.#replacePool();
		}

		if (outcome) {
			if (outcome.kind !== 'cancelled') {
				this.#serviceTime.record(outcome.durationMs);
			}

			this.#recordOutcome(outcome);
		}

		this.#startNext();
	}

	/** A connection may have gone silent, and the unused ones with it: new runs get new ones. */
	#replacePool(): void {
		void this.#pool.close();
		this.#pool = this.#createPool();
	}

	#startNext(): void {
		const [next] = this.#queue.keys();
		if (!next || this.#runningCount >= this.#countSlots()) {
			return;
		}

		this.#remove(next);
		this.#start(next);
		this.#startNext();
	}
}
