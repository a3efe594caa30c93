/** A backend server without a network that fails for spells at random times, behind the real admission control. */
import {
	AdmissionController, WaitQueue, type AdmissionRequest, type QueuedRequest, type RunningRequest,
} from '@limpetbarrow/admission';
import {
	Carrier, createFailure, Exchange, type ExchangeHandler, type Failure, type RequestHead,
} from '@limpetbarrow/core';
import {type Candidate, type RetryPolicy} from '@limpetbarrow/choose';

/** The load and the faults of a model. Times are in milliseconds. */
export type FleetModelOptions = {
	readonly serverCount: number;
	readonly slots: number;
	readonly workMs: number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	/** Mean times for which a backend server is healthy, and for which it fails each request at once. */
	readonly meanHealthyMs: number;
	readonly meanFailingMs: number;
	readonly createRetries: () => RetryPolicy;
	/** True while the backend server rejects a request without running it. */
	readonly isShed?: (now: number, random: number) => boolean;
	readonly seed: number;
};

const regionCount = 3;
const domainsPerRegion = 2;

type ModelRun = QueuedRequest & {
	readonly head: RequestHead;
	readonly handler: ExchangeHandler;
	readonly isHealthIgnored: boolean;
};

/** One backend server behind its admission control. */
export class ModelServer extends Carrier {
	/** Retries that the backend server was asked to take. */
	retryCount = 0;
	/** Requests that it failed although it was known to be failing. */
	lastResortFailures = 0;
	readonly candidate: Candidate;
	readonly #options: FleetModelOptions;
	readonly #pickRandom: () => number;
	readonly #gate = new AdmissionController(0);
	readonly #retries: RetryPolicy;
	readonly #queue = new WaitQueue<ModelRun>();
	readonly #running = new Map<ModelRun, RunningRequest>();
	#isFailing = false;
	constructor(index: number, options: FleetModelOptions, pickRandom: () => number) {
		super();
		const region = `region-${index % regionCount}`;
		this.#options = options;
		this.#pickRandom = pickRandom;
		this.#retries = options.createRetries();
		this.candidate = {
			nodeId: `node-${index}`,
			placement: {region, failureDomain: `${region}-${Math.floor(index / regionCount) % domainsPerRegion}`},
			server: {
				id: `server-${index}`, service: 'bank', slots: options.slots, state: 'ready', generation: 1, badness: 0,
			},
		};
		this.#startSpell(this.#pickRandom() < options.meanFailingMs / (options.meanFailingMs + options.meanHealthyMs));
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const now = performance.now();
		const {earlierAttempts = 0, maxAttempts = 1} = head;
		const request: AdmissionRequest = {
			route: '', priority: 1, isRetryable: head.isRepeatable && earlierAttempts + 1 < maxAttempts, remainingMs: head.remainingMs, objectiveMs: this.#options.objectiveMs,
			patienceMs: head.patienceMs ?? 0, isLastResort: head.isLastResort ?? false,
		};
		const isHealthIgnored = request.isLastResort || !this.#gate.isFitFor(request, now);
		const refusal = this.#gate.findRefusal(request, {
			slots: this.#options.slots, running: [...this.#running.values()], ahead: this.#queue.list(), waitingCount: this.#queue.count(),
		}, now) ?? this.#findRetryRefusal(earlierAttempts, now);
		const run: ModelRun = {
			head, handler, isHealthIgnored, priority: 1, organisation: head.organisation, dueAt: now + this.#options.objectiveMs, latestStartAt: now + (head.patienceMs ?? 0), workMs: this.#options.workMs,
		};
		queueMicrotask(() => {
			if (refusal) {
				handler.handleFailure(refusal);
			} else {
				handler.handleAccepted?.();
			}
		});
		return new ModelExchange(() => {
			if (!refusal) {
				this.#queue.add(run);
				this.#startNext();
			}
		}, () => {
			this.#queue.remove(run);
			this.#running.delete(run);
		});
	}

	#findRetryRefusal(earlierAttempts: number, now: number): Failure | undefined {
		if (earlierAttempts === 0) {
			this.#retries.recordRequest();
			return undefined;
		}

		this.retryCount++;
		return this.#retries.takeRetry(false, now) ? undefined : createFailure('retriesSpent', 'no retry left');
	}

	#startSpell(isFailing: boolean): void {
		this.#isFailing = isFailing;
		const {meanFailingMs, meanHealthyMs} = this.#options;
		setTimeout(() => {
			this.#startSpell(!isFailing);
		}, -Math.log(1 - this.#pickRandom()) * (isFailing ? meanFailingMs : meanHealthyMs));
	}

	#startNext(): void {
		const now = performance.now();
		this.#queue.removeExpired(now).forEach(({handler}) => {
			handler.handleFailure(createFailure('queueDeadline', 'too late'));
		});
		const unfit = this.#queue.list().filter(({head, isHealthIgnored}) => !isHealthIgnored && !this.#gate.isFitFor({isRetryable: head.isRepeatable && (head.earlierAttempts ?? 0) === 0}, now));
		unfit.forEach(run => {
			this.#queue.remove(run);
			run.handler.handleFailure(createFailure('serverUnwell', 'began to fail'));
		});
		const next = this.#running.size < this.#options.slots ? this.#queue.takeNext() : undefined;
		if (next) {
			this.#running.set(next, {startedAt: now, workMs: this.#options.workMs});
			const isShed = this.#options.isShed?.(now, this.#pickRandom()) ?? false;
			setTimeout(() => {
				this.#end(next, isShed);
			}, isShed || this.#isFailing ? 1 : this.#options.workMs * (0.5 + this.#pickRandom()));
			this.#startNext();
		}
	}

	#end(run: ModelRun, isShed: boolean): void {
		const startedAt = this.#running.get(run)?.startedAt;
		if (startedAt === undefined) {
			return;
		}

		const now = performance.now();
		const isFast = now - startedAt <= 1;
		this.#running.delete(run);
		this.lastResortFailures += Number(isFast && !isShed && run.head.isLastResort === true);
		this.#gate.recordOutcome(isShed ? 'shed' : (isFast ? 'failed' : 'well'), now);
		if (!isShed && !isFast) {
			this.#gate.recordWork('', now - startedAt);
		}

		if (isShed) {
			run.handler.handleFailure(createFailure('serverShed', 'rejected'));
		} else {
			run.handler.handleHead({
				status: isFast ? 500 : 200, headers: [], load: {
					serverId: this.candidate.server.id, freeSlots: this.#options.slots - this.#running.size, queued: this.#queue.count(), isUnwell: this.#gate.isUnwell(now),
				},
			});
			run.handler.handleEnd();
		}

		this.#startNext();
	}
}

class ModelExchange extends Exchange {
	readonly #handleBodyEnd: () => void;
	readonly #handleCancel: () => void;

	constructor(handleBodyEnd: () => void, handleCancel: () => void) {
		super();
		this.#handleBodyEnd = handleBodyEnd;
		this.#handleCancel = handleCancel;
	}

	override writeBody(): void {
		// Requests have no body.
	}

	override endBody(): void {
		this.#handleBodyEnd();
	}

	override grantCredit(): void {
		// Responses have no body.
	}

	override cancel(): void {
		this.#handleCancel();
	}
}
