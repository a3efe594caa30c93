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
export type RunOwner = {
	readonly getLoad: () => LoadHint;
	/** Called once the run has all that it needs before it is started. */
	readonly handleReady: (run: BackendRun) => void;
	/** Finds out whether the backend server still runs; asked where only that tells a whole answer from a part of one. */
	readonly checkServer?: () => Promise<boolean>;
	/** Called when the body has ended before the run is started. */
	readonly handleBodyEnd?: (run: BackendRun) => void;
	/** Called when the run is given up before it was started. */
	readonly handleForgotten: (run: BackendRun) => void;
	/** Called once a started run is over; without an outcome when it says nothing about the backend server. */
	readonly handleDone: (outcome: WorkOutcome | undefined, failure: Failure | undefined) => void;
};

type RunState = 'waiting' | 'running' | 'over';

const firstFinalStatus = 200;
const firstServerError = 500;
/** Answers before the answer (1xx) that a backend server may send for one request. */
const maxInterimAnswers = 16;
const noContent = 204;
const notModified = 304;
/** The client's error for a 304 that names the length of the body it does not have, as HTTP allows. */
const lengthMismatchCode = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';

function decodeHeaders(headers: Dispatcher.DispatchController['rawHeaders']): RawHeaders {
	return Array.isArray(headers) ? headers.map(part => Buffer.isBuffer(part) ? part.toString('latin1') : part) : [];
}

/** True when neither a length nor chunks frame the answer's body. */
function isUnframed(status: number, headers: RawHeaders): boolean {
	const isFramed = findHeader(headers, 'content-length') !== undefined || findHeader(headers, 'transfer-encoding') !== undefined;
	return !isFramed && status !== noContent && status !== notModified;
}

/** Sends one request to a backend server and hands its answer on. */
export class BackendRun extends Exchange {
	readonly #head: RequestHead;
	readonly #handler: ExchangeHandler;
	readonly #owner: RunOwner;
	readonly #protocol: ServerProtocol;
	readonly #openedAt = performance.now();
	readonly #body: RequestBody;
	readonly #bodyForm: BodyForm;
	#state: RunState = 'waiting';
	#controller: Dispatcher.DispatchController | undefined;
	#credit = exchangeWindowBytes;
	#startedAt = 0;
	#timer: NodeJS.Timeout | undefined;
	#status = 0;
	#interimAnswers = 0;
	/** True when the end of the connection is the end of the answer. */
	#isUnframed = false;
	/** Monotonic times: the request's body was whole, the answer's head came. */
	#bodyEndedAt: number | undefined;
	#headAt: number | undefined;

	constructor(head: RequestHead, handler: ExchangeHandler, owner: RunOwner, protocol: ServerProtocol = new PlainServerProtocol()) {
		super();
		this.#head = head;
		this.#handler = handler;
		this.#owner = owner;
		this.#protocol = protocol;
		this.#bodyForm = getBodyForm(head.headers);
		this.#body = new RequestBody(bytes => {
			if (this.#state === 'running') {
				handler.handleCredit(bytes);
			}
		});
	}

	/** True when the run is started before its body has ended. */
	isStreamed(): boolean {
		return this.#bodyForm === 'streamed';
	}

	/** True when the run may be started before its body has arrived. */
	isReady(): boolean {
		return this.#bodyForm !== 'whole';
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
		this.#body.close();
		queueMicrotask(() => {
			this.#handler.handleFailure(failure);
		});
	}

	/** Hands the request over to the backend server. */
	start(pool: Dispatcher): void {
		this.#state = 'running';
		this.#startedAt = performance.now();
		const remainingMs = Math.max(1, Math.floor(this.getRemainingMs()));
		this.#timer = setTimeout(() => {
			this.#handleDeadline();
		}, remainingMs);
		pool.dispatch({
			method: this.#head.method,
			path: this.#head.path,
			headers: [...this.#protocol.createHeaders(this.#head, remainingMs, this.#owner.getLoad().serverId)],
			body: this.#bodyForm === 'none' ? null : this.#body.open(),
			headersTimeout: 0,
			bodyTimeout: 0,
		}, this.#createDispatchHandler());
	}

	override writeBody(chunk: Uint8Array): void {
		if (this.#state !== 'over') {
			this.#body.write(chunk);
		}
	}

	override endBody(): void {
		if (this.#state === 'over') {
			return;
		}

		this.#bodyEndedAt = performance.now();
		this.#body.end();
		if (this.#state !== 'waiting') {
			return;
		}

		this.#owner.handleBodyEnd?.(this);
		if (this.#bodyForm === 'whole') {
			this.#owner.handleReady(this);
		}
	}

	override grantCredit(bytes: number): void {
		this.#credit += bytes;
		if (this.#credit > 0 && this.#controller?.paused) {
			this.#controller.resume();
		}
	}

	/** Gives the request up; the handler is not called again. */
	override cancel(): void {
		if (this.#state === 'waiting') {
			this.#state = 'over';
			this.#body.close();
			this.#owner.handleForgotten(this);
		}

		if (this.#state === 'running') {
			const failure = this.getRemainingMs() <= 1 ? this.#createTimeout() : undefined;
			this.#finish(this.#createOutcome(failure ? 'timedOut' : 'cancelled'), failure);
			this.#controller?.abort(new Error('cancelled'));
		}
	}

	#createDispatchHandler(): Dispatcher.DispatchHandler {
		return {
			onRequestStart: controller => {
				this.#controller = controller;
				if (this.#state === 'over') {
					controller.abort(new Error('cancelled'));
				}
			},
			onResponseStart: (controller, status) => {
				if (this.#state === 'running' && status < firstFinalStatus) {
					this.#handleInterim();
				} else if (this.#state === 'running') {
					const headers = decodeHeaders(controller.rawHeaders);
					this.#isUnframed = isUnframed(status, headers);
					this.#handleHead({status, headers: selectResponseHeaders(headers)});
				}
			},
			onResponseData: (controller, chunk) => {
				if (this.#state !== 'running') {
					return;
				}

				this.#credit -= chunk.length;
				if (this.#credit <= 0) {
					controller.pause();
				}

				this.#handler.handleData(chunk);
			},
			onResponseEnd: () => {
				this.#handleEnd();
			},
			onResponseError: (_controller, error: Error & {readonly code?: string}) => {
				if (this.#status === notModified && error.code === lengthMismatchCode) {
					this.#handleEnd();
				} else {
					this.#handleError(error);
				}
			},
		};
	}

	#handleInterim(): void {
		this.#interimAnswers++;
		if (this.#interimAnswers > maxInterimAnswers) {
			this.#fail(createFailure('serverBroke', `more than ${maxInterimAnswers} answers before the answer`), 'failed');
		}
	}

	#handleHead(answer: ResponseHead): void {
		const failure = this.#protocol.judgeAnswer(this.#head, answer);
		if (failure?.ran === 'not-run') {
			this.#finish(this.#createOutcome('failed'), failure);
			this.#handler.handleFailure(failure);
		} else if (failure) {
			this.#fail(failure, 'failed');
		} else {
			this.#status = answer.status;
			this.#headAt = performance.now();
			this.#handler.handleHead({...answer, load: this.#owner.getLoad(), ...(this.#isUnframed && {isUnframed: true})});
		}
	}

	/** The kernel ends the connections of a process that has crashed in order, so an answer without a length proves nothing then. */
	#handleEnd(): void {
		const {checkServer} = this.#owner;
		if (this.#state !== 'running' || !this.#isUnframed || !checkServer) {
			this.#finishAnswer();
			return;
		}

		void checkServer().then(isRunning => {
			if (isRunning) {
				this.#finishAnswer();
			} else {
				this.#fail(createFailure('serverBroke', 'the backend server ended under an answer without a length'), 'failed');
			}
		});
	}

	#finishAnswer(): void {
		if (this.#state === 'running') {
			this.#finish(this.#createOutcome(this.#status >= firstServerError ? 'failed' : 'answered'), undefined);
			this.#handler.handleEnd();
		}
	}

	#handleDeadline(): void {
		this.#fail(this.#createTimeout(), 'timedOut');
	}

	#createTimeout(): Failure {
		return createFailure(this.#controller ? 'serverTimeout' : 'serverRefused', `no whole answer within ${Math.round(this.#head.remainingMs)} ms`);
	}

	/** Without a controller the client never began to write the request. */
	#handleError(error: Error): void {
		this.#fail(createFailure(this.#controller === undefined ? 'serverRefused' : 'serverBroke', String(error.message)), 'failed');
	}

	#fail(failure: Failure, kind: OutcomeKind): void {
		if (this.#state !== 'running') {
			return;
		}

		this.#finish(this.#createOutcome(kind), failure);
		this.#controller?.abort(new Error(failure.detail));
		this.#handler.handleFailure(failure);
	}

	/**
	 * Counts only the time in which it was the backend server's turn: from the end of the request's body to the head of
	 * the answer, and on while the caller takes more than it gets.
	 */
	#createOutcome(kind: OutcomeKind): WorkOutcome {
		const at = performance.now();
		const turnAt = Math.max(this.#startedAt, this.#bodyEndedAt ?? (this.#bodyForm === 'none' ? this.#startedAt : at));
		const isServersTurn = kind !== 'answered' && this.#credit > 0;
		const untilAt = this.#headAt === undefined || isServersTurn ? at : this.#headAt;
		return {at, kind, durationMs: Math.max(0, untilAt - turnAt)};
	}

	#finish(outcome: WorkOutcome | undefined, failure: Failure | undefined): void {
		clearTimeout(this.#timer);
		this.#state = 'over';
		this.#body.close();
		this.#owner.handleDone(outcome, failure);
	}
}
