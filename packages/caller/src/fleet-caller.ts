/** A caller with terms: mints idempotency keys and resends requests through several ingresses when that is safe. */
import {randomBytes} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts';
import {
	attemptHeader, foldResult, idempotencyHeader, renewHeader, termsHeader, timeoutHeader,
} from '@limpetbarrow/core';
import {
	chooseNextStep, readOutcome, type NextStep, type SendOutcome,
} from './next-step.js';
import {isStoppingOrigin, OriginSelector} from './origin-selector.js';
import {RetryBudget} from './retry-budget.js';
import {TermsCache, type Credentials, type CachedTerms} from './terms-cache.js';
import {HttpTransport, type Transport} from './transport.js';
import {
	type FleetAnswer, type FleetFailure, type FleetRequest, type HeldKey, type SendResult,
} from './types.js';

/** Settings of a fleet caller. */
export type FleetCallerOptions = {
	/** Base URLs of several ingresses, such as `http://127.0.0.1:8080`. */
	readonly origins: readonly string[];
	readonly credentials: Credentials;
	/** Sends over HTTP by default. */
	readonly transport?: Transport;
	/** Maximum number of sends of one request, the first included; 5 by default. */
	readonly maxSends?: number;
};

/** State of a request between its sends. */
type Progress = {
	readonly request: FleetRequest;
	readonly heldKey: HeldKey | undefined;
	readonly sends: number;
	/** True when an earlier send may have run or may still run. */
	readonly isUncertain: boolean;
	/** Monotonic time, in milliseconds. */
	readonly deadline: number;
};

const defaultTimeoutMs = 10_000;
const defaultMaxSends = 5;
const keyPartBytes = 12;
const initialBackoffMs = 100;
/** Fraction of the remaining time that one send gets as its timeout when the request can be resent. */
const sendTimeoutFraction = 0.5;
const repeatableMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

function createFailure(outcome: SendOutcome, {sends, heldKey, isUncertain}: Progress): FleetFailure {
	const ran = outcome.ran === 'not-run' && !isUncertain ? 'not-run' : 'unknown';
	const failure = {
		code: outcome.code, ran, resend: outcome.resend, detail: outcome.detail, sends,
	} as const;
	return heldKey ? {...failure, heldKey} : failure;
}

/**
 * Returns whether a send of the request may have run, after one more result. An answer of "not run" to a keyed request
 * covers all sends with its key so far; for a request without a key it covers only the last send.
 */
function judgeUncertainty({heldKey, isUncertain}: Progress, result: SendResult, {ran}: SendOutcome): boolean {
	const isProvenNotRun = heldKey !== undefined && result.kind === 'answer' && ran === 'not-run';
	return !isProvenNotRun && (isUncertain || ran === 'unknown');
}

function isRepeatable({isRepeatable: isDeclared, method}: FleetRequest): boolean {
	return isDeclared ?? repeatableMethods.has(method);
}

/**
 * Computes how long to wait before a resend, in milliseconds. Resends after an unknown outcome back off, so that the key's
 * home has time to answer again.
 */
function computeDelayMs({sends}: Progress, {ran, retryAfterMs}: SendOutcome, step: NextStep): number {
	if (step === 'resend-later') {
		return retryAfterMs;
	}

	return ran === 'unknown' ? initialBackoffMs * (2 ** (sends - 1)) * (0.5 + Math.random()) : 0;
}

/** Sends requests for one organisation. */
export class FleetCaller {
	readonly #origins: OriginSelector;
	readonly #transport: Transport;
	readonly #termsCache: TermsCache;
	readonly #retryBudget = new RetryBudget();
	readonly #maxSends: number;

	constructor({origins, credentials, transport = new HttpTransport(), maxSends = defaultMaxSends}: FleetCallerOptions) {
		this.#origins = new OriginSelector(origins);
		this.#transport = transport;
		this.#termsCache = new TermsCache(transport, origins, credentials);
		this.#maxSends = maxSends;
	}

	/** Mints a key under the current terms. Store the key to be able to resend the request after a restart of the caller. */
	async mintKey(part = randomBytes(keyPartBytes).toString('base64url')): Promise<Either<FleetFailure, HeldKey>> {
		const terms = await this.#termsCache.fetchTerms();
		return terms
			.map(({id, token}) => ({key: `${id}:${part}`, token, attempt: 0}))
			.mapLeft(outcome => createTermsFailure(outcome));
	}

	/** Sends a request. One that is not repeatable is resent only when it is proven not to have run. */
	async send(request: FleetRequest): Promise<Either<FleetFailure, FleetAnswer>> {
		return this.#startRequest(request, undefined);
	}

	/** Sends a request that runs at most once, even when it is resent with the same key. Mints a key if none is given. */
	async sendOnce(request: FleetRequest, heldKey?: HeldKey): Promise<Either<FleetFailure, FleetAnswer>> {
		const keyResult: Either<FleetFailure, HeldKey> = heldKey ? Right(heldKey) : await this.mintKey();
		return foldResult<FleetFailure, HeldKey, Promise<Either<FleetFailure, FleetAnswer>>>(
			keyResult,
			async failure => Left(failure),
			async issuedKey => this.#startRequest(request, issuedKey),
		);
	}

	async #startRequest(request: FleetRequest, heldKey: HeldKey | undefined): Promise<Either<FleetFailure, FleetAnswer>> {
		this.#retryBudget.recordRequest();
		return this.#sendNext({
			request, heldKey, sends: 0, isUncertain: (heldKey?.attempt ?? 0) > 0, deadline: performance.now() + (request.timeoutMs ?? defaultTimeoutMs),
		});
	}

	async #sendNext(before: Progress): Promise<Either<FleetFailure, FleetAnswer>> {
		const terms = before.heldKey ? undefined : await this.#termsCache.fetchTerms();
		const heldKey = before.heldKey && {...before.heldKey, attempt: before.heldKey.attempt + 1};
		const sent: Progress = {...before, ...(heldKey && {heldKey}), sends: before.sends + 1};
		const result = await this.#send(sent, terms?.toMaybe().extract());
		const outcome = readOutcome(result);
		const progress: Progress = {...(result.kind === 'not-sent' ? {...sent, heldKey: before.heldKey} : sent), isUncertain: judgeUncertainty(before, result, outcome)};
		const step = chooseNextStep(outcome, {isKeyed: heldKey !== undefined, isRepeatable: isRepeatable(before.request)});
		return step === 'finish' && result.kind === 'answer'
			? Right({
				status: result.status, headers: result.headers, text: result.text, sends: sent.sends,
			})
			: this.#resend(progress, outcome, step);
	}

	async #resend(progress: Progress, outcome: SendOutcome, step: NextStep): Promise<Either<FleetFailure, FleetAnswer>> {
		const delayMs = computeDelayMs(progress, outcome, step);
		const isBeforeDeadline = performance.now() + delayMs < progress.deadline;
		if (step === 'give-up' || !isBeforeDeadline || progress.sends >= this.#maxSends || !this.#retryBudget.takeResend()) {
			return Left(createFailure(outcome, progress));
		}

		if (step === 'mint') {
			return this.#resendUnderRenewedTerms(progress, outcome);
		}

		if (delayMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, delayMs);
			});
		}

		return this.#sendNext(progress);
	}

	/** Renews the terms and resends; a keyed request, which is proven not to have run, gets a new key under the new terms. */
	async #resendUnderRenewedTerms(progress: Progress, outcome: SendOutcome): Promise<Either<FleetFailure, FleetAnswer>> {
		const renewed = await this.#termsCache.renew();
		const part = progress.heldKey?.key.split(':')[1];
		return foldResult<SendOutcome, CachedTerms, Promise<Either<FleetFailure, FleetAnswer>>>(
			renewed,
			async () => Left(createFailure(outcome, progress)),
			async ({id, token}) => this.#sendNext({...progress, heldKey: part === undefined ? undefined : {key: `${id}:${part}`, token, attempt: 0}}),
		);
	}

	#recordOriginState(origin: string, result: SendResult): void {
		if (result.kind === 'answer' && isStoppingOrigin(result.headers)) {
			this.#origins.recordStopping(origin);
		} else if (result.kind === 'answer') {
			this.#origins.recordAnswer(origin);
		} else if (result.kind === 'not-sent') {
			this.#origins.recordRefusal(origin);
		}
	}

	async #send({request, heldKey, deadline}: Progress, terms: CachedTerms | undefined): Promise<SendResult> {
		const remainingMs = Math.max(1, Math.floor(deadline - performance.now()));
		const isSafeToResend = heldKey !== undefined || isRepeatable(request);
		const timeoutMs = isSafeToResend ? Math.max(1, Math.floor(remainingMs * sendTimeoutFraction)) : remainingMs;
		const token = heldKey?.token ?? terms?.token;
		const origin = this.#origins.pickOrigin();
		const result = await this.#transport.send({
			origin,
			method: request.method,
			path: request.path,
			headers: {
				...request.headers,
				...(request.host !== undefined && {host: request.host}),
				...(token !== undefined && {[termsHeader]: token}),
				...(heldKey && {[idempotencyHeader]: heldKey.key, [attemptHeader]: String(heldKey.attempt)}),
				[timeoutHeader]: String(timeoutMs),
			},
			body: request.body,
			timeoutMs,
		});
		this.#recordOriginState(origin, result);
		if (result.kind === 'answer' && result.headers[renewHeader] !== undefined) {
			void this.#termsCache.renew();
		}

		return result;
	}
}

function createTermsFailure(outcome: SendOutcome): FleetFailure {
	return {
		code: outcome.code, ran: 'not-run', resend: 'anywhere', detail: `no terms: ${outcome.detail}`, sends: 0,
	};
}
