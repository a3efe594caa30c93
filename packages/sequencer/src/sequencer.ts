/**
 * Runs each keyed request at most once. All requests with keys minted under one caller's terms come to the node named
 * as home in the terms, whose sequencer records a key before the request goes to any egress.
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

/** What a sequencer works with. */
export type SequencerOptions = {
	/** Chooses a backend server and carries the request to it. */
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

function formatRequest({service, method, path}: RequestHead): string {
	return `${service} ${method} ${path}`;
}

function formatKey({termsId, part}: KeyedRequest): string {
	return `${termsId}:${part}`;
}

/** "Not run" may be said without a record only of the first send of a key; an earlier send might still come. */
function replaceUnproven({attempt}: KeyedRequest, failure: Failure): Failure {
	return attempt === 1 ? failure : createFailure('keyUndecided', failure.detail, failure.retryAfterMs);
}

function createReuseFailure(): Failure {
	return createFailure('keyReused', 'the first request with this key had another method, path or body');
}

/** Keeps the outcome of each key in memory until the key's terms have ended. */
export class Sequencer extends Carrier {
	readonly #options: SequencerOptions;
	readonly #store: KeyStore;
	readonly #waiters = new Map<string, ReadonlySet<Waiter>>();
	#running = 0;

	constructor(options: SequencerOptions) {
		super();
		this.#options = options;
		this.#store = new KeyStore(options.bounds);
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		return foldResult(
			this.#options.readKey(head),
			failure => this.#refuse(handler, failure),
			keyed => this.#open(head, keyed, handler),
		);
	}

	/** Drops the keys of ended terms; returns how many. */
	sweep(): number {
		return this.#store.sweep(this.#options.clock.getNow() - keepAfterExpiryMs);
	}

	/** Number of keys whose request is running. */
	countRunning(): number {
		return this.#running;
	}

	countKeys(): number {
		return this.#store.countKeys();
	}

	countBytes(): number {
		return this.#store.countBytes();
	}

	#open(head: RequestHead, keyed: KeyedRequest, handler: ExchangeHandler): Exchange {
		const record = this.#store.find(keyed);
		if (!record) {
			return this.#openNew(head, keyed, handler, -1);
		}

		if (record.request !== formatRequest(head)) {
			return this.#refuse(handler, createReuseFailure());
		}

		return record.outcome.kind === 'refused' && keyed.attempt > record.refusedAttempt
			? this.#openNew(head, keyed, handler, record.refusedAttempt)
			: this.#openResend(keyed, handler);
	}

	/** Runs a key that has no run, unless something forbids it. */
	#openNew(head: RequestHead, keyed: KeyedRequest, handler: ExchangeHandler, refusedAttempt: number): Exchange {
		const {clock, pauses, isStopping, next} = this.#options;
		if (clock.getNow() >= keyed.expiresAt) {
			return this.#refuse(handler, createFailure('keyOutcomeUnknown', 'the terms of the key have ended and no outcome is kept'));
		}

		const bytes = computeRecordBytes(keyed, 0);
		if (!this.#store.hasRoom(keyed, bytes + ((this.#running + 1) * maxAnswerBytes))) {
			return this.#refuse(handler, replaceUnproven(keyed, createFailure('keysFull', 'no more keys are kept now', keysFullRetryMs)));
		}

		if (pauses.isAfterPause()) {
			return this.#refuseRecorded(head, keyed, handler, createFailure('deadlinePassed', 'the home was paused while the request waited'));
		}

		if (isStopping()) {
			return this.#refuseRecorded(head, keyed, handler, createFailure('nodeStopping', 'renew the terms and use a new key'));
		}

		const run = this.#createRun(keyed, handler);
		this.#recordRun(head, keyed, run, refusedAttempt);
		run.open(next, head);
		return run;
	}

	#createRun(keyed: KeyedRequest, handler: ExchangeHandler): KeyedRun {
		return new KeyedRun(handler, {
			recordDigest: bodyDigest => {
				this.#update(keyed, record => ({...record, bodyDigest}));
			},
			recordResult: result => {
				this.#settle(keyed, result);
			},
		});
	}

	#recordRun(head: RequestHead, keyed: KeyedRequest, run: KeyedRun, refusedAttempt: number): void {
		this.#running++;
		this.#store.set(keyed, {
			request: formatRequest(head), bodyDigest: undefined, refusedAttempt, outcome: {kind: 'running', run}, bytes: computeRecordBytes(keyed, 0),
		});
	}

	#openResend(keyed: KeyedRequest, handler: ExchangeHandler): Exchange {
		if ((this.#waiters.get(formatKey(keyed))?.size ?? 0) >= maxWaitersPerKey) {
			return this.#refuse(handler, createFailure('keyUndecided', 'too many sends of this key wait for its run'));
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

		this.#replay(keyed, record.outcome, waiter);
	}

	/** A caller told "not run" is told so for all its attempts up to this one. */
	#replay(keyed: KeyedRequest, result: RunResult, {resend, attempt, bodyDigest}: Waiter): void {
		const record = this.#store.find(keyed)!;
		const isOther = record.bodyDigest !== undefined && record.bodyDigest !== bodyDigest;
		if (result.kind === 'refused') {
			this.#update(keyed, known => ({...known, refusedAttempt: Math.max(known.refusedAttempt, attempt)}));
		}

		resend.replay(isOther ? {kind: 'refused', failure: createReuseFailure()} : result);
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

	#settle(keyed: KeyedRequest, result: RunResult): void {
		const key = formatKey(keyed);
		const waiters = [...this.#waiters.get(key) ?? []];
		this.#waiters.delete(key);
		this.#running--;
		this.#update(keyed, record => ({
			...record,
			outcome: result,
			refusedAttempt: result.kind === 'refused' ? keyed.attempt : record.refusedAttempt,
			bytes: computeRecordBytes(keyed, countAnswerBytes(result)),
		}));
		waiters.forEach(waiter => {
			this.#replay(keyed, result, waiter);
		});
	}

	#update(keyed: KeyedRequest, change: (record: KeyRecord) => KeyRecord): void {
		const record = this.#store.find(keyed);
		if (record) {
			this.#store.set(keyed, change(record));
		}
	}

	#refuseRecorded(head: RequestHead, keyed: KeyedRequest, handler: ExchangeHandler, failure: Failure): Exchange {
		this.#store.set(keyed, {
			request: formatRequest(head), bodyDigest: undefined, refusedAttempt: keyed.attempt, outcome: {kind: 'refused', failure}, bytes: computeRecordBytes(keyed, 0),
		});
		return this.#refuse(handler, failure);
	}

	/** Refuses after the current turn. */
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
