/** One routed request and its attempts: sequential, or two in parallel when the first one hangs (hedging). */
import {
	createFailure, Exchange, type ExchangeHandler, type Failure, type Logger, type MetricRegistry, type RequestHead, type RequestTarget, type ResponseHead, type ServerRecord,
} from '@limpetbarrow/core';
import {
	type Candidate, type PathHealth, type SpilloverChoice, type Tier,
} from '@limpetbarrow/choose';
import {replaceFramingHeaders} from '../backend/request-body.js';
import {
	acceptTimeoutsMs, hedgeDelayShare, pathFailures, type Attempt,
} from './attempt.js';
import {BufferedResponse} from './buffered-response.js';
import {type FindEgress} from './forwarder.js';
import {getRank, type LoadTracker} from './load-tracker.js';
import {type PausedRequests} from './paused-requests.js';
import {ReplayBody} from './replay-body.js';
import {logRequestEnd, type RequestEndEvent} from './request-log.js';
import {type RequestTimeLimits} from './request-time-limits.js';
import {isUndelivered, RoutedRequest} from './routed-request.js';

/** Dependencies of a request's attempts. */
export type RoutedExchangeOptions = {
	readonly chooseNextStep: (request: RoutedRequest) => SpilloverChoice | undefined;
	/** True when a backend server is known that may still take the request, whether or not it can be reached now. */
	readonly hasCandidate: (request: RoutedRequest) => boolean;
	/** Creates the target of an attempt that is sent now. */
	readonly createTarget: (serverId: string) => RequestTarget;
	/** Called with each response head of a backend server. */
	readonly recordResponseHead: (server: ServerRecord, head: ResponseHead) => void;
	readonly timeLimits: RequestTimeLimits;
	readonly findEgress: FindEgress;
	readonly loadTracker: LoadTracker;
	readonly pathHealth: PathHealth;
	readonly pausedRequests: PausedRequests;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
	readonly pickRandom: () => number;
	/** Called once, when the request has ended; `isServed` is false if it failed, was answered by a server error or given up. */
	readonly handleFinished: (isServed: boolean) => void;
};

const minServerErrorStatus = 500;

/** Sends a request to a backend server and retries or hedges it on others when that is safe and attempts are left. */
export class RoutedExchange extends Exchange {
	readonly #request: RoutedRequest;
	readonly #handler: ExchangeHandler;
	readonly #options: RoutedExchangeOptions;
	readonly #body: ReplayBody;
	#head: RequestHead;
	#attempts: readonly Attempt[] = [];
	#isStarted = false;
	#isFinished = false;
	/** The attempt whose response is being streamed to the caller. */
	#selectedAttempt: Attempt | undefined;
	/** Ends the pause in progress. */
	#endPause: (() => void) | undefined;
	/** The first server error, which is forwarded if no other attempt succeeds. */
	#fallbackResponse: BufferedResponse | undefined;

	constructor(head: RequestHead, handler: ExchangeHandler, options: RoutedExchangeOptions) {
		super();
		this.#head = head;
		this.#request = new RoutedRequest(head, performance.now(), options.timeLimits);
		this.#handler = handler;
		this.#options = options;
		this.#body = new ReplayBody(bytes => {
			handler.handleCredit(bytes);
		});
	}

	override writeBody(chunk: Uint8Array): void {
		if (this.#isFinished) {
			return;
		}

		this.#body.write(chunk);
		if (this.#body.isWindowFull()) {
			this.#startAttempts();
		}
	}

	override endBody(): void {
		this.#body.end();
		if (!this.#isStarted) {
			this.#head = replaceFramingHeaders(this.#head, this.#body.countBytes());
			this.#startAttempts();
		}
	}

	override grantCredit(bytes: number): void {
		this.#selectedAttempt?.exchange.grantCredit(bytes);
	}

	override cancel(): void {
		if (!this.#isFinished) {
			this.#finish(false);
			this.#logEnd('requestGivenUp', 0);
		}
	}

	/**
	 * Ends the request at once because the node stops: with a server error that was kept back, else with a failure. An attempt
	 * whose body was not sent can't have run.
	 */
	failForStop(): void {
		if (this.#isFinished) {
			return;
		}

		if (this.#fallbackResponse) {
			this.#forwardResponse(this.#fallbackResponse);
			return;
		}

		const now = performance.now();
		this.#attempts.forEach(({candidate, isBodySent}) => {
			this.#request.recordFailure(candidate.server.id, createFailure(isBodySent ? 'answerTimeout' : 'nodeStopping', 'the node stops'), now);
		});
		this.#fail(this.#request.hasUnknownOutcome() ? this.#request.createFailure(this.#options.pickRandom()) : createFailure('nodeStopping', 'the node stops'));
	}

	#startAttempts(): void {
		if (!this.#isStarted) {
			this.#isStarted = true;
			this.#openNextAttempt();
		}
	}

	/** Sends the request to the next backend server, or finishes it if there is none. */
	#openNextAttempt(): void {
		const now = performance.now();
		const remainingMs = this.#request.getRemainingMs(now);
		const step = remainingMs > this.#request.getMinAttemptMs() ? this.#options.chooseNextStep(this.#request) : undefined;
		const isStepLeft = step !== undefined && this.#request.hasStepLeft(step.isLastResort);
		if (isStepLeft && !step.isLastResort) {
			// A second copy of a request takes only a slot that is free: under load it would hold up other requests.
			this.#openAttempt(this.#attempts.length > 0 ? {...step, patienceMs: 0} : step, remainingMs);
		} else if (this.#attempts.length > 0 || this.#startPause(now)) {
			// Another attempt is in progress, or the backend servers are asked again after the pause.
		} else if (isStepLeft) {
			this.#openAttempt(step, remainingMs);
		} else {
			this.#finishWithoutAttempts();
		}
	}

	/** Starts a pause if there is time for one and another attempt may follow. Returns whether it did. */
	#startPause(now: number): boolean {
		const mayPause = this.#body.isKept() && this.#request.hasAttemptLeft() && this.#options.hasCandidate(this.#request);
		const pauseMs = mayPause ? this.#request.choosePause(now, this.#options.pickRandom()) : undefined;
		if (pauseMs !== undefined && this.#request.getRemainingMs(now) - pauseMs > this.#request.getMinAttemptMs(true)) {
			this.#endPause = this.#options.pausedRequests.start(pauseMs, () => {
				this.#endPause = undefined;
				this.#request.recordPause(performance.now());
				this.#openNextAttempt();
			});
		}

		return this.#endPause !== undefined;
	}

	#openAttempt({candidate, tier, patienceMs, isLastResort}: SpilloverChoice, remainingMs: number): void {
		const {nodeId, server} = candidate;
		const earlierAttempts = this.#request.countAttempts();
		this.#request.recordStep(server.id, {tier, isLastResort}, performance.now());
		const egress = this.#options.findEgress(nodeId);
		if (!egress) {
			this.#request.recordFailure(server.id, createFailure('linkUnreachable', `node ${nodeId} is not known`), performance.now());
			this.#openNextAttempt();
			return;
		}

		this.#options.loadTracker.addInFlight(server.id, 1);
		const response = new BufferedResponse();
		const head: RequestHead = {
			...this.#head, target: this.#options.createTarget(server.id), remainingMs, patienceMs: Math.round(patienceMs), isLastResort, earlierAttempts,
		};
		const exchange = egress.openExchange(head, this.#createHandler(candidate, response));
		this.#attempts = [...this.#attempts, {
			candidate, exchange, response, isBodySent: false, acceptTimer: this.#startAcceptTimer(candidate, response, tier), hedgeTimer: this.#startHedgeTimer(),
		}];
		if (tier === 'host') {
			this.#sendBody(response);
		}
	}

	#findAttempt(response: BufferedResponse): Attempt | undefined {
		return this.#attempts.find(attempt => attempt.response === response);
	}

	/** Starts to send the body. The egress runs the request once the body has ended. */
	#sendBody(response: BufferedResponse): void {
		const accepted = this.#findAttempt(response);
		if (accepted === undefined || accepted.isBodySent) {
			return;
		}

		clearTimeout(accepted.acceptTimer);
		this.#attempts = this.#attempts.map(attempt => attempt === accepted ? {...attempt, isBodySent: true} : attempt);
		this.#body.startReading(accepted.exchange);
	}

	/** Treats the path as broken if the node does not accept in time. The request has not run, as its body was not sent. */
	#startAcceptTimer(candidate: Candidate, response: BufferedResponse, tier: Tier): NodeJS.Timeout | undefined {
		const timeoutMs = acceptTimeoutsMs[tier];
		return timeoutMs === 0
			? undefined
			: setTimeout(() => {
				const late = this.#findAttempt(response);
				this.#removeAttempt(response);
				late?.exchange.cancel();
				this.#options.pathHealth.recordFailure(candidate.nodeId, performance.now());
				this.#handleFailure(candidate, response, createFailure('linkUnreachable', `node ${candidate.nodeId} did not accept the request within ${timeoutMs} ms`));
			}, timeoutMs);
	}

	#startHedgeTimer(): NodeJS.Timeout | undefined {
		const {isRepeatable, objectiveMs, remainingMs} = this.#head;
		return isRepeatable && this.#body.isKept() && this.#body.isEnded()
			? setTimeout(() => {
				this.#openHedge();
			}, (objectiveMs ?? remainingMs) * hedgeDelayShare)
			: undefined;
	}

	#openHedge(): void {
		if (!this.#isFinished && !this.#selectedAttempt && this.#attempts.length === 1 && this.#request.hasAttemptLeft()) {
			this.#options.metrics.addCount('ingress_hedges_total');
			this.#openNextAttempt();
		}
	}

	#createHandler(candidate: Candidate, response: BufferedResponse): ExchangeHandler {
		const {loadTracker, pathHealth, recordResponseHead} = this.#options;
		const {nodeId, server} = candidate;
		const rank = getRank(this.#head);
		return {
			handleHead(head) {
				pathHealth.recordSuccess(nodeId, performance.now());
				if (head.load) {
					loadTracker.recordHint(head.load, rank);
				}

				recordResponseHead(server, head);

				response.setHead(head);
			},
			handleData: chunk => {
				const isFull = !response.addChunk(chunk);
				if (isFull) {
					this.#selectAttempt(response);
				}
			},
			handleCredit: bytes => {
				const attempt = this.#findAttempt(response);
				if (attempt) {
					this.#body.recordConsumption(attempt.exchange, bytes);
				}
			},
			handleAccepted: () => {
				pathHealth.recordSuccess(nodeId, performance.now());
				this.#sendBody(response);
				const attempt = this.#findAttempt(response);
				if (attempt) {
					this.#body.recordAcceptance(attempt.exchange);
				}
			},
			handleEnd: () => {
				this.#removeAttempt(response);
				this.#request.recordResponse(server.id, response.getStatus(), performance.now());
				this.#handleResponse(response);
			},
			handleFailure: failure => {
				this.#removeAttempt(response);
				if (pathFailures.has(failure.name)) {
					pathHealth.recordFailure(nodeId, performance.now());
				}

				this.#handleFailure(candidate, response, failure);
			},
		};
	}

	/** Retries a server error if an attempt is left; a parallel attempt in progress is awaited first. */
	#handleResponse(response: BufferedResponse): void {
		if (this.#isFinished) {
			return;
		}

		const isRetryable = response.getStatus() >= minServerErrorStatus && this.#head.isRepeatable && !this.#selectedAttempt;
		if (isRetryable && this.#attempts.length > 0) {
			this.#fallbackResponse ??= response;
		} else if (isRetryable && this.#body.isKept() && this.#request.hasAttemptLeft()) {
			this.#fallbackResponse ??= response;
			this.#options.metrics.addCount('ingress_retries_total');
			this.#openNextAttempt();
		} else {
			this.#forwardResponse(response);
		}
	}

	#handleFailure({server}: Candidate, response: BufferedResponse, failure: Failure): void {
		this.#request.recordFailure(server.id, failure, performance.now());
		if (this.#isFinished) {
			return;
		}

		if (this.#selectedAttempt?.response === response) {
			this.#fail(failure);
			return;
		}

		this.#options.loadTracker.recordRefusal(server.id, failure, getRank(this.#head));
		if (this.#attempts.length > 0 && !isUndelivered(failure)) {
			return;
		}

		if (this.#body.isKept() && this.#request.isRetriedAfter(failure)) {
			this.#options.metrics.addCount('ingress_retries_total', isUndelivered(failure) ? 0 : 1);
			this.#openNextAttempt();
		} else {
			this.#finishWithoutAttempts();
		}
	}

	/** Selects an attempt whose response exceeds the buffer: cancels the others and starts to stream the response. */
	#selectAttempt(response: BufferedResponse): void {
		const selected = this.#findAttempt(response);
		if (!this.#isFinished && !this.#selectedAttempt && selected) {
			this.#selectedAttempt = selected;
			this.#attempts.filter(attempt => attempt !== selected).forEach(attempt => {
				this.#cancelAttempt(attempt);
			});
			response.startForwarding(this.#handler);
		}
	}

	#forwardResponse(response: BufferedResponse): void {
		this.#finish(response.getStatus() < minServerErrorStatus);
		this.#logEnd('requestAnswered', response.getStatus());
		response.startForwarding(this.#handler);
		this.#handler.handleEnd();
	}

	/** Finishes the request if no attempt is in progress: with the buffered server error if there is one, else with a failure. */
	#finishWithoutAttempts(): void {
		if (this.#attempts.length > 0 || this.#isFinished) {
			return;
		}

		if (this.#fallbackResponse) {
			this.#forwardResponse(this.#fallbackResponse);
		} else {
			this.#fail(this.#request.createFailure(this.#options.pickRandom()));
		}
	}

	#fail(failure: Failure): void {
		this.#finish(false);
		this.#logEnd('requestRefused', failure.status, failure);
		queueMicrotask(() => {
			this.#handler.handleFailure(failure);
		});
	}

	#finish(isServed: boolean): void {
		this.#isFinished = true;
		this.#endPause?.();
		this.#attempts.forEach(attempt => {
			this.#cancelAttempt(attempt);
		});
		this.#options.handleFinished(isServed);
	}

	#cancelAttempt({candidate, exchange, response}: Attempt): void {
		this.#removeAttempt(response);
		this.#request.recordFailure(candidate.server.id, createFailure('callerGone', 'cancelled'), performance.now());
		exchange.cancel();
	}

	#removeAttempt(response: BufferedResponse): void {
		const ended = this.#findAttempt(response);
		if (ended) {
			this.#body.stopReading(ended.exchange);
			clearTimeout(ended.acceptTimer);
			clearTimeout(ended.hedgeTimer);
			this.#options.loadTracker.addInFlight(ended.candidate.server.id, -1);
			this.#attempts = this.#attempts.filter(attempt => attempt !== ended);
		}
	}

	#logEnd(event: RequestEndEvent, status: number, failure?: Failure): void {
		logRequestEnd(this.#options.logger, event, this.#request, {status, failure});
	}
}
