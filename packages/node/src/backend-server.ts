/** One backend server behind this node: its slots, its queue and the connections to it. */
import {Pool, type Dispatcher} from 'undici';
import {
	createFailure, Exchange, formatAddress, type ExchangeHandler, type LoadHint, type RequestHead,
} from '@limpetbarrow/core';
import {type AnnouncedServer} from '@limpetbarrow/members';
import {type WorkOutcome} from '@limpetbarrow/detect';
import {BackendRun} from './backend-run.js';

/** Called with what became of each request that the backend server ran. */
export type RecordOutcome = (outcome: WorkOutcome) => void;

type QueuedRun = {
	readonly run: BackendRun;
	/** Monotonic time, in milliseconds. */
	readonly deadline: number;
};

class QueuedExchange extends Exchange {
	readonly #run: BackendRun;

	constructor(run: BackendRun) {
		super();
		this.#run = run;
	}

	override writeBody(chunk: Uint8Array): void {
		this.#run.writeBody(chunk);
	}

	override endBody(): void {
		this.#run.endBody();
	}

	override grantCredit(bytes: number): void {
		this.#run.grantCredit(bytes);
	}

	override cancel(): void {
		this.#run.cancel();
	}
}

/** Owns the slots of one backend server and alone decides whether a request ran. */
export class BackendServer {
	readonly #server: AnnouncedServer;
	readonly #pool: Dispatcher;
	readonly #recordOutcome: RecordOutcome;
	#queue: readonly QueuedRun[] = [];
	#running = 0;

	constructor(server: AnnouncedServer, recordOutcome: RecordOutcome) {
		this.#server = server;
		this.#recordOutcome = recordOutcome;
		this.#pool = new Pool(`http://${formatAddress(server.address)}`, {connections: server.slots, pipelining: 1});
	}

	/** Runs a request now or when a slot is free, or refuses it with "not run". */
	openExchange(head: RequestHead, handler: ExchangeHandler, queueLimit: number): Exchange {
		const run = new BackendRun(this.#pool, head, handler, {
			getLoad: () => this.getLoad(),
			handleDone: outcome => {
				this.#handleDone(outcome);
			},
		});
		if (this.#running < this.#server.slots) {
			this.#start(run);
		} else if (this.#queue.length < queueLimit) {
			this.#enqueue(run, head.remainingMs);
		} else {
			run.refuse(createFailure('queueFull', `server ${this.#server.id}`));
		}

		return new QueuedExchange(run);
	}

	getLoad(): LoadHint {
		return {serverId: this.#server.id, freeSlots: this.#server.slots - this.#running, queued: this.#queue.length};
	}

	/** Requests running or waiting. */
	countRequests(): number {
		return this.#running + this.#queue.length;
	}

	/** Refuses what waits, lets what runs finish, then closes the connections. */
	async drain(): Promise<void> {
		const waiting = this.#queue;
		this.#queue = [];
		waiting.filter(({run}) => !run.isOver()).forEach(({run}) => {
			run.refuse(createFailure('serverNotHere', `server ${this.#server.id}`));
		});
		await this.#pool.close();
	}

	/** Breaks off what runs. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	#enqueue(run: BackendRun, remainingMs: number): void {
		this.#queue = [...this.#queue, {run, deadline: performance.now() + remainingMs}];
	}

	#start(run: BackendRun): void {
		this.#running++;
		run.start();
	}

	#handleDone(outcome: WorkOutcome | undefined): void {
		this.#running--;
		if (outcome) {
			this.#recordOutcome(outcome);
		}

		this.#startNext();
	}

	#startNext(): void {
		const [next, ...rest] = this.#queue;
		if (!next || this.#running >= this.#server.slots) {
			return;
		}

		this.#queue = rest;
		if (next.run.isOver()) {
			this.#startNext();
		} else if (next.deadline <= performance.now()) {
			next.run.refuse(createFailure('queueDeadline', `server ${this.#server.id}`));
			this.#startNext();
		} else {
			this.#start(next.run);
		}
	}
}
