/**
 * Runs each request with an idempotency key at most once. All requests with keys created under one caller's terms go to
 * the home node named in the terms, whose sequencer records a key before it forwards the request to an egress.
 */
import {
	Carrier, createFailure, type Exchange, type ExchangeHandler, type Failure, foldResult, type RequestHead,
} from '@limpetbarrow/core';
import {
	keepAfterExpiryMs, keysFullRetryMs, maxAnswerBytes, maxWaitersPerKey,
} from './constants.js';
import {computeRecordBytes, KeyStore} from './key-store.js';
import {KeyedRun} from './keyed-run.js';
import {type PauseDetector} from './pause-detector.js';
import {ResendExchange} from './resend-exchange.js';
import {type SteadyClock} from './steady-clock.js';
import {
	type KeyBounds, type KeyedRequest, type KeyRecord, type ReadKey, type RunResult,
} from './types.js';

/** Dependencies and limits of a sequencer. */
export type SequencerOptions = {
	/** Chooses a backend server and forwards the request to it. */
	readonly next: Carrier;
	readonly readKey: ReadKey;
	readonly clock: SteadyClock;
	readonly pauses: PauseDetector;
	readonly bounds: KeyBounds;
	readonly isStopping: () => boolean;
};

type Waiter = {
	readonly resend: ResendExchange;
	readonly attempt: number;
	readonly bodyDigest: string;
};

function formatRequestIdentity({service, method, path}: RequestHead): string {
	return `${service} ${method} ${path}`;
}

function formatKey({termsId, part}: KeyedRequest): string {
	return `${termsId}:${part}`;
}

/**
 * Replaces a "not run" failure that is not backed by a record. It can be reported only for the first attempt of a key: for
 * a later one, an earlier attempt may still arrive and run.
 */
function replaceUnprovenFailure({attempt}: KeyedRequest, failure: Failure): Failure {
	return attempt === 1 ? failure : createFailure('keyUndecided', failure.detail, failure.retryAfterMs);
}

function createReuseFailure(): Failure {
	return createFailure('keyReused', 'the first request with this key had another method, path or body');
}

/** Stores the outcome of each key in memory until `keepAfterExpiryMs` after the end of the key's terms. */
export class Sequencer extends Carrier {
	readonly #options: SequencerOptions;
	readonly #store: KeyStore;
	readonly #waiters = new Map<string, ReadonlySet<Waiter>>();
	#runningCount = 0;

	constructor(options: SequencerOptions) {
		super();
		this.#options = options;
		this.#store = new KeyStore(options.bounds);
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		return foldResult(
			this.#options.readKey(head),
			failure => this.#refuse(handler, failure),
			keyed => this.#openKeyed(head, keyed, handler),
		);
	}

	/** Removes the keys whose terms ended more than `keepAfterExpiryMs` ago. Returns the number of removed keys. */
	sweep(): number {
		return this.#store.sweep(this.#options.clock.getNow() - keepAfterExpiryMs);
	}

	/** Counts the keys whose request is running. */
	countRunning(): number {
		return this.#runningCount;
	}

	countKeys(): number {
		return this.#store.countKeys();
	}

	countBytes(): number {
		return this.#store.countBytes();
	}

	#openKeyed(head: RequestHead, keyed: KeyedRequest, handler: ExchangeHandler): Exchange {
		const record = this.#store.find(keyed);
		if (!record) {
			return this.#openRun(head, keyed, handler, -1);
		}

		if (record.request !== formatRequestIdentity(head)) {
			return this.#refuse(handler, createReuseFailure());
		}

		return record.outcome.kind === 'refused' && keyed.attempt > record.refusedAttempt
			? this.#openRun(head, keyed, handler, record.refusedAttempt)
			: this.#openResend(keyed, handler);
	}

	/** Runs a key that has no run, unless its terms have ended, a limit is reached, or the node was paused or is stopping. */
	#openRun(head: RequestHead, keyed: KeyedRequest, handler: ExchangeHandler, refusedAttempt: number): Exchange {
		const {clock, pauses, isStopping, next} = this.#options;
		if (clock.getNow() >= keyed.expiresAt) {
			return this.#refuse(handler, createFailure('keyOutcomeUnknown', 'the terms of the key have ended and no outcome is stored'));
		}

		const bytes = computeRecordBytes(keyed, 0);
		if (!this.#store.hasRoom(keyed, bytes + ((this.#runningCount + 1) * maxAnswerBytes))) {
			return this.#refuse(handler, replaceUnprovenFailure(keyed, createFailure('keysFull', 'there is no capacity for more keys now', keysFullRetryMs)));
		}

		if (pauses.isAfterPause()) {
			return this.#refuseAndRecord(head, keyed, handler, createFailure('deadlinePassed', 'the home node was paused while the request waited'));
		}

		if (isStopping()) {
			return this.#refuseAndRecord(head, keyed, handler, createFailure('nodeStopping', 'renew the terms and use a new key'));
		}

		const run = this.#createRun(keyed, handler);
		this.#recordRun(head, keyed, run, refusedAttempt);
		run.open(next, head);
		return run;
	}

	#createRun(keyed: KeyedRequest, handler: ExchangeHandler): KeyedRun {
		return new KeyedRun(handler, {
			recordDigest: bodyDigest => {
				this.#updateRecord(keyed, record => ({...record, bodyDigest}));
			},
			recordResult: result => {
				this.#settleKey(keyed, result);
			},
		});
	}

	#recordRun(head: RequestHead, keyed: KeyedRequest, run: KeyedRun, refusedAttempt: number): void {
		this.#runningCount++;
		this.#store.set(keyed, {
			request: formatRequestIdentity(head), bodyDigest: undefined, refusedAttempt, outcome: {kind: 'running', run}, bytes: computeRecordBytes(keyed, 0),
		});
	}

	#openResend(keyed: KeyedRequest, handler: ExchangeHandler): Exchange {
		if ((this.#waiters.get(formatKey(keyed))?.size ?? 0) >= maxWaitersPerKey) {
			return this.#refuse(handler, createFailure('keyUndecided', 'too many resends of this key wait for its run'));
		}

		const resend: ResendExchange = new ResendExchange(handler, bodyDigest => {
			this.#answerResend(keyed, {resend, attempt: keyed.attempt, bodyDigest});
		}, () => {
			this.#removeWaiter(keyed, resend);
		});
		return resend;
	}

	#answerResend(keyed: KeyedRequest, waiter: Waiter): void {
		const record = this.#store.find(keyed);
		if (!record) {
			waiter.resend.replay({kind: 'unknown', failure: createFailure('keyOutcomeUnknown', 'the terms of the key have ended')});
			return;
		}

		if (record.outcome.kind === 'running') {
			const key = formatKey(keyed);
			this.#waiters.set(key, new Set([...this.#waiters.get(key) ?? [], waiter]));
			return;
		}

		this.#replayResult(keyed, record.outcome, waiter);
	}

	/** Sends the result to a resend. A "not run" result holds for all attempts up to this one, so none of them may run later. */
	#replayResult(keyed: KeyedRequest, result: RunResult, {resend, attempt, bodyDigest}: Waiter): void {
		const record = this.#store.find(keyed)!;
		const isDifferentBody = record.bodyDigest !== undefined && record.bodyDigest !== bodyDigest;
		if (result.kind === 'refused') {
			this.#updateRecord(keyed, existing => ({...existing, refusedAttempt: Math.max(existing.refusedAttempt, attempt)}));
		}

		resend.replay(isDifferentBody ? {kind: 'refused', failure: createReuseFailure()} : result);
	}

	#removeWaiter(keyed: KeyedRequest, resend: ResendExchange): void {
		const key = formatKey(keyed);
		const rest = [...this.#waiters.get(key) ?? []].filter(waiter => waiter.resend !== resend);
		if (rest.length > 0) {
			this.#waiters.set(key, new Set(rest));
		} else {
			this.#waiters.delete(key);
		}
	}

	#settleKey(keyed: KeyedRequest, result: RunResult): void {
		const key = formatKey(keyed);
		const waiters = [...this.#waiters.get(key) ?? []];
		this.#waiters.delete(key);
		this.#runningCount--;
		this.#updateRecord(keyed, record => ({
			...record,
			outcome: result,
			refusedAttempt: result.kind === 'refused' ? keyed.attempt : record.refusedAttempt,
			bytes: computeRecordBytes(keyed, countAnswerBytes(result)),
		}));
		waiters.forEach(waiter => {
			this.#replayResult(keyed, result, waiter);
		});
	}

	#updateRecord(keyed: KeyedRequest, change: (record: KeyRecord) => KeyRecord): void {
		const record = this.#store.find(keyed);
		if (record) {
			this.#store.set(keyed, change(record));
		}
	}

	#refuseAndRecord(head: RequestHead, keyed: KeyedRequest, handler: ExchangeHandler, failure: Failure): Exchange {
		this.#store.set(keyed, {
			request: formatRequestIdentity(head), bodyDigest: undefined, refusedAttempt: keyed.attempt, outcome: {kind: 'refused', failure}, bytes: computeRecordBytes(keyed, 0),
		});
		return this.#refuse(handler, failure);
	}

	/** Refuses the request in a microtask, after the caller has received the exchange. */
	#refuse(handler: ExchangeHandler, failure: Failure): Exchange {
		const resend = new ResendExchange(handler, () => undefined, () => undefined);
		queueMicrotask(() => {
			resend.replay({kind: 'refused', failure});
		});
		return resend;
	}
}

function countAnswerBytes(result: RunResult): number {
	return result.kind === 'answer'
		? result.answer.body.reduce((sum, {length}) => sum + length, 0) + result.answer.head.headers.reduce((sum, {length}) => sum + length, 0)
		: 0;
}
