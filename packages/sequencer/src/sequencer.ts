/**
 * Runs each keyed request at most once. All requests with keys minted under one caller's terms come to the node named
 * as home in the terms, whose sequencer records a key before the request goes to any egress.
 */
import {
	Carrier, createFailure, Exchange, type ExchangeHandler, type Failure, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';

/** A whole answer that is kept for resends. */
export type KeptAnswer = {
	readonly head: ResponseHead;
	readonly body: readonly Uint8Array[];
};

type Outcome
	= | {readonly kind: 'running'; readonly waiters: ReadonlySet<ExchangeHandler>}
		| {readonly kind: 'answer'; readonly answer: KeptAnswer}
		| {readonly kind: 'failure'; readonly failure: Failure};

type KeyRecord = {
	readonly outcome: Outcome;
	/** Monotonic time, in milliseconds. */
	readonly recordedAt: number;
};

const maxKeptBodyBytes = 65_536;
const keepMs = 900_000;

class RecordedExchange extends Exchange {
	readonly #inner: Exchange;

	constructor(inner: Exchange) {
		super();
		this.#inner = inner;
	}

	override writeBody(chunk: Uint8Array): void {
		this.#inner.writeBody(chunk);
	}

	override endBody(): void {
		this.#inner.endBody();
	}

	override grantCredit(bytes: number): void {
		this.#inner.grantCredit(bytes);
	}

	/** The run goes on without its caller, so that a resend finds the outcome. */
	override cancel(): void {
		// Nothing to cancel.
	}
}

class ReplayExchange extends Exchange {
	override writeBody(_chunk: Uint8Array): void {
		// The body of a resend is not needed.
	}

	override endBody(): void {
		// The body of a resend is not needed.
	}

	override grantCredit(_bytes: number): void {
		// Kept answers fit the first window.
	}

	override cancel(): void {
		// Nothing to cancel.
	}
}

/** Keeps the outcome of each key in memory for the life of the process, bounded by time. */
export class Sequencer extends Carrier {
	readonly #next: Carrier;
	readonly #records = new Map<string, KeyRecord>();

	/** `next` chooses a backend server and carries the request to it. */
	constructor(next: Carrier) {
		super();
		this.#next = next;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const key = head.idempotencyKey ?? '';
		const known = this.#records.get(key);
		if (known) {
			this.#replay(key, known, handler);
			return new ReplayExchange();
		}

		this.#records.set(key, {outcome: {kind: 'running', waiters: new Set()}, recordedAt: performance.now()});
		return new RecordedExchange(this.#next.openExchange(head, this.#createRecorder(key, handler)));
	}

	/** Drops outcomes older than any terms they were recorded under. */
	sweep(): void {
		const oldest = performance.now() - keepMs;
		[...this.#records]
			.filter(([, {recordedAt, outcome}]) => recordedAt < oldest && outcome.kind !== 'running')
			.forEach(([key]) => {
				this.#records.delete(key);
			});
	}

	/** Number of keys whose request is running. */
	countRunning(): number {
		return [...this.#records.values()].filter(({outcome}) => outcome.kind === 'running').length;
	}

	#replay(key: string, record: KeyRecord, handler: ExchangeHandler): void {
		const {outcome} = record;
		if (outcome.kind === 'running') {
			this.#records.set(key, {...record, outcome: {kind: 'running', waiters: new Set([...outcome.waiters, handler])}});
			return;
		}

		queueMicrotask(() => {
			sendOutcome(outcome, handler);
		});
	}

	#createRecorder(key: string, handler: ExchangeHandler): ExchangeHandler {
		let head: ResponseHead | undefined;
		const chunks: Uint8Array[] = [];
		let size = 0;
		return {
			...handler,
			handleHead(received) {
				head = received;
				handler.handleHead(received);
			},
			handleData(chunk) {
				size += chunk.length;
				if (size <= maxKeptBodyBytes) {
					chunks.push(chunk);
				}

				handler.handleData(chunk);
			},
			handleEnd: () => {
				this.#settle(key, size <= maxKeptBodyBytes
					? {kind: 'answer', answer: {head: head!, body: chunks}}
					: {kind: 'failure', failure: createFailure('answerNotKept', `the answer has ${size} bytes`)});
				handler.handleEnd();
			},
			handleFailure: failure => {
				this.#settle(key, {kind: 'failure', failure});
				handler.handleFailure(failure);
			},
		};
	}

	/** Keeps the outcome and tells the waiters. A request that did not run leaves no record, so that it may be sent again. */
	#settle(key: string, outcome: Exclude<Outcome, {readonly kind: 'running'}>): void {
		const record = this.#records.get(key);
		const waiters = record?.outcome.kind === 'running' ? [...record.outcome.waiters] : [];
		if (outcome.kind === 'failure' && outcome.failure.ran === 'not-run') {
			this.#records.delete(key);
		} else {
			this.#records.set(key, {outcome, recordedAt: performance.now()});
		}

		waiters.forEach(waiter => {
			sendOutcome(outcome, waiter);
		});
	}
}

function sendOutcome(outcome: Exclude<Outcome, {readonly kind: 'running'}>, handler: ExchangeHandler): void {
	if (outcome.kind === 'failure') {
		handler.handleFailure(outcome.failure);
		return;
	}

	handler.handleHead(outcome.answer.head);
	outcome.answer.body.forEach(chunk => {
		handler.handleData(chunk);
	});
	handler.handleEnd();
}
