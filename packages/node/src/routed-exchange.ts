/** One routed request: its hand-overs, one after the other or, for one that hangs, two at a time. */
import {
	createFailure, Exchange, exchangeWindowBytes, type ExchangeHandler, type Failure, type Logger, type MetricRegistry, type RequestHead,
} from '@limpetbarrow/core';
import {
	type Candidate, type PathHealth, type SpillStep, type Tier,
} from '@limpetbarrow/choose';
import {BufferedResponse} from './buffered-response.js';
import {type FindEgress} from './forwarder.js';
import {type LoadTracker} from './load-tracker.js';
import {replaceFramingHeaders} from './request-body.js';
import {isUndelivered, RoutedRequest} from './routed-request.js';

/** What the hand-overs of a request need. */
export type RoutedExchangeOptions = {
	readonly chooseNextStep: (request: RoutedRequest) => SpillStep | undefined;
	readonly findEgress: FindEgress;
	readonly loadTracker: LoadTracker;
	readonly pathHealth: PathHealth;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
	readonly pickRandom: () => number;
};

type Attempt = {
	readonly candidate: Candidate;
	readonly exchange: Exchange;
	readonly answer: BufferedResponse;
	/** True once the body may be sent: only then can the request run. */
	readonly isAccepted: boolean;
	readonly acceptTimer: NodeJS.Timeout | undefined;
	readonly hedgeTimer: NodeJS.Timeout | undefined;
};

const minServerErrorStatus = 500;
/** Time below which nothing more is tried, in milliseconds. */
const minRemainingMs = 10;
/** Share of the objective after which a request that may be repeated is handed to a second backend server as well. */
const hedgeDelayShare = 0.6;
/** Time in which another node says whether it takes a request, by its distance, in milliseconds: some round trips and a busy moment. */
const acceptTimeoutsMs: Readonly<Record<Tier, number>> = {
	host: 0, failureDomain: 150, region: 150, remote: 300,
};
const pathFailures: ReadonlySet<string> = new Set(['linkUnreachable', 'linkLost']);

/** Tries a request, again elsewhere when that is safe and within the budget. */
export class RoutedExchange extends Exchange {
	readonly #request: RoutedRequest;
	readonly #handler: ExchangeHandler;
	readonly #options: RoutedExchangeOptions;
	#head: RequestHead;
	#attempts: readonly Attempt[] = [];
	#replayChunks: readonly Uint8Array[] = [];
	#bodyBytes = 0;
	#isBodyEnded = false;
	#isStarted = false;
	#isFinished = false;
	/** The try whose answer is on its way to the caller. */
	#selectedAttempt: Attempt | undefined;
	/** A server error that is delivered if nothing better comes. */
	#fallbackResponse: BufferedResponse | undefined;

	constructor(head: RequestHead, handler: ExchangeHandler, options: RoutedExchangeOptions) {
		super();
		this.#head = head;
		this.#request = new RoutedRequest(head, performance.now());
		this.#handler = handler;
		this.#options = options;
	}

	override writeBody(chunk: Uint8Array): void {
		if (this.#isFinished) {
			return;
		}

		this.#bodyBytes += chunk.length;
		if (this.#isReplayable()) {
			this.#replayChunks = [...this.#replayChunks, chunk];
			return;
		}

		this.#startAttempts();
		this.#listAcceptedAttempts().forEach(({exchange}) => {
			exchange.writeBody(chunk);
		});
	}

	override endBody(): void {
		this.#isBodyEnded = true;
		if (this.#isStarted) {
			this.#listAcceptedAttempts().forEach(({exchange}) => {
				exchange.endBody();
			});
			return;
		}

		this.#head = replaceFramingHeaders(this.#head, this.#bodyBytes);
		this.#startAttempts();
	}

	override grantCredit(bytes: number): void {
		this.#selectedAttempt?.exchange.grantCredit(bytes);
	}

	override cancel(): void {
		if (!this.#isFinished) {
			this.#finish();
			this.#log('requestGivenUp', 0);
		}
	}

	#startAttempts(): void {
		if (!this.#isStarted) {
			this.#isStarted = true;
			this.#openNextAttempt();
		}
	}

	/** The whole body is still held, and none of it was sent as a stream. */
	#isReplayable(): boolean {
		return this.#bodyBytes <= exchangeWindowBytes && !(this.#isStarted && !this.#isBodyEnded);
	}

	/** Hands the request to the next backend server, or ends it when there is none. */
	#openNextAttempt(): void {
		const now = performance.now();
		const remainingMs = this.#request.getRemainingMs(now);
		const step = remainingMs > minRemainingMs ? this.#options.chooseNextStep(this.#request) : undefined;
		if (!step || !this.#request.hasStepLeft(step.isLastResort)) {
			this.#finishWithoutAttempts();
			return;
		}

		this.#openAttempt(step, remainingMs);
	}

	#openAttempt({candidate, tier, patienceMs, isLastResort}: SpillStep, remainingMs: number): void {
		const {nodeId, server} = candidate;
		const earlierAttempts = this.#request.countAttempts();
		this.#request.recordStep(server.id, tier, isLastResort);
		const egress = this.#options.findEgress(nodeId);
		if (!egress) {
			this.#request.recordFailure(server.id, createFailure('linkUnreachable', `node ${nodeId} is not known`), performance.now());
			this.#openNextAttempt();
			return;
		}

		this.#options.loadTracker.addInFlight(server.id, 1);
		const answer = new BufferedResponse();
		const head: RequestHead = {
			...this.#head, target: {kind: 'egress', serverId: server.id}, remainingMs, patienceMs: Math.round(patienceMs), isLastResort, earlierAttempts,
		};
		const exchange = egress.openExchange(head, this.#createHandler(candidate, answer));
		this.#attempts = [...this.#attempts, {
			candidate, exchange, answer, isAccepted: false, acceptTimer: this.#startAcceptTimer(candidate, answer, tier), hedgeTimer: this.#startHedgeTimer(),
		}];
		if (tier === 'host') {
			this.#sendBody(answer);
		}
	}

	#listAcceptedAttempts(): readonly Attempt[] {
		return this.#attempts.filter(({isAccepted}) => isAccepted);
	}

	/** Sends the body, whose end is the other side's word to run the request. */
	#sendBody(answer: BufferedResponse): void {
		const accepted = this.#attempts.find(one => one.answer === answer);
		if (accepted === undefined || accepted.isAccepted) {
			return;
		}

		clearTimeout(accepted.acceptTimer);
		this.#attempts = this.#attempts.map(one => one === accepted ? {...one, isAccepted: true} : one);
		this.#replayChunks.forEach(chunk => {
			accepted.exchange.writeBody(chunk);
		});
		if (this.#isBodyEnded) {
			accepted.exchange.endBody();
		}
	}

	/** Without a word in time the way is taken to be cut. Nothing has run, as the body was not sent. */
	#startAcceptTimer(candidate: Candidate, answer: BufferedResponse, tier: Tier): NodeJS.Timeout | undefined {
		const timeoutMs = acceptTimeoutsMs[tier];
		return timeoutMs === 0
			? undefined
			: setTimeout(() => {
				const late = this.#attempts.find(one => one.answer === answer);
				this.#removeAttempt(answer);
				late?.exchange.cancel();
				this.#options.pathHealth.recordFailure(candidate.nodeId, performance.now());
				this.#handleFailure(candidate, answer, createFailure('linkUnreachable', `node ${candidate.nodeId} did not answer within ${timeoutMs} ms`));
			}, timeoutMs);
	}

	#startHedgeTimer(): NodeJS.Timeout | undefined {
		const {isRepeatable, objectiveMs, remainingMs} = this.#head;
		return isRepeatable && this.#isReplayable()
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

	#createHandler(candidate: Candidate, answer: BufferedResponse): ExchangeHandler {
		const {loadTracker, pathHealth} = this.#options;
		const {nodeId, server} = candidate;
		return {
			handleHead(head) {
				pathHealth.recordSuccess(nodeId, performance.now());
				if (head.load) {
					loadTracker.recordHint(head.load);
				}

				answer.setHead(head);
			},
			handleData: chunk => {
				const isFull = !answer.addChunk(chunk);
				if (isFull) {
					this.#selectAttempt(answer);
				}
			},
			handleCredit: bytes => {
				this.#handler.handleCredit(bytes);
			},
			handleAccepted: () => {
				pathHealth.recordSuccess(nodeId, performance.now());
				this.#sendBody(answer);
			},
			handleEnd: () => {
				this.#removeAttempt(answer);
				this.#request.recordResponse(server.id, answer.getStatus(), performance.now());
				this.#handleResponse(answer);
			},
			handleFailure: failure => {
				this.#removeAttempt(answer);
				if (pathFailures.has(failure.name)) {
					pathHealth.recordFailure(nodeId, performance.now());
				}

				this.#handleFailure(candidate, answer, failure);
			},
		};
	}

	/** A server error is worth another try while one is allowed; a second try under way decides first. */
	#handleResponse(answer: BufferedResponse): void {
		if (this.#isFinished) {
			return;
		}

		const isRetryable = answer.getStatus() >= minServerErrorStatus && this.#head.isRepeatable && !this.#selectedAttempt;
		if (isRetryable && this.#attempts.length > 0) {
			this.#fallbackResponse ??= answer;
		} else if (isRetryable && this.#isReplayable() && this.#request.hasAttemptLeft()) {
			this.#fallbackResponse ??= answer;
			this.#options.metrics.addCount('ingress_retries_total');
			this.#openNextAttempt();
		} else {
			this.#forwardResponse(answer);
		}
	}

	#handleFailure({server}: Candidate, answer: BufferedResponse, failure: Failure): void {
		this.#request.recordFailure(server.id, failure, performance.now());
		if (this.#isFinished) {
			return;
		}

		if (this.#selectedAttempt?.answer === answer) {
			this.#fail(failure);
			return;
		}

		if (failure.retryAfterMs !== undefined) {
			this.#options.loadTracker.recordHint({
				serverId: server.id, freeSlots: 0, queued: 0, waitMs: failure.retryAfterMs,
			});
		} else if (failure.name === 'serverUnwell' || failure.name === 'serverShed') {
			this.#options.loadTracker.recordHint({
				serverId: server.id, freeSlots: 0, queued: 0, ...(failure.name === 'serverShed' ? {isShedding: true} : {isUnwell: true}),
			});
		}

		if (this.#attempts.length > 0 && !isUndelivered(failure)) {
			return;
		}

		if (this.#takeRetry(failure)) {
			this.#openNextAttempt();
		} else {
			this.#finishWithoutAttempts();
		}
	}

	#takeRetry(failure: Failure): boolean {
		if (!this.#isReplayable()) {
			return false;
		}

		if (isUndelivered(failure)) {
			return true;
		}

		const isSafe = failure.ran === 'not-run' || this.#head.isRepeatable;
		const isContinued = isSafe && this.#request.hasAttemptLeft();
		if (isContinued) {
			this.#options.metrics.addCount('ingress_retries_total');
		}

		return isContinued;
	}

	/** Streams an answer that is larger than the buffer. */
	#selectAttempt(answer: BufferedResponse): void {
		const chosen = this.#attempts.find(one => one.answer === answer);
		if (!this.#isFinished && !this.#selectedAttempt && chosen) {
			this.#selectedAttempt = chosen;
			this.#attempts.filter(one => one !== chosen).forEach(one => {
				this.#cancelAttempt(one);
			});
			answer.startForwarding(this.#handler);
		}
	}

	#forwardResponse(answer: BufferedResponse): void {
		this.#finish();
		this.#log('requestAnswered', answer.getStatus());
		answer.startForwarding(this.#handler);
		this.#handler.handleEnd();
	}

	/** No try is left: the server error that came before is the answer, else the failure. */
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
		this.#finish();
		this.#log('requestRefused', failure.status, failure);
		queueMicrotask(() => {
			this.#handler.handleFailure(failure);
		});
	}

	#finish(): void {
		this.#isFinished = true;
		this.#attempts.forEach(one => {
			this.#cancelAttempt(one);
		});
	}

	#cancelAttempt({candidate, exchange, answer}: Attempt): void {
		this.#removeAttempt(answer);
		this.#request.recordFailure(candidate.server.id, createFailure('callerGone', 'cancelled'), performance.now());
		exchange.cancel();
	}

	#removeAttempt(answer: BufferedResponse): void {
		const ended = this.#attempts.find(one => one.answer === answer);
		if (ended) {
			clearTimeout(ended.acceptTimer);
			clearTimeout(ended.hedgeTimer);
			this.#options.loadTracker.addInFlight(ended.candidate.server.id, -1);
			this.#attempts = this.#attempts.filter(one => one !== ended);
		}
	}

	#log(event: 'requestAnswered' | 'requestRefused' | 'requestGivenUp', status: number, failure?: Failure): void {
		const {requestId, route, service, isRepeatable} = this.#head;
		this.#options.logger.log(event, {
			request: requestId,
			route,
			service,
			isRepeatable,
			status,
			code: failure?.code,
			detail: failure?.detail,
			tries: this.#request.formatTrace(),
			ms: Math.round(this.#request.getElapsedMs(performance.now())),
		});
	}
}
