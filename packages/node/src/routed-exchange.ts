/** One routed request: its hand-overs, one after the other or, for one that hangs, two at a time. */
import {
	createFailure, Exchange, exchangeWindowBytes, type ExchangeHandler, type Failure, type Logger, type MetricRegistry, type RequestHead,
} from '@limpetbarrow/core';
import {
	type Candidate, type PathHealth, type SpilloverChoice, type Tier,
} from '@limpetbarrow/choose';
import {BufferedAnswer} from './buffered-answer.js';
import {type FindEgress} from './forwarder.js';
import {type LoadTracker} from './load-tracker.js';
import {replaceLength} from './request-body.js';
import {isGateRefusal, RoutedRequest} from './routed-request.js';

/** What the hand-overs of a request need. */
export type RoutedExchangeOptions = {
	readonly chooseStep: (request: RoutedRequest) => SpilloverChoice | undefined;
	readonly findEgress: FindEgress;
	readonly loads: LoadTracker;
	readonly paths: PathHealth;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
	readonly pickRandom: () => number;
};

type Try = {
	readonly candidate: Candidate;
	readonly exchange: Exchange;
	readonly answer: BufferedAnswer;
	/** True once the body may be sent: only then can the request run. */
	readonly isAccepted: boolean;
	readonly acceptTimer: NodeJS.Timeout | undefined;
	readonly hedgeTimer: NodeJS.Timeout | undefined;
};

const firstServerError = 500;
/** Time below which nothing more is tried, in milliseconds. */
const leastRemainingMs = 10;
/** Share of the objective after which a request that may be repeated is handed to a second backend server as well. */
const hedgeShare = 0.6;
/** Time in which another node says whether it takes a request, by its distance, in milliseconds: some round trips and a busy moment. */
const acceptTimeouts: Readonly<Record<Tier, number>> = {
	host: 0, failureDomain: 150, region: 150, remote: 300,
};
const pathFailures: ReadonlySet<string> = new Set(['linkUnreachable', 'linkLost']);

/** Tries a request, again elsewhere when that is safe and within the budget. */
export class RoutedExchange extends Exchange {
	readonly #request: RoutedRequest;
	readonly #handler: ExchangeHandler;
	readonly #options: RoutedExchangeOptions;
	#head: RequestHead;
	#tries: readonly Try[] = [];
	#sent: readonly Uint8Array[] = [];
	#sentBytes = 0;
	#isBodyEnded = false;
	#isBegun = false;
	#isOver = false;
	/** The try whose answer is on its way to the caller. */
	#chosen: Try | undefined;
	/** A server error that is delivered if nothing better comes. */
	#fallback: BufferedAnswer | undefined;

	constructor(head: RequestHead, handler: ExchangeHandler, options: RoutedExchangeOptions) {
		super();
		this.#head = head;
		this.#request = new RoutedRequest(head, performance.now());
		this.#handler = handler;
		this.#options = options;
	}

	override writeBody(chunk: Uint8Array): void {
		if (this.#isOver) {
			return;
		}

		this.#sentBytes += chunk.length;
		if (this.#isReplayable()) {
			this.#sent = [...this.#sent, chunk];
			return;
		}

		this.#startTries();
		this.#listAccepted().forEach(({exchange}) => {
			exchange.writeBody(chunk);
		});
	}

	override endBody(): void {
		this.#isBodyEnded = true;
		if (this.#isBegun) {
			this.#listAccepted().forEach(({exchange}) => {
				exchange.endBody();
			});
			return;
		}

		this.#head = replaceLength(this.#head, this.#sentBytes);
		this.#startTries();
	}

	override grantCredit(bytes: number): void {
		this.#chosen?.exchange.grantCredit(bytes);
	}

	override cancel(): void {
		if (!this.#isOver) {
			this.#finish();
			this.#log('requestGivenUp', 0);
		}
	}

	#startTries(): void {
		if (!this.#isBegun) {
			this.#isBegun = true;
			this.#continue();
		}
	}

	/** The whole body is still held, and none of it was sent as a stream. */
	#isReplayable(): boolean {
		return this.#sentBytes <= exchangeWindowBytes && !(this.#isBegun && !this.#isBodyEnded);
	}

	/** Hands the request to the next backend server, or ends it when there is none. */
	#continue(): void {
		const now = performance.now();
		const remainingMs = this.#request.getRemainingMs(now);
		const step = remainingMs > leastRemainingMs ? this.#options.chooseStep(this.#request) : undefined;
		if (!step || !this.#request.hasStep(step.isLastResort)) {
			this.#endTries();
			return;
		}

		this.#open(step, remainingMs);
	}

	#open({candidate, tier, patienceMs, isLastResort}: SpilloverChoice, remainingMs: number): void {
		const {nodeId, server} = candidate;
		const earlierAttempts = this.#request.countHanded();
		this.#request.recordStep(server.id, tier, isLastResort);
		const egress = this.#options.findEgress(nodeId);
		if (!egress) {
			this.#request.recordFailure(server.id, createFailure('linkUnreachable', `node ${nodeId} is not known`), performance.now());
			this.#continue();
			return;
		}

		this.#options.loads.add(server.id, 1);
		const answer = new BufferedAnswer();
		const head: RequestHead = {
			...this.#head, target: {kind: 'egress', serverId: server.id}, remainingMs, patienceMs: Math.round(patienceMs), isLastResort, earlierAttempts,
		};
		const exchange = egress.openExchange(head, this.#createHandler(candidate, answer));
		this.#tries = [...this.#tries, {
			candidate, exchange, answer, isAccepted: false, acceptTimer: this.#startAcceptTimer(candidate, answer, tier), hedgeTimer: this.#startHedgeTimer(),
		}];
		if (tier === 'host') {
			this.#sendBody(answer);
		}
	}

	#listAccepted(): readonly Try[] {
		return this.#tries.filter(({isAccepted}) => isAccepted);
	}

	/** Sends the body, whose end is the other side's word to run the request. */
	#sendBody(answer: BufferedAnswer): void {
		const accepted = this.#tries.find(one => one.answer === answer);
		if (accepted === undefined || accepted.isAccepted) {
			return;
		}

		clearTimeout(accepted.acceptTimer);
		this.#tries = this.#tries.map(one => one === accepted ? {...one, isAccepted: true} : one);
		this.#sent.forEach(chunk => {
			accepted.exchange.writeBody(chunk);
		});
		if (this.#isBodyEnded) {
			accepted.exchange.endBody();
		}
	}

	/** Without a word in time the way is taken to be cut. Nothing has run, as the body was not sent. */
	#startAcceptTimer(candidate: Candidate, answer: BufferedAnswer, tier: Tier): NodeJS.Timeout | undefined {
		const timeoutMs = acceptTimeouts[tier];
		return timeoutMs === 0
			? undefined
			: setTimeout(() => {
				const late = this.#tries.find(one => one.answer === answer);
				this.#removeTry(answer);
				late?.exchange.cancel();
				this.#options.paths.recordFailure(candidate.nodeId, performance.now());
				this.#handleFailure(candidate, answer, createFailure('linkUnreachable', `node ${candidate.nodeId} did not answer within ${timeoutMs} ms`));
			}, timeoutMs);
	}

	#startHedgeTimer(): NodeJS.Timeout | undefined {
		const {isRepeatable, objectiveMs, remainingMs} = this.#head;
		return isRepeatable && this.#isReplayable()
			? setTimeout(() => {
				this.#openHedge();
			}, (objectiveMs ?? remainingMs) * hedgeShare)
			: undefined;
	}

	#openHedge(): void {
		if (!this.#isOver && !this.#chosen && this.#tries.length === 1 && this.#request.hasAttempt()) {
			this.#options.metrics.addCount('ingress_hedges_total');
			this.#continue();
		}
	}

	#createHandler(candidate: Candidate, answer: BufferedAnswer): ExchangeHandler {
		const {loads, paths} = this.#options;
		const {nodeId, server} = candidate;
		return {
			handleHead(head) {
				paths.recordSuccess(nodeId, performance.now());
				if (head.load) {
					loads.recordHint(head.load);
				}

				answer.setHead(head);
			},
			handleData: chunk => {
				const isFull = !answer.addChunk(chunk);
				if (isFull) {
					this.#choose(answer);
				}
			},
			handleCredit: bytes => {
				this.#handler.handleCredit(bytes);
			},
			handleAccepted: () => {
				paths.recordSuccess(nodeId, performance.now());
				this.#sendBody(answer);
			},
			handleEnd: () => {
				this.#removeTry(answer);
				this.#request.recordAnswer(server.id, answer.getStatus(), performance.now());
				this.#handleAnswer(answer);
			},
			handleFailure: failure => {
				this.#removeTry(answer);
				if (pathFailures.has(failure.name)) {
					paths.recordFailure(nodeId, performance.now());
				}

				this.#handleFailure(candidate, answer, failure);
			},
		};
	}

	/** A server error is worth another try while one is allowed; a second try under way decides first. */
	#handleAnswer(answer: BufferedAnswer): void {
		if (this.#isOver) {
			return;
		}

		const isRetryable = answer.getStatus() >= firstServerError && this.#head.isRepeatable && !this.#chosen;
		if (isRetryable && this.#tries.length > 0) {
			this.#fallback ??= answer;
		} else if (isRetryable && this.#isReplayable() && this.#request.hasAttempt()) {
			this.#fallback ??= answer;
			this.#options.metrics.addCount('ingress_retries_total');
			this.#continue();
		} else {
			this.#answer(answer);
		}
	}

	#handleFailure({server}: Candidate, answer: BufferedAnswer, failure: Failure): void {
		this.#request.recordFailure(server.id, failure, performance.now());
		if (this.#isOver) {
			return;
		}

		if (this.#chosen?.answer === answer) {
			this.#fail(failure);
			return;
		}

		if (failure.retryAfterMs !== undefined) {
			this.#options.loads.recordHint({
				serverId: server.id, freeSlots: 0, queued: 0, waitMs: failure.retryAfterMs,
			});
		} else if (failure.name === 'serverUnwell' || failure.name === 'serverShed') {
			this.#options.loads.recordHint({
				serverId: server.id, freeSlots: 0, queued: 0, ...(failure.name === 'serverShed' ? {isShedding: true} : {isUnwell: true}),
			});
		}

		if (this.#tries.length > 0 && !isGateRefusal(failure)) {
			return;
		}

		if (this.#isContinued(failure)) {
			this.#continue();
		} else {
			this.#endTries();
		}
	}

	#isContinued(failure: Failure): boolean {
		if (!this.#isReplayable()) {
			return false;
		}

		if (isGateRefusal(failure)) {
			return true;
		}

		const isSafe = failure.ran === 'not-run' || this.#head.isRepeatable;
		const isContinued = isSafe && this.#request.hasAttempt();
		if (isContinued) {
			this.#options.metrics.addCount('ingress_retries_total');
		}

		return isContinued;
	}

	/** Streams an answer that is larger than the buffer. */
	#choose(answer: BufferedAnswer): void {
		const chosen = this.#tries.find(one => one.answer === answer);
		if (!this.#isOver && !this.#chosen && chosen) {
			this.#chosen = chosen;
			this.#tries.filter(one => one !== chosen).forEach(one => {
				this.#cancelTry(one);
			});
			answer.release(this.#handler);
		}
	}

	#answer(answer: BufferedAnswer): void {
		this.#finish();
		this.#log('requestAnswered', answer.getStatus());
		answer.release(this.#handler);
		this.#handler.handleEnd();
	}

	/** No try is left: the server error that came before is the answer, else the failure. */
	#endTries(): void {
		if (this.#tries.length > 0 || this.#isOver) {
			return;
		}

		if (this.#fallback) {
			this.#answer(this.#fallback);
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
		this.#isOver = true;
		this.#tries.forEach(one => {
			this.#cancelTry(one);
		});
	}

	#cancelTry({candidate, exchange, answer}: Try): void {
		this.#removeTry(answer);
		this.#request.recordFailure(candidate.server.id, createFailure('callerGone', 'cancelled'), performance.now());
		exchange.cancel();
	}

	#removeTry(answer: BufferedAnswer): void {
		const ended = this.#tries.find(one => one.answer === answer);
		if (ended) {
			clearTimeout(ended.acceptTimer);
			clearTimeout(ended.hedgeTimer);
			this.#options.loads.add(ended.candidate.server.id, -1);
			this.#tries = this.#tries.filter(one => one !== ended);
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
