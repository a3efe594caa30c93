/** One request to a backend server, from its admission to the end of the response. */
import {type Dispatcher} from 'undici';
import {
	createFailure, exchangeWindowBytes, Exchange, type ExchangeHandler, type Failure, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';
import {type OutcomeKind, type WorkOutcome} from '@limpetbarrow/detect';
import {selectResponseHeaders} from '../callers/headers.js';
import {PartCollector} from '../callers/part-collector.js';
import {type BackendExchangeOwner} from './backend-exchange-owner.js';
import {type ConnectionDispatchOptions, type ConnectionRequests} from './connection-requests.js';
import {type EndEvidence} from './end-evidence.js';
import {ExtraResponseScan} from './extra-response-scan.js';
import {HeadRestWait} from './head-rest-wait.js';
import {getBodyForm, RequestBody, type BodyForm} from './request-body.js';
import {computeMaxCancelLead, RequestTiming} from './request-timing.js';
import {decodeHeaders, findBodyBytes, isUnframed} from './response-framing.js';
import {PlainServerProtocol, type ServerProtocol} from './server-protocol.js';

type BackendExchangeState = 'waiting' | 'running' | 'over';

const minFinalStatus = 200;
const minServerErrorStatus = 500;
/** Largest number of interim responses (1xx) that a backend server may send for one request. */
const maxInterimResponses = 16;
const notModifiedStatus = 304;
/** The HTTP client's error for a 304 whose content-length names a body that is not sent, which HTTP allows. */
const contentLengthMismatchCode = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';

/** Sends one request to a backend server and passes its response to the handler. Fails the request at its deadline. */
export class BackendExchange extends Exchange {
	readonly #head: RequestHead;
	readonly #handler: ExchangeHandler;
	readonly #owner: BackendExchangeOwner;
	readonly #protocol: ServerProtocol;
	readonly #openedAt = performance.now();
	readonly #requestBody: RequestBody;
	readonly #requestBodyForm: BodyForm;
	#state: BackendExchangeState = 'waiting';
	#dispatchController: Dispatcher.DispatchController | undefined;
	#responseCredit = exchangeWindowBytes;
	#deadlineTimer: NodeJS.Timeout | undefined;
	#responseStatus = 0;
	#interimResponseCount = 0;
	/** True when the end of the connection ends the response. */
	#isResponseUnframed = false;
	/** Finds the end of the body where the backend server sends more than one response. */
	#scan: ExtraResponseScan | undefined;
	/** Joins small parts of the response's body, which a faulty backend server sends without end. */
	readonly #parts = new PartCollector(part => {
		this.#handler.handleData(part);
	}, {isFirstPassedOn: true});

	#connection: ConnectionRequests | undefined;
	#earlierRequestIds: ReadonlySet<string> = new Set();
	/** Length of the response's body on the connection; undefined if it is sent in chunks or ends with the connection. */
	#bodyLength: number | undefined;
	/** The same; undefined also behind interim responses, whose bytes can't be told from those of the head. */
	#responseBytes: number | undefined;
	readonly #headRestWait = new HeadRestWait();
	readonly #timing = new RequestTiming();

	constructor(head: RequestHead, handler: ExchangeHandler, owner: BackendExchangeOwner, protocol: ServerProtocol = new PlainServerProtocol()) {
		super();
		this.#head = head;
		this.#handler = handler;
		this.#owner = owner;
		this.#protocol = protocol;
		this.#requestBodyForm = getBodyForm(head.headers);
		this.#requestBody = new RequestBody(bytes => {
			if (this.#state === 'running') {
				handler.handleCredit(bytes);
			}
		});
	}

	/** True when the body is streamed, so the exchange may start before the body has ended. */
	isBodyStreamed(): boolean {
		return this.#requestBodyForm === 'streamed';
	}

	/** True when the exchange may start without collecting the body first. */
	isStartableWithoutBody(): boolean {
		return this.#requestBodyForm !== 'whole';
	}

	/** Time left until the deadline, in milliseconds. */
	getRemainingMs(): number {
		return this.#head.remainingMs - (performance.now() - this.#openedAt);
	}

	/** Refuses a request that was not started; does nothing once it was started, refused or cancelled. */
	refuse(failure: Failure): void {
		if (this.#state !== 'waiting') {
			return;
		}

		this.#state = 'over';
		this.#requestBody.close();
		queueMicrotask(() => {
			this.#handler.handleFailure(failure);
		});
	}

	/** Sends the request over a connection of the pool and starts the deadline timer. */
	start(pool: Dispatcher): void {
		this.#state = 'running';
		this.#timing.recordStart(this.#requestBodyForm === 'none');
		const remainingMs = Math.max(1, Math.floor(this.getRemainingMs()));
		this.#deadlineTimer = setTimeout(() => {
			this.#fail(this.#createTimeoutFailure(), 'timedOut');
		}, remainingMs);
		const options: ConnectionDispatchOptions = {
			method: this.#head.method,
			path: this.#head.path,
			headers: [...this.#protocol.createRequestHeaders(this.#head, remainingMs, this.#owner.getLoad().serverId)],
			body: this.#requestBodyForm === 'none' ? null : this.#requestBody.open(),
			headersTimeout: 0,
			bodyTimeout: 0,
			handleConnection: connection => {
				this.#connection = connection;
				this.#earlierRequestIds = connection.recordRequest(this.#head.requestId);
			},
		};
		pool.dispatch(options, this.#createDispatchHandler());
	}

	override writeBody(chunk: Uint8Array): void {
		if (this.#state !== 'over') {
			this.#requestBody.write(chunk);
		}
	}

	override endBody(): void {
		if (this.#state === 'over') {
			return;
		}

		this.#timing.recordBodyEnd();
		this.#requestBody.end();
		if (this.#state !== 'waiting') {
			return;
		}

		this.#owner.handleBodyEnd?.(this);
		if (this.#requestBodyForm === 'whole') {
			this.#owner.handleBodyCollected(this);
		}
	}

	override grantCredit(bytes: number): void {
		this.#responseCredit += bytes;
		if (this.#responseCredit > 0) {
			this.resumeReading();
		}
	}

	/** Reads on if the response is paused for lack of credit; it is paused again at the next part of the body. */
	resumeReading(): void {
		const isHeadRestAwaited = this.#headRestWait.isRunning() && this.#connection?.isOpen() === true;
		if (this.#dispatchController?.paused && !isHeadRestAwaited) {
			this.#dispatchController.resume();
		}
	}

	/**
	 * Cancels the request; the handler is not called again. A started exchange that has reached its deadline is recorded as
	 * timed out instead of cancelled.
	 */
	override cancel(): void {
		if (this.#state === 'waiting') {
			this.#state = 'over';
			this.#requestBody.close();
			this.#owner.handleCancelled(this);
		}

		if (this.#state === 'running') {
			const failure = this.getRemainingMs() <= computeMaxCancelLead(this.#head.remainingMs) ? this.#createTimeoutFailure() : undefined;
			this.#finish(this.#timing.createOutcome(failure ? 'timedOut' : 'cancelled', this.#responseCredit > 0), failure);
			this.#dispatchController?.abort(new Error('cancelled'));
		}
	}

	#createDispatchHandler(): Dispatcher.DispatchHandler {
		return {
			onRequestStart: controller => {
				this.#dispatchController = controller;
				if (this.#state === 'over') {
					controller.abort(new Error('cancelled'));
				}
			},
			onResponseStart: (controller, status) => {
				if (this.#state === 'running' && status < minFinalStatus) {
					this.#handleInterimResponse();
				} else if (this.#state === 'running') {
					this.#handleRawHead({status, headers: decodeHeaders(controller.rawHeaders)});
				}
			},
			onResponseData: (controller, chunk) => {
				// The parser reports an empty part when it resumes with nothing to read.
				if (this.#state !== 'running' || chunk.length === 0) {
					return;
				}

				this.#handleBody(this.#scan!.add(chunk));
				if (this.#responseCredit <= 0) {
					this.#parts.forward();
					controller.pause();
				}

				this.#handleVerdict();
				this.#waitForHeadRest(controller);
			},
			onResponseEnd: () => {
				this.#handleResponseEnd();
			},
			onResponseError: (_controller, error: Error & {readonly code?: string}) => {
				if (this.#responseStatus === notModifiedStatus && error.code === contentLengthMismatchCode) {
					this.#handleResponseEnd();
				} else {
					this.#handleClientError(error);
				}
			},
		};
	}

	#handleInterimResponse(): void {
		this.#interimResponseCount++;
		if (this.#interimResponseCount > maxInterimResponses) {
			this.#fail(createFailure('serverBroke', `more than ${maxInterimResponses} interim responses`), 'failed');
		}
	}

	#handleRawHead(head: ResponseHead): void {
		const {method, requestId} = this.#head;
		this.#isResponseUnframed = isUnframed(method, head);
		this.#bodyLength = findBodyBytes(method, head);
		this.#responseBytes = this.#interimResponseCount > 0 ? undefined : this.#bodyLength;
		this.#scan = new ExtraResponseScan({
			head, requestId, earlierRequestIds: this.#earlierRequestIds, isUnframed: this.#isResponseUnframed, findRequestId: found => this.#protocol.findRequestId(found),
		});
		this.#handleResponseHead({...head, headers: selectResponseHeaders(head.headers)});
	}

	#handleBody(body: Uint8Array): void {
		if (body.length > 0) {
			this.#responseCredit -= body.length;
			this.#connection?.recordBody(body.length);
			this.#parts.add(body);
		}
	}

	/**
	 * Ends the exchange once the scan tells how the response ends. A response is not passed on as whole when another one follows
	 * it on the connection and nothing shows where the first one ended.
	 */
	#handleVerdict(): void {
		const verdict = this.#scan?.getVerdict() ?? 'open';
		if (verdict === 'open' || this.#state !== 'running') {
			return;
		}

		this.#owner.handleExcess?.({requestId: this.#head.requestId, bytes: this.#scan!.countExcessBytes()});
		if (verdict === 'whole') {
			this.#finishResponse();
			this.#dispatchController?.abort(new Error('the response has ended before its connection'));
		} else {
			this.#fail(createFailure('serverBroke', 'another response follows within the response'), 'failed');
		}
	}

	#handleResponseHead(response: ResponseHead): void {
		const failure = this.#protocol.validateResponse(this.#head, response);
		this.#reportServerState(response, failure);
		if (failure) {
			// Closes the connection after a rejection too: a copy of it, sent late, would look like the answer to a later request.
			this.#fail(failure, 'failed');
		} else {
			this.#responseStatus = response.status;
			this.#timing.recordResponseHead();
			this.#handler.handleHead({...response, load: this.#owner.getLoad(), ...(this.#isResponseUnframed && {isUnframed: true})});
		}
	}

	/** A response that is not the backend server's own says nothing of it; a rejection may name a limit, but ends none. */
	#reportServerState(response: ResponseHead, failure: Failure | undefined): void {
		const isRejection = failure?.name === 'serverShed';
		if (failure !== undefined && !isRejection) {
			return;
		}

		const limit = this.#protocol.findLimit(response);
		if (limit && (!isRejection || limit.perSecond !== undefined)) {
			this.#owner.handleLimit?.(limit);
		}

		if (this.#protocol.isLeaving(response)) {
			this.#owner.handleLeaving?.();
		}
	}

	#handleResponseEnd(): void {
		if (!this.#isResponseUnframed) {
			this.#connection?.recordResponseEnd(this.#responseBytes);
		}

		if (this.#state === 'running' && this.#scan) {
			this.#finishScan(this.#scan);
		}

		if (this.#state !== 'running' || !this.#isResponseUnframed) {
			this.#finishResponse();
			return;
		}

		this.#owner.handleServerDone();
		void this.#judgeEnd().then(evidence => {
			this.#owner.reportEnd?.(this.#head.requestId, evidence);
			if (evidence.isProven) {
				this.#finishResponse();
			} else {
				this.#fail(createFailure('serverBroke', `nothing shows that a response without a length is complete: ${evidence.reason}`), 'failed');
			}
		});
	}

	#waitForHeadRest(controller: Dispatcher.DispatchController): void {
		if (this.#state === 'running' && this.#bodyLength !== undefined && this.#scan!.countBytes() >= this.#bodyLength && this.#scan!.isEndUnclear()) {
			this.#headRestWait.start(controller);
		}
	}

	/** Ends the scan with the response. A body with a length that another response has filled up is not whole. */
	#finishScan(scan: ExtraResponseScan): void {
		const isFilledUp = this.#bodyLength !== undefined && scan.isEndUnclear() && this.#connection?.isBrokenBehindResponse() === true;
		const rest = scan.finish();
		if (isFilledUp) {
			this.#owner.handleExcess?.({requestId: this.#head.requestId, bytes: rest.length + this.#connection!.countExcessBytes()});
			this.#fail(createFailure('serverBroke', 'another response follows within the response'), 'failed');
		} else {
			this.#handleBody(rest);
			this.#handleVerdict();
		}
	}

	/**
	 * When a process crashes, the kernel closes its connections in the normal way, so the end of the connection does not
	 * prove that a response without a length is complete. Such a response counts only if the process still runs.
	 */
	async #judgeEnd(): Promise<EndEvidence> {
		return this.#connection?.isReset() === true ? {isProven: false, reason: 'connectionReset'} : this.#owner.judgeEnd();
	}

	#finishResponse(): void {
		if (this.#isRunningAfterParts()) {
			this.#finish(this.#timing.createOutcome(this.#responseStatus >= minServerErrorStatus ? 'failed' : 'answered', this.#responseCredit > 0), undefined);
			this.#handler.handleEnd();
		}
	}

	/** Passes on what is held of the body. Returns false if the exchange was over, or its handler has cancelled it now. */
	#isRunningAfterParts(): boolean {
		if (this.#state === 'running') {
			this.#parts.forward();
		}

		return this.#state === 'running';
	}

	#createTimeoutFailure(): Failure {
		return createFailure(this.#dispatchController ? 'serverTimeout' : 'serverRefused', `no complete response within ${Math.round(this.#head.remainingMs)} ms`);
	}

	/** Without a dispatch controller the client never began to write the request, so the backend server did not run it. */
	#handleClientError(error: Error): void {
		this.#fail(createFailure(this.#dispatchController === undefined ? 'serverRefused' : 'serverBroke', String(error.message)), 'failed');
	}

	#fail(failure: Failure, kind: OutcomeKind): void {
		if (!this.#isRunningAfterParts()) {
			return;
		}

		this.#finish(this.#timing.createOutcome(kind, this.#responseCredit > 0), failure);
		this.#dispatchController?.abort(new Error(failure.detail));
		this.#handler.handleFailure(failure);
	}

	#finish(outcome: WorkOutcome | undefined, failure: Failure | undefined): void {
		clearTimeout(this.#deadlineTimer);
		this.#headRestWait.stop();
		this.#state = 'over';
		this.#parts.clear();
		this.#requestBody.close();
		this.#owner.handleFinished(outcome, failure);
	}
}
