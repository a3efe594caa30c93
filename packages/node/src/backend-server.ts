/** One backend server behind this node: its slots, its queue and the connections to it. */
import {Pool, type Dispatcher} from 'undici';
import {
	createFailure, formatAddress, type Exchange, type ExchangeHandler, type Failure, type LoadHint, type RequestHead,
} from '@limpetbarrow/core';
import {type AnnouncedServer} from '@limpetbarrow/members';
import {type WorkOutcome} from '@limpetbarrow/detect';
import {createBackendConnector} from './backend-connector.js';
import {BackendRun} from './backend-run.js';
import {ServiceTime} from './service-time.js';

/** Called with what became of each request that the backend server ran. */
export type RecordOutcome = (outcome: WorkOutcome) => void;

/** Time for which an unused connection is kept when the backend server does not name a longer one, in milliseconds. */
const keepAliveMs = 1000;
const keepAliveMaxMs = 60_000;
/** Backend servers are on this node's own host. */
const connectTimeoutMs = 1000;
/** Time kept for the way back of a refusal, so that it arrives before the caller's deadline, in milliseconds. */
const refusalTripMs = 50;
/** Requests whose body is still arriving. */
const maxCollecting = 256;

/** Owns the slots of one backend server and alone decides whether a request ran. */
export class BackendServer {
	readonly #recordOutcome: RecordOutcome;
	readonly #collecting = new Set<BackendRun>();
	/** Waiting runs in order, each with the timer that refuses it when it can't meet its deadline any more. */
	readonly #queue = new Map<BackendRun, NodeJS.Timeout>();
	readonly #serviceTime = new ServiceTime();
	#server: AnnouncedServer;
	#pool: Dispatcher;
	#running = 0;

	constructor(server: AnnouncedServer, recordOutcome: RecordOutcome) {
		this.#server = server;
		this.#recordOutcome = recordOutcome;
		this.#pool = this.#createPool();
	}

	/** Runs a request now or when a slot is free, or refuses it with "not run". */
	openExchange(head: RequestHead, handler: ExchangeHandler, queueLimit: number): Exchange {
		const run = new BackendRun(head, handler, {
			getLoad: () => this.getLoad(),
			handleReady: ready => {
				this.#collecting.delete(ready);
				this.#admit(ready, queueLimit);
			},
			handleForgotten: forgotten => {
				this.#forget(forgotten);
			},
			handleDone: (outcome, failure) => {
				this.#handleDone(outcome, failure);
			},
		});
		if (run.isReady()) {
			this.#admit(run, queueLimit);
		} else if (this.#collecting.size < maxCollecting) {
			this.#collecting.add(run);
		} else {
			run.refuse(this.#createQueueFull());
		}

		return run;
	}

	getLoad(): LoadHint {
		return {serverId: this.#server.id, freeSlots: this.#countSlots() - this.#running, queued: this.#queue.size};
	}

	/** Requests running, waiting, or whose body is arriving. */
	countRequests(): number {
		return this.#running + this.#queue.size + this.#collecting.size;
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
		[...this.#queue.keys(), ...this.#collecting].forEach(run => {
			this.#forget(run);
			run.refuse(createFailure('serverNotHere', `server ${this.#server.id}`));
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

	#admit(run: BackendRun, queueLimit: number): void {
		if (this.#running < this.#countSlots() && this.#queue.size === 0) {
			this.#start(run);
		} else if (this.#queue.size >= queueLimit) {
			run.refuse(this.#createQueueFull());
		} else {
			this.#enqueue(run);
		}
	}

	#enqueue(run: BackendRun): void {
		const expectedMs = this.#serviceTime.getExpectedMs();
		const remainingMs = run.getRemainingMs();
		const latestMs = remainingMs - Math.max(expectedMs, Math.min(refusalTripMs, remainingMs / 4));
		if (latestMs <= this.#estimateWaitMs()) {
			run.refuse(createFailure('queueDeadline', `server ${this.#server.id}`, this.#estimateWaitMs()));
			return;
		}

		this.#queue.set(run, setTimeout(() => {
			this.#queue.delete(run);
			run.refuse(createFailure('queueDeadline', `server ${this.#server.id}`));
		}, latestMs));
	}

	/** Time until a run that is enqueued now would be started. */
	#estimateWaitMs(): number {
		return this.#serviceTime.getExpectedMs() * (this.#queue.size + 1) / this.#countSlots();
	}

	#createQueueFull(): Failure {
		return createFailure('queueFull', `server ${this.#server.id}`, Math.ceil(this.#estimateWaitMs()));
	}

	#forget(run: BackendRun): void {
		clearTimeout(this.#queue.get(run));
		this.#queue.delete(run);
		this.#collecting.delete(run);
	}

	#start(run: BackendRun): void {
		this.#running++;
		run.start(this.#pool);
	}

	#handleDone(outcome: WorkOutcome | undefined, failure: Failure | undefined): void {
		this.#running--;
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
		if (!next || this.#running >= this.#countSlots()) {
			return;
		}

		this.#forget(next);
		this.#start(next);
		this.#startNext();
	}
}
