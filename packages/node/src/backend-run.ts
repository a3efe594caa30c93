/** One request on its way through a backend server. */
import {type Buffer} from 'node:buffer';
import {PassThrough} from 'node:stream';
import {type Dispatcher} from 'undici';
import {
	createFailure, exchangeWindowBytes, selectHeaders, timeoutHeader, type ExchangeHandler, type Failure, type LoadHint, type RequestHead,
} from '@limpetbarrow/core';
import {type OutcomeKind, type WorkOutcome} from '@limpetbarrow/detect';
import {isForwardedRequestHeader, isForwardedResponseHeader} from './headers.js';

/** What a run needs of its backend server. */
export type RunOwner = {
	readonly getLoad: () => LoadHint;
	/** Called once a started run is over; without an outcome when it says nothing about the backend server. */
	readonly handleDone: (outcome: WorkOutcome | undefined) => void;
};

type RunState = 'waiting' | 'running' | 'over';

const firstServerError = 500;
const notConnectedCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function flattenHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): readonly string[] {
	return Object.entries(headers).flatMap(([name, value]) => [value ?? []].flat().flatMap(single => [name, single]));
}

/** Sends one request to a backend server and hands its answer on. */
export class BackendRun {
	readonly #pool: Dispatcher;
	readonly #head: RequestHead;
	readonly #handler: ExchangeHandler;
	readonly #owner: RunOwner;
	readonly #openedAt = performance.now();
	readonly #body = new PassThrough({highWaterMark: exchangeWindowBytes});
	#state: RunState = 'waiting';
	#controller: Dispatcher.DispatchController | undefined;
	#credit = exchangeWindowBytes;
	#startedAt = 0;
	#timer: NodeJS.Timeout | undefined;
	#status = 0;
	/** Monotonic times: the request's body was whole, the answer's head came. */
	#bodyEndedAt: number | undefined;
	#headAt: number | undefined;

	constructor(pool: Dispatcher, head: RequestHead, handler: ExchangeHandler, owner: RunOwner) {
		this.#pool = pool;
		this.#head = head;
		this.#handler = handler;
		this.#owner = owner;
	}

	isOver(): boolean {
		return this.#state === 'over';
	}

	/** Refuses the request before it was started. */
	refuse(failure: Failure): void {
		this.#state = 'over';
		queueMicrotask(() => {
			this.#handler.handleFailure(failure);
		});
	}

	/** Hands the request over to the backend server. */
	start(): void {
		this.#state = 'running';
		this.#startedAt = performance.now();
		const remainingMs = Math.max(1, Math.floor(this.#head.remainingMs - (this.#startedAt - this.#openedAt)));
		this.#timer = setTimeout(() => {
			this.#fail(createFailure('serverTimeout', `no whole answer within ${this.#head.remainingMs} ms`), 'timedOut');
		}, remainingMs);
		this.#pool.dispatch({
			method: this.#head.method,
			path: this.#head.path,
			headers: [...selectHeaders(this.#head.headers, name => isForwardedRequestHeader(name)), timeoutHeader, String(remainingMs)],
			body: this.#hasBody() ? this.#body : null,
			headersTimeout: 0,
			bodyTimeout: 0,
		}, this.#createDispatchHandler());
	}

	writeBody(chunk: Uint8Array): void {
		this.#body.write(chunk, () => {
			if (this.#state === 'running') {
				this.#handler.handleCredit(chunk.length);
			}
		});
	}

	endBody(): void {
		this.#bodyEndedAt = performance.now();
		this.#body.end();
	}

	grantCredit(bytes: number): void {
		this.#credit += bytes;
		if (this.#credit > 0 && this.#controller?.paused) {
			this.#controller.resume();
		}
	}

	/** Gives the request up; the handler is not called again. */
	cancel(): void {
		if (this.#state === 'running') {
			this.#end(this.#createOutcome('cancelled'));
			this.#controller?.abort(new Error('cancelled'));
		}

		this.#state = 'over';
	}

	#hasBody(): boolean {
		const names = new Set(this.#head.headers.filter((_, position) => position % 2 === 0).map(name => name.toLowerCase()));
		return names.has('content-length') || names.has('transfer-encoding');
	}

	#createDispatchHandler(): Dispatcher.DispatchHandler {
		return {
			onRequestStart: controller => {
				this.#controller = controller;
				if (this.#state === 'over') {
					controller.abort(new Error('cancelled'));
				}
			},
			onResponseStart: (_controller, status, headers) => {
				if (this.#state === 'running' && status >= 200) {
					this.#status = status;
					this.#headAt = performance.now();
					this.#handler.handleHead({
						status,
						headers: selectHeaders(flattenHeaders(headers), name => isForwardedResponseHeader(name)),
						load: this.#owner.getLoad(),
					});
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
				if (this.#state === 'running') {
					this.#end(this.#createOutcome(this.#status >= firstServerError ? 'failed' : 'answered'));
					this.#handler.handleEnd();
				}
			},
			onResponseError: (_controller, error) => {
				this.#handleError(error);
			},
		};
	}

	#handleError(error: Error & {readonly code?: string}): void {
		const isNotConnected = notConnectedCodes.has(error.code ?? '');
		this.#fail(createFailure(isNotConnected ? 'serverRefused' : 'serverBroke', String(error.message)), 'failed');
	}

	#fail(failure: Failure, kind: OutcomeKind): void {
		if (this.#state !== 'running') {
			return;
		}

		this.#end(this.#createOutcome(kind));
		this.#controller?.abort(new Error(failure.detail));
		this.#handler.handleFailure(failure);
	}

	/**
	 * Counts only the time in which it was the backend server's turn: from the end of the request's body to the head of
	 * the answer, and on while the caller takes more than it gets.
	 */
	#createOutcome(kind: OutcomeKind): WorkOutcome {
		const at = performance.now();
		const turnAt = Math.max(this.#startedAt, this.#bodyEndedAt ?? (this.#hasBody() ? at : this.#startedAt));
		const isServersTurn = kind !== 'answered' && this.#credit > 0;
		const untilAt = this.#headAt === undefined || isServersTurn ? at : this.#headAt;
		return {at, kind, durationMs: Math.max(0, untilAt - turnAt)};
	}

	#end(outcome: WorkOutcome | undefined): void {
		clearTimeout(this.#timer);
		this.#state = 'over';
		this.#body.destroy();
		this.#owner.handleDone(outcome);
	}
}
