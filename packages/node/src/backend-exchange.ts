/** One request on its way through a backend server. */
import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {
	createFailure, exchangeWindowBytes, Exchange, findHeader, type ExchangeHandler, type Failure, type LoadHint, type RawHeaders, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';
import {type OutcomeKind, type WorkOutcome} from '@limpetbarrow/detect';
import {selectResponseHeaders} from './headers.js';
import {getBodyForm, RequestBody, type BodyForm} from './request-body.js';
import {PlainServerProtocol, type ServerProtocol} from './server-protocol.js';

/** What a run needs of its backend server. */
export type BackendExchangeOwner = {
	readonly getLoad: () => LoadHint;
	/** Called once the run has all that it needs before it is started. */
	readonly handleBodyCollected: (run: BackendExchange) => void;
	/** Finds out whether the backend server still runs; asked where only that tells a whole answer from a part of one. */
	readonly checkServerRunning?: () => Promise<boolean>;
	/** Called when the body has ended before the run is started. */
	readonly handleBodyEnd?: (run: BackendExchange) => void;
	/** Called when the run is given up before it was started. */
	readonly handleCancelled: (run: BackendExchange) => void;
	/** Called once a started run is over; without an outcome when it says nothing about the backend server. */
	readonly handleFinished: (outcome: WorkOutcome | undefined, failure: Failure | undefined) => void;
};

type BackendExchangeState = 'waiting' | 'running' | 'over';

const minFinalStatus = 200;
const minServerErrorStatus = 500;
/** Answers before the answer (1xx) that a backend server may send for one request. */
const maxInterimResponses = 16;
const noContentStatus = 204;
const notModifiedStatus = 304;
/** The client's error for a 304 that names the length of the body it does not have, as HTTP allows. */
const contentLengthMismatchCode = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';

function decodeHeaders(headers: Dispatcher.DispatchController['rawHeaders']): RawHeaders {
	return Array.isArray(headers) ? headers.map(part => Buffer.isBuffer(part) ? part.toString('latin1') : part) : [];
}

/** True when neither a length nor chunks frame the answer's body. */
function isUnframed(status: number, headers: RawHeaders): boolean {
	const isFramed = findHeader(headers, 'content-length') !== undefined || findHeader(headers, 'transfer-encoding') !== undefined;
	return !isFramed && status !== noContentStatus && status !== notModifiedStatus;
}

/** Sends one request to a backend server and hands its answer on. */
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
	#startedAt = 0;
	#deadlineTimer: NodeJS.Timeout | undefined;
	#responseStatus = 0;
	#interimResponseCount = 0;
	/** True when the end of the connection is the end of the answer. */
	#isResponseUnframed = false;
	/** Monotonic times: the request's body was whole, the answer's head came. */
	#requestBodyEndedAt: number | undefined;
	#responseHeadAt: number | undefined;

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

	/** True when the run is started before its body has ended. */
	isBodyStreamed(): boolean {
		return this.#requestBodyForm === 'streamed';
	}

	/** True when the run may be started before its body has arrived. */
	isStartableWithoutBody(): boolean {
		return this.#requestBodyForm !== 'whole';
	}

	/** Time left until the deadline, in milliseconds. */
	getRemainingMs(): number {
		return this.#head.remainingMs - (performance.now() - this.#openedAt);
	}

	/** Refuses the request before it was started. */
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

	/** Hands the request over to the backend server. */
	start(pool: Dispatcher): void {
		this.#state = 'running';
		this.#startedAt = performance.now();
		const remainingMs = Math.max(1, Math.floor(this.getRemainingMs()));
		this.#deadlineTimer = setTimeout(() => {
			this.#handleDeadline();
		}, remainingMs);
		pool.dispatch({
			method: this.#head.method,
			path: this.#head.path,
			headers: [...this.#protocol.createRequestHeaders(this.#head, remainingMs, this.#owner.getLoad().serverId)],
			body: this.#requestBodyForm === 'none' ? null : this.#requestBody.open(),
			headersTimeout: 0,
			bodyTimeout: 0,
		}, this.#createDispatchHandler());
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

		this.#requestBodyEndedAt = performance.now();
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
		if (this.#responseCredit > 0 && this.#dispatchController?.paused) {
			this.#dispatchController.resume();
		}
	}

	/** Gives the request up; the handler is not called again. */
	override cancel(): void {
		if (this.#state === 'waiting') {
			this.#state = 'over';
			this.#requestBody.close();
			this.#owner.handleCancelled(this);
		}

		if (this.#state === 'running') {
			const failure = this.getRemainingMs() <= 1 ? this.#createTimeoutFailure() : undefined;
			this.#finish(this.#createOutcome(failure ? 'timedOut' : 'cancelled'), failure);
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
					const headers = decodeHeaders(controller.rawHeaders);
					this.#isResponseUnframed = isUnframed(status, headers);
					this.#handleResponseHead({status, headers: selectResponseHeaders(headers)});
				}
			},
			onResponseData: (controller, chunk) => {
				if (this.#state !== 'running') {
					return;
				}

				this.#responseCredit -= chunk.length;
				if (this.#responseCredit <= 0) {
					controller.pause();
				}

				this.#handler.handleData(chunk);
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
			this.#fail(createFailure('serverBroke', `more than ${maxInterimResponses} answers before the answer`), 'failed');
		}
	}

	#handleResponseHead(response: ResponseHead): void {
		const failure = this.#protocol.validateResponse(this.#head, response);
		if (failure?.ran === 'not-run') {
			this.#finish(this.#createOutcome('failed'), failure);
			this.#handler.handleFailure(failure);
		} else if (failure) {
			this.#fail(failure, 'failed');
		} else {
			this.#responseStatus = response.status;
			this.#responseHeadAt = performance.now();
			this.#handler.handleHead({...response, load: this.#owner.getLoad(), ...(this.#isResponseUnframed && {isUnframed: true})});
		}
	}

	/** The kernel ends the connections of a process that has crashed in order, so an answer without a length proves nothing then. */
	#handleResponseEnd(): void {
		const {checkServerRunning} = this.#owner;
		if (this.#state !== 'running' || !this.#isResponseUnframed || !checkServerRunning) {
			this.#finishResponse();
			return;
		}

		void checkServerRunning().then(isRunning => {
			if (isRunning) {
				this.#finishResponse();
			} else {
				this.#fail(createFailure('serverBroke', 'the backend server ended under an answer without a length'), 'failed');
			}
		});
	}

	#finishResponse(): void {
		if (this.#state === 'running') {
			this.#finish(this.#createOutcome(this.#responseStatus >= minServerErrorStatus ? 'failed' : 'answered'), undefined);
			this.#handler.handleEnd();
		}
	}

	#handleDeadline(): void {
		this.#fail(this.#createTimeoutFailure(), 'timedOut');
	}

	#createTimeoutFailure(): Failure {
		return createFailure(this.#dispatchController ? 'serverTimeout' : 'serverRefused', `no whole answer within ${Math.round(this.#head.remainingMs)} ms`);
	}

	/** Without a controller the client never began to write the request. */
	#handleClientError(error: Error): void {
		this.#fail(createFailure(this.#dispatchController === undefined ? 'serverRefused' : 'serverBroke', String(error.message)), 'failed');
	}

	#fail(failure: Failure, kind: OutcomeKind): void {
		if (this.#state !== 'running') {
			return;
		}

		this.#finish(this.#createOutcome(kind), failure);
		this.#dispatchController?.abort(new Error(failure.detail));
		this.#handler.handleFailure(failure);
	}

	/**
	 * Counts only the time in which it was the backend server's turn: from the end of the request's body to the head of
	 * the answer, and on while the caller takes more than it gets.
	 */
	#createOutcome(kind: OutcomeKind): WorkOutcome {
		const at = performance.now();
		const serverTimeFrom = Math.max(this.#startedAt, this.#requestBodyEndedAt ?? (this.#requestBodyForm === 'none' ? this.#startedAt : at));
		const isWaitingForServer = kind !== 'answered' && this.#responseCredit > 0;
		const serverTimeUntil = this.#responseHeadAt === undefined || isWaitingForServer ? at : this.#responseHeadAt;
		return {at, kind, durationMs: Math.max(0, serverTimeUntil - serverTimeFrom)};
	}

	#finish(outcome: WorkOutcome | undefined, failure: Failure | undefined): void {
		clearTimeout(this.#deadlineTimer);
		this.#state = 'over';
		this.#requestBody.close();
		this.#owner.handleFinished(outcome, failure);
	}
}
