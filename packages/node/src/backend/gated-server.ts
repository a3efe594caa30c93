/** One backend server behind an admission gate: its slots, its priority queue and its connections. */
import {
	createFailure, type Exchange, type ExchangeHandler, type Failure, type LoadHint, type RequestHead,
} from '@limpetbarrow/core';
import {
	maxQueuedRequests, minOverdueMs, overdueFactor, AdmissionController, WaitQueue, type AdmissionRequest, type ServerLoad,
} from '@limpetbarrow/admission';
import {type AnnouncedServer} from '@limpetbarrow/members';
import {type WorkOutcome} from '@limpetbarrow/detect';
import {BackendExchange} from './backend-exchange.js';
import {CrashDetector} from './crash-detector.js';
import {EarlyStarts, type SelectedLoad} from './early-starts.js';
import {ServerCalls} from './server-calls.js';
import {ServerConnections} from './server-connections.js';
import {type QueuedExchange, type SlotReservation} from './gated-exchanges.js';
import {
	createAdmissionRequest, createNewRequest, defaultPriority, isRetryable, type LoadedHead,
} from './gated-requests.js';
import {type GatedServerOptions} from './gated-server-options.js';
import {ServerOutcomes} from './server-outcomes.js';
import {StartedExchanges} from './started-exchanges.js';
import {ServerLimit} from './server-limit.js';

/** Longest time for which a slot is reserved for a request whose body has not ended, in milliseconds. */
const reservationTimeoutMs = 1000;

/** Manages the slots of one backend server. No other object starts requests on it or decides whether a request ran. */
export class GatedServer {
	readonly calls: ServerCalls;
	readonly #options: GatedServerOptions;
	readonly #gate = new AdmissionController(performance.now());
	readonly #outcomes: ServerOutcomes;
	readonly #queue = new WaitQueue<QueuedExchange>();
	readonly #earlyStarts = new EarlyStarts(this.#queue, this.#gate);
	readonly #started = new StartedExchanges();
	/** Reservations of the requests whose body has not ended. */
	readonly #reservations = new Map<BackendExchange, SlotReservation>();
	readonly #connections: ServerConnections;
	readonly #crashDetector: CrashDetector;
	readonly #limit: ServerLimit;
	#limitTimer: NodeJS.Timeout | undefined;
	#announcement: AnnouncedServer;

	constructor(server: AnnouncedServer, options: GatedServerOptions) {
		this.#options = options;
		this.#announcement = server;
		this.#limit = new ServerLimit(options.reportLimit);
		this.#outcomes = new ServerOutcomes(this.#gate, options);
		this.calls = new ServerCalls(this.#started, this.#outcomes.calls);
		this.#crashDetector = new CrashDetector({address: server.address, isInUse: () => this.#started.countRunning() > 0});
		this.#connections = new ServerConnections({
			address: server.address,
			connections: this.#countSlots(),
			handleEnd: () => {
				this.#started.listRunning().forEach(({exchange}) => {
					exchange.resumeReading();
				});
			},
			handleConnection: socket => {
				this.#crashDetector.registerConnection(socket);
			},
			handleExcess: options.reportExcess,
		});
		this.#gate.setCold(server.coldMs ?? 0, performance.now());
	}

	/**
	 * Reserves a slot for a request, or refuses it at once as "not run". An admitted request is started or queued once its
	 * body has ended; one with a streamed body, at once.
	 */
	openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const exchange: BackendExchange = new BackendExchange(head, handler, {
			getLoad: () => this.getLoad({...head, organisation: head.organisation === '' ? '' : undefined}),
			handleBodyCollected() {
				// The request is admitted before its body arrives; `handleBodyEnd` starts or queues it.
			},
			handleServerDone: () => {
				this.#started.releaseSlot(exchange);
				this.#startNext();
			},
			judgeEnd: async () => this.#crashDetector.judgeEnd(),
			handleBodyEnd: ended => {
				this.#handleBodyEnd(ended, head);
			},
			handleLimit: limit => {
				this.#limit.applyNamedLimit(limit);
			},
			handleLeaving: this.#options.handleLeaving,
			handleExcess: this.#options.reportExcess,
			reportEnd: this.#options.reportEnd,
			handleCancelled: cancelled => {
				this.#removeExchange(cancelled);
			},
			handleFinished: (outcome, failure) => {
				this.#handleExchangeEnd(exchange, outcome, failure);
			},
		}, this.#options.protocol);
		this.#admit(exchange, head, handler);
		return exchange;
	}

	/**
	 * Load that such a request would meet; without `organisation`, one of an organisation that has no requests here. Other
	 * nodes get the latter with the responses to requests of organisations, and use it for those of any organisation: an
	 * organisation with a backlog is told of its own wait when a request of it is refused.
	 */
	getLoad(head: LoadedHead): LoadHint {
		const now = performance.now();
		return {
			serverId: this.#announcement.id,
			freeSlots: Math.max(0, this.#countSlots() - this.#started.countRunning()),
			queued: this.#queue.count(),
			waitMs: Math.round(this.#gate.estimateWait(this.#createLoad({...head, earlierAttempts: 0, cause: undefined}), now)),
			workMs: Math.round(this.#gate.estimateWork(head.route ?? '', now)),
			isUnwell: this.#gate.isUnwell(now),
			...(this.#gate.isShedding(now) && {isShedding: true}),
			...this.#limit.createHint(),
		};
	}

	/** Number of requests that are running, waiting, or whose body is arriving, and of responses whose end is being judged. */
	countRequests(): number {
		return this.#started.count() + this.#queue.count() + this.#reservations.size;
	}

	/** Applies a newer announcement from the same address; waiting requests are refused if the backend server is leaving. */
	applyAnnouncement(server: AnnouncedServer): void {
		this.#announcement = server;
		this.#gate.setCold(server.coldMs ?? 0, performance.now());
		if (server.isLeaving) {
			this.#refuseWaiting(createFailure('serverLeaving', `backend server ${server.id} is leaving`));
		} else {
			this.#startNext();
		}
	}

	/** Refuses waiting requests, and closes the connections once the running requests have ended. */
	async drain(): Promise<void> {
		this.#refuseWaiting(createFailure('serverNotHere', `backend server ${this.#announcement.id} is no longer served by this node`));
		await this.#connections.close();
		this.#crashDetector.close();
	}

	/** Refuses waiting requests, and closes the connections at once, which aborts running requests. */
	async close(): Promise<void> {
		this.#refuseWaiting(createFailure('serverNotHere', `backend server ${this.#announcement.id} is no longer served by this node`));
		this.#crashDetector.close();
		await this.#connections.closeAtOnce();
	}

	#countSlots(): number {
		return Math.max(1, Math.min(this.#announcement.slots, this.#announcement.maxConnections));
	}

	/** Load that a request meets in its turn when the queued request `displaced` gives way to it. */
	#createLoad(head: LoadedHead, displaced?: QueuedExchange): ServerLoad {
		const ahead = this.#queue.selectAhead(createNewRequest(head, this.#gate, performance.now())).filter(queuedExchange => queuedExchange !== displaced);
		return {
			slots: this.#countSlots(),
			running: [...this.#started.listRunning(), ...this.#reservations.values()],
			ahead,
			waitingCount: this.#queue.count() - (displaced ? 1 : 0),
			limitWaitMs: this.#limit.computeWait(head, ahead.length + this.#reservations.size),
		};
	}

	/** Load that a request meets, by an earlier start if it is allowed one. */
	#selectLoad(head: RequestHead, displaced: QueuedExchange | undefined): SelectedLoad {
		const request = createNewRequest(head, this.#gate, performance.now());
		const load = this.#earlyStarts.selectLoad({...request, remainingMs: head.remainingMs}, this.#createLoad(head, displaced), performance.now());
		return load.isEarly ? {...load, limitWaitMs: this.#limit.computeWait(head, load.ahead.length + this.#reservations.size)} : load;
	}

	#admit(exchange: BackendExchange, head: RequestHead, handler: ExchangeHandler): void {
		const request = createAdmissionRequest(head, exchange.getRemainingMs());
		const isHealthIgnored = request.isLastResort || !this.#gate.isFitFor(request, performance.now());
		this.#limit.recordRequest(head);
		const displaced = this.#queue.count() >= maxQueuedRequests ? this.#queue.findDisplaced(createNewRequest(head, this.#gate, performance.now())) : undefined;
		const load = this.#selectLoad(head, displaced);
		const refusal = this.#findRefusal(request, head, load);
		if (refusal) {
			this.#refuseExchange(exchange, head, refusal);
			return;
		}

		if (load.isEarly) {
			this.#earlyStarts.grant(exchange, createNewRequest(head, this.#gate, performance.now()));
		} else if (displaced) {
			this.#refuseDisplaced(displaced);
		}

		this.#reserveSlot(exchange, head, isHealthIgnored);
		queueMicrotask(() => {
			handler.handleAccepted?.();
		});
		if (exchange.isBodyStreamed()) {
			this.#handleBodyEnd(exchange, head);
		}
	}

	#reserveSlot(exchange: BackendExchange, head: RequestHead, isHealthIgnored: boolean): void {
		const startedAt = performance.now();
		this.#reservations.set(exchange, {
			startedAt,
			workMs: this.#gate.estimateWork(head.route ?? '', startedAt),
			isHealthIgnored,
			timer: setTimeout(() => {
				this.#removeExchange(exchange);
				this.#refuseExchange(exchange, head, createFailure('queueDeadline', `the request body did not end within ${reservationTimeoutMs} ms`));
			}, reservationTimeoutMs),
		});
	}

	#handleBodyEnd(exchange: BackendExchange, head: RequestHead): void {
		const reservation = this.#reservations.get(exchange);
		if (!reservation) {
			return;
		}

		clearTimeout(reservation.timer);
		this.#reservations.delete(exchange);
		const {isHealthIgnored} = reservation;
		if (this.#isUnfit({head, isHealthIgnored})) {
			this.#refuseUnfit(exchange, head);
		} else if (this.#started.countRunning() < this.#countSlots() && this.#queue.count() === 0 && this.#limit.computeWait(head) === 0) {
			this.#start(exchange, head);
		} else {
			this.#enqueue(exchange, head, isHealthIgnored);
			this.#startNext();
		}
	}

	/** True when the backend server has begun to fail since the request was admitted. */
	#isUnfit({head, isHealthIgnored}: Pick<QueuedExchange, 'head' | 'isHealthIgnored'>): boolean {
		return !isHealthIgnored && !this.#gate.isFitFor({isRetryable: isRetryable(head)}, performance.now());
	}

	#refuseUnfit(exchange: BackendExchange, head: RequestHead): void {
		this.#refuseExchange(exchange, head, createFailure('serverUnwell', `backend server ${this.#announcement.id} began to fail while the request waited`));
	}

	/** Refuses the queued requests that a failing backend server would lose; as they have not run, they go on elsewhere. */
	#refuseQueuedUnfit(): void {
		this.#queue.list().filter(queuedExchange => this.#isUnfit(queuedExchange)).forEach(queuedExchange => {
			this.#removeQueued(queuedExchange);
			this.#refuseUnfit(queuedExchange.exchange, queuedExchange.head);
		});
	}

	/** Refuses a queued request of the organisation with most work in the full queue, in favour of another organisation's. */
	#refuseDisplaced(displaced: QueuedExchange): void {
		const {exchange, head} = displaced;
		this.#removeQueued(displaced);
		const waitMs = this.#gate.estimateWait(this.#createLoad(head), performance.now());
		this.#refuseExchange(exchange, head, createFailure('queueFull', 'the queue is full, and the organisation has most work in it', waitMs));
	}

	#removeExchange(exchange: BackendExchange): void {
		clearTimeout(this.#reservations.get(exchange)?.timer);
		this.#reservations.delete(exchange);
		this.#earlyStarts.settle(exchange, 0);
		this.#queue.list().filter(queuedExchange => queuedExchange.exchange === exchange).forEach(queuedExchange => {
			this.#removeQueued(queuedExchange);
		});
	}

	/** Returns why the request is refused, if it is. A retry counts against the budget only when the gate admits it. */
	#findRefusal(request: AdmissionRequest, head: RequestHead, load: ServerLoad): Failure | undefined {
		if (this.#announcement.isLeaving) {
			return createFailure('serverLeaving', `backend server ${this.#announcement.id} is leaving`);
		}

		const now = performance.now();
		const refusal = this.#gate.findRefusal(request, load, now);
		if (refusal) {
			return refusal;
		}

		const {earlierAttempts = 0, cause} = head;
		if (earlierAttempts === 0) {
			this.#options.retries.recordRequest(cause);
			return undefined;
		}

		return this.#options.retries.takeRetry(false, now) ? undefined : createFailure('retriesSpent', `the retry budget does not allow attempt ${earlierAttempts + 1}`);
	}

	#enqueue(exchange: BackendExchange, head: RequestHead, isHealthIgnored: boolean): void {
		const {priority = defaultPriority} = head;
		const remainingMs = exchange.getRemainingMs();
		const now = performance.now();
		const workMs = this.#gate.estimateWork(head.route ?? '', now);
		const maxWaitMs = this.#gate.computeMaxWait({route: head.route ?? '', patienceMs: head.patienceMs ?? remainingMs, remainingMs}, now);
		const queuedExchange: QueuedExchange = {
			exchange,
			head,
			isHealthIgnored,
			priority,
			organisation: head.organisation,
			workMs,
			dueAt: now + (head.objectiveMs ?? remainingMs),
			latestStartAt: now + maxWaitMs,
			timer: setTimeout(() => {
				this.#removeQueued(queuedExchange);
				this.#refuseExchange(exchange, head, createFailure('queueDeadline', `no slot was free within ${Math.round(maxWaitMs)} ms`));
			}, maxWaitMs),
		};
		this.#queue.add(queuedExchange);
		this.#earlyStarts.recordQueued(queuedExchange);
	}

	#refuseExchange(exchange: BackendExchange, head: RequestHead, failure: Failure): void {
		this.#earlyStarts.settle(exchange, 0);
		this.#options.reportFailure(head, failure);
		exchange.refuse(failure);
	}

	#refuseWaiting(failure: Failure): void {
		clearTimeout(this.#limitTimer);
		this.#queue.list().forEach(queuedExchange => {
			this.#removeQueued(queuedExchange);
			this.#refuseExchange(queuedExchange.exchange, queuedExchange.head, failure);
		});
		[...this.#reservations.keys()].forEach(exchange => {
			this.#removeExchange(exchange);
			exchange.refuse(failure);
		});
	}

	#removeQueued(queuedExchange: QueuedExchange): void {
		clearTimeout(queuedExchange.timer);
		this.#queue.remove(queuedExchange);
	}

	#start(exchange: BackendExchange, head: RequestHead): void {
		const now = performance.now();
		this.#limit.recordSend();
		const workMs = this.#gate.estimateWork(head.route ?? '', now);
		const overdueTimer = setTimeout(() => {
			this.#outcomes.recordOverdue(head);
			this.#refuseQueuedUnfit();
		}, Math.max(minOverdueMs, workMs * overdueFactor));
		this.#earlyStarts.recordStart(exchange, workMs);
		this.#started.add({
			exchange, head, startedAt: now, workMs, overdueTimer,
		});
		this.#crashDetector.openSpare();
		exchange.start(this.#connections.select(head.isRepeatable));
	}

	#handleExchangeEnd(exchange: BackendExchange, outcome: WorkOutcome | undefined, failure: Failure | undefined): void {
		const finished = this.#started.remove(exchange);
		const isEarly = this.#earlyStarts.settle(exchange, finished ? performance.now() - finished.startedAt : 0);
		if (finished && failure) {
			this.#options.reportFailure(finished.head, failure);
		}

		if (failure?.name === 'serverReplaced') {
			this.#options.handleReplaced();
		} else if (finished && outcome) {
			this.#outcomes.recordEnd(finished.head, outcome, failure);
			this.#refuseQueuedUnfit();
			this.#options.reportExchange(finished.head, outcome, {sickness: this.#gate.estimateFailingProbability(performance.now()), isEarly});
		}

		this.#startNext();
	}

	#startNext(): void {
		const now = performance.now();
		this.#queue.removeExpired(now).forEach(queuedExchange => {
			this.#removeQueued(queuedExchange);
			this.#refuseExchange(queuedExchange.exchange, queuedExchange.head, createFailure('queueDeadline', 'too little time is left to complete the request'));
		});
		if (this.#queue.count() === 0 || this.#started.countRunning() >= this.#countSlots()) {
			return;
		}

		this.#earlyStarts.advanceLate(this.#countSlots(), this.#started.listRunning(), now);
		const next = this.#queue.takeNext(({head}) => this.#limit.computeWait(head) === 0);
		if (!next) {
			this.#waitForLimit();
			return;
		}

		this.#removeQueued(next);
		this.#start(next.exchange, next.head);
		this.#startNext();
	}

	/** Starts the next queued request once the limit has room for one. */
	#waitForLimit(): void {
		const waitMs = Math.min(...this.#queue.list().map(({head}) => this.#limit.computeWait(head)));
		clearTimeout(this.#limitTimer);
		this.#limitTimer = setTimeout(() => {
			this.#startNext();
		}, Math.ceil(waitMs));
	}
}
