/** One backend server behind this node's gate: its slots, its queue by priority, and the connections to it. */
import {Pool, type Dispatcher} from 'undici';
import {
	createFailure, formatAddress, type Exchange, type ExchangeHandler, type Failure, type LoadHint, type RequestHead, type ResultName,
} from '@limpetbarrow/core';
import {
	minOverdueMs, overdueFactor, AdmissionController, WaitQueue, type ServerLoad, type ServerOutcome, type AdmissionRequest, type RunningRequest, type QueuedRequest,
} from '@limpetbarrow/admission';
import {type AnnouncedServer} from '@limpetbarrow/members';
import {type RetryPolicy} from '@limpetbarrow/choose';
import {type WorkOutcome} from '@limpetbarrow/detect';
import {isAccepting} from './address-probe.js';
import {createBackendConnector} from './backend-connector.js';
import {BackendRun} from './backend-run.js';
import {type ServerProtocol} from './server-protocol.js';

/** What a gated server works with. */
export type GatedServerOptions = {
	readonly protocol: ServerProtocol;
	/** Budget of the retries that this backend server is sent. */
	readonly retries: RetryPolicy;
	/** Called when another backend server is found at the address. */
	readonly handleReplaced: () => void;
	/** Called when the gate's belief about the backend server has changed. */
	readonly reportHealth: (isUnwell: boolean, sickness: number) => void;
	/** Called when the backend server began to reject a large part of its work, or takes it again. */
	readonly reportShedding: (isShedding: boolean) => void;
	/** Called with each request that the backend server ran. */
	readonly reportRun: (head: RequestHead, run: RunReport) => void;
	/** Called with each request that was refused or failed here. */
	readonly reportFailure: (head: RequestHead, failure: Failure) => void;
};

/** How one run ended, for the log. */
export type RunReport = {
	readonly outcome: string;
	readonly ms: number;
	/** Probability that the backend server is sick, after this run. */
	readonly sickness: number;
};

type Started = RunningRequest & {
	readonly run: BackendRun;
	readonly head: RequestHead;
	readonly overdueTimer: NodeJS.Timeout;
};

type Reserved = RunningRequest & {
	readonly timer: NodeJS.Timeout;
};

type Pending = QueuedRequest & {
	readonly run: BackendRun;
	readonly head: RequestHead;
	readonly timer: NodeJS.Timeout;
};

/** Time for which an unused connection is kept for requests that may be sent again, in milliseconds. */
const repeatableKeepAliveMs = 4000;
/** The same for the others: a request on a connection that has gone meanwhile is lost, so these are kept for a moment only. */
const unrepeatableKeepAliveMs = 400;
/** Backend servers are on this node's own host. */
const connectTimeoutMs = 1000;
/** Rank of requests that name none. */
const lastPriority = 1000;
/** Failures that say something else of the backend server than that it loses work. */
const failureOutcomes: ReadonlyMap<ResultName | undefined, ServerOutcome> = new Map([['serverRefused', 'unreachable'], ['serverShed', 'shed']]);
/** Time for which a place is held for a request whose body does not end, in milliseconds. */
const reservationMs = 1000;

/** Owns the slots of one backend server and alone decides whether a request ran. */
export class GatedServer {
	readonly #options: GatedServerOptions;
	readonly #gate = new AdmissionController(performance.now());
	readonly #queue = new WaitQueue<Pending>();
	readonly #running = new Map<BackendRun, Started>();
	/** Requests that hold a place until their body has ended. */
	readonly #reserved = new Map<BackendRun, Reserved>();
	readonly #pools: {readonly repeatable: Pool; readonly unrepeatable: Pool};
	#server: AnnouncedServer;
	#wasUnwell = false;
	#wasShedding = false;

	constructor(server: AnnouncedServer, options: GatedServerOptions) {
		this.#options = options;
		this.#server = server;
		this.#pools = {repeatable: this.#createPool(repeatableKeepAliveMs), unrepeatable: this.#createPool(unrepeatableKeepAliveMs)};
		this.#gate.setCold(server.coldMs ?? 0, performance.now());
	}

	/** Holds a place for a request and runs it once its body has ended, or refuses it at once with "not run". */
	openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const run: BackendRun = new BackendRun(head, handler, {
			getLoad: () => this.getLoad(head.priority, head.route),
			handleReady() {
				// The place is held already.
			},
			checkServer: async () => isAccepting(this.#server.address),
			handleBodyEnd: ended => {
				this.#handleBodyEnd(ended, head);
			},
			handleForgotten: forgotten => {
				this.#forgetRun(forgotten);
			},
			handleDone: (outcome, failure) => {
				this.#handleDone(run, outcome, failure);
			},
		}, this.#options.protocol);
		this.#admit(run, head, handler);
		return run;
	}

	/** Load as a request of that rank and route would find it. */
	getLoad(priority = lastPriority, route = ''): LoadHint {
		const now = performance.now();
		return {
			serverId: this.#server.id,
			freeSlots: Math.max(0, this.#countSlots() - this.#running.size),
			queued: this.#queue.count(),
			waitMs: Math.round(this.#gate.estimateWait(this.#createLoad(priority), now)),
			workMs: Math.round(this.#gate.estimateWork(route, now)),
			isUnwell: this.#gate.isUnwell(now),
			...(this.#gate.isShedding(now) && {isShedding: true}),
		};
	}

	/** The request in progress at the backend server for which it makes a call of that id: the ids of calls begin with it. */
	findParent(requestId: string): RequestHead | undefined {
		return [...this.#running.values()].find(({head}) => requestId.length > head.requestId.length && requestId.startsWith(head.requestId))?.head;
	}

	/** Requests running, waiting, or whose body is arriving. */
	countRequests(): number {
		return this.#running.size + this.#queue.count() + this.#reserved.size;
	}

	/** Takes a newer announcement from the same address; what waits at one that leaves is refused. */
	applyAnnouncement(server: AnnouncedServer): void {
		this.#server = server;
		this.#gate.setCold(server.coldMs ?? 0, performance.now());
		if (server.isLeaving) {
			this.#refuseWaiting(createFailure('serverLeaving', `server ${server.id}`));
		} else {
			this.#startNext();
		}
	}

	/** Refuses what waits, and closes once what runs is over. */
	async drain(): Promise<void> {
		this.#refuseWaiting(createFailure('serverNotHere', `server ${this.#server.id}`));
		await Promise.all(this.#listPools().map(async pool => pool.close()));
	}

	/** Closes at once; what runs breaks off. */
	async close(): Promise<void> {
		this.#refuseWaiting(createFailure('serverNotHere', `server ${this.#server.id}`));
		await Promise.all(this.#listPools().map(async pool => pool.destroy()));
	}

	#listPools(): readonly Dispatcher[] {
		return Object.values(this.#pools);
	}

	#createPool(keepAliveMs: number): Pool {
		return new Pool(`http://${formatAddress(this.#server.address)}`, {
			connections: this.#countSlots(), pipelining: 1, keepAliveTimeout: keepAliveMs, keepAliveMaxTimeout: keepAliveMs, connect: createBackendConnector(connectTimeoutMs),
		});
	}

	#countSlots(): number {
		return Math.max(1, Math.min(this.#server.slots, this.#server.maxConnections));
	}

	#createLoad(priority: number): ServerLoad {
		return {
			slots: this.#countSlots(), running: [...this.#running.values(), ...this.#reserved.values()], ahead: this.#queue.selectAhead(priority), waitingCount: this.#queue.count(),
		};
	}

	#admit(run: BackendRun, head: RequestHead, handler: ExchangeHandler): void {
		const {priority = lastPriority, earlierAttempts = 0} = head;
		const remainingMs = run.getRemainingMs();
		const request = {
			route: head.route ?? '',
			priority,
			isRetryable: head.isRepeatable && earlierAttempts + 1 < (head.maxAttempts ?? 1),
			remainingMs,
			objectiveMs: head.objectiveMs ?? remainingMs,
			patienceMs: head.patienceMs ?? remainingMs,
			isLastResort: head.isLastResort ?? false,
			...(head.cause !== undefined && {cause: head.cause}),
		};
		const refusal = this.#findRefusal(request, earlierAttempts);
		if (refusal) {
			this.#refuse(run, head, refusal);
			return;
		}

		this.#reserve(run, head);
		queueMicrotask(() => {
			handler.handleAccepted?.();
		});
		if (run.isStreamed()) {
			this.#handleBodyEnd(run, head);
		}
	}

	#reserve(run: BackendRun, head: RequestHead): void {
		const startedAt = performance.now();
		this.#reserved.set(run, {
			startedAt,
			workMs: this.#gate.estimateWork(head.route ?? '', startedAt),
			timer: setTimeout(() => {
				this.#forgetRun(run);
				this.#refuse(run, head, createFailure('queueDeadline', `the body has not ended within ${reservationMs} ms`));
			}, reservationMs),
		});
	}

	#handleBodyEnd(run: BackendRun, head: RequestHead): void {
		const reserved = this.#reserved.get(run);
		if (!reserved) {
			return;
		}

		clearTimeout(reserved.timer);
		this.#reserved.delete(run);
		if (this.#running.size < this.#countSlots() && this.#queue.count() === 0) {
			this.#start(run, head);
		} else {
			this.#enqueue(run, head);
		}
	}

	#forgetRun(run: BackendRun): void {
		clearTimeout(this.#reserved.get(run)?.timer);
		this.#reserved.delete(run);
		this.#queue.list().filter(pending => pending.run === run).forEach(pending => {
			this.#forget(pending);
		});
	}

	/** A retry counts against the budget only when it is taken. */
	#findRefusal(request: AdmissionRequest & Pick<RequestHead, 'cause'>, earlierAttempts: number): Failure | undefined {
		if (this.#server.isLeaving) {
			return createFailure('serverLeaving', `server ${this.#server.id}`);
		}

		const now = performance.now();
		const refusal = this.#gate.findRefusal(request, this.#createLoad(request.priority), now);
		if (refusal) {
			return refusal;
		}

		if (earlierAttempts === 0) {
			this.#options.retries.recordRequest(request.cause);
			return undefined;
		}

		return this.#options.retries.takeRetry(false, now) ? undefined : createFailure('retriesSpent', `attempt ${earlierAttempts + 1}`);
	}

	#enqueue(run: BackendRun, head: RequestHead): void {
		const {priority = lastPriority} = head;
		const remainingMs = run.getRemainingMs();
		const now = performance.now();
		const workMs = this.#gate.estimateWork(head.route ?? '', now);
		const latestMs = this.#gate.computeMaxWait({route: head.route ?? '', patienceMs: head.patienceMs ?? remainingMs, remainingMs}, now);
		const pending: Pending = {
			run,
			head,
			priority,
			workMs,
			dueAt: now + (head.objectiveMs ?? remainingMs),
			latestStartAt: now + latestMs,
			timer: setTimeout(() => {
				this.#forget(pending);
				this.#refuse(run, head, createFailure('queueDeadline', `waited ${Math.round(latestMs)} ms`));
			}, latestMs),
		};
		this.#queue.add(pending);
	}

	#refuse(run: BackendRun, head: RequestHead, failure: Failure): void {
		this.#options.reportFailure(head, failure);
		run.refuse(failure);
	}

	#refuseWaiting(failure: Failure): void {
		this.#queue.list().forEach(pending => {
			this.#forget(pending);
			this.#refuse(pending.run, pending.head, failure);
		});
		[...this.#reserved.keys()].forEach(run => {
			this.#forgetRun(run);
			run.refuse(failure);
		});
	}

	#forget(pending: Pending): void {
		clearTimeout(pending.timer);
		this.#queue.remove(pending);
	}

	#start(run: BackendRun, head: RequestHead): void {
		const now = performance.now();
		const workMs = this.#gate.estimateWork(head.route ?? '', now);
		const overdueTimer = setTimeout(() => {
			this.#recordHealth('failed');
		}, Math.max(minOverdueMs, workMs * overdueFactor));
		this.#running.set(run, {
			run, head, startedAt: now, workMs, overdueTimer,
		});
		run.start(head.isRepeatable ? this.#pools.repeatable : this.#pools.unrepeatable);
	}

	#handleDone(run: BackendRun, outcome: WorkOutcome | undefined, failure: Failure | undefined): void {
		const started = this.#running.get(run);
		this.#running.delete(run);
		clearTimeout(started?.overdueTimer);
		if (started && failure) {
			this.#options.reportFailure(started.head, failure);
		}

		if (failure?.name === 'serverReplaced') {
			this.#options.handleReplaced();
		} else if (started && outcome) {
			this.#recordOutcome(started, outcome, failure);
			this.#options.reportRun(started.head, {outcome: outcome.kind, ms: Math.round(outcome.durationMs), sickness: this.#gate.estimateFailingProbability(performance.now())});
		}

		this.#startNext();
	}

	/** A request that was given up, or whose time was short, says nothing about the backend server. */
	#recordOutcome({head}: Started, {kind, durationMs}: WorkOutcome, failure: Failure | undefined): void {
		if (kind === 'answered') {
			this.#gate.recordWork(head.route ?? '', durationMs);
			this.#recordHealth('well');
		} else if (kind === 'failed') {
			this.#recordHealth(failureOutcomes.get(failure?.name) ?? 'failed');
		}
	}

	#recordHealth(outcome: ServerOutcome): void {
		const now = performance.now();
		this.#gate.recordOutcome(outcome, now);
		const isUnwell = this.#gate.isUnwell(now);
		if (isUnwell !== this.#wasUnwell) {
			this.#wasUnwell = isUnwell;
			this.#options.reportHealth(isUnwell, this.#gate.estimateFailingProbability(now));
		}

		const isShedding = this.#gate.isShedding(now);
		if (isShedding !== this.#wasShedding) {
			this.#wasShedding = isShedding;
			this.#options.reportShedding(isShedding);
		}
	}

	#startNext(): void {
		const now = performance.now();
		this.#queue.removeExpired(now).forEach(pending => {
			this.#forget(pending);
			this.#refuse(pending.run, pending.head, createFailure('queueDeadline', 'no time is left for the work'));
		});
		if (this.#queue.count() === 0 || this.#running.size >= this.#countSlots()) {
			return;
		}

		const next = this.#queue.takeNext()!;
		this.#forget(next);
		this.#start(next.run, next.head);
		this.#startNext();
	}
}
