/** A caller that holds terms: mints keys and sends again what may be sent again, through several ingresses. */
import {randomBytes} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts';
import {
	attemptHeader, foldResult, idempotencyHeader, renewHeader, termsHeader, timeoutHeader,
} from '@limpetbarrow/core';
import {
	judgeSend, readOutcome, type NextStep, type SendOutcome,
} from './judge-send.js';
import {isStoppingOrigin, OriginRing} from './origin-ring.js';
import {RetryBudget} from './retry-budget.js';
import {TermsHolder, type Credentials, type HeldTerms} from './terms-holder.js';
import {HttpTransport, type Transport} from './transport.js';
import {
	type FleetAnswer, type FleetFailure, type FleetRequest, type HeldKey, type SendResult,
} from './types.js';

/** What a fleet caller works with. */
export type FleetCallerOptions = {
	/** Base URLs of several ingresses, such as `http://127.0.0.1:8080`. */
	readonly origins: readonly string[];
	readonly credentials: Credentials;
	readonly transport?: Transport;
	readonly maxSends?: number;
};

type Progress = {
	readonly request: FleetRequest;
	readonly held: HeldKey | undefined;
	readonly sends: number;
	readonly isUncertain: boolean;
	/** Monotonic time, in milliseconds. */
	readonly deadline: number;
};

const defaultTimeoutMs = 10_000;
const defaultMaxSends = 5;
const partBytes = 12;
const firstBackOffMs = 100;
/** Share of the time left that one send gets when it can be sent again. */
const sendShare = 0.5;
const repeatableMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

function createFailure(outcome: SendOutcome, {sends, held, isUncertain}: Progress): FleetFailure {
	const ran = outcome.ran === 'not-run' && !isUncertain ? 'not-run' : 'unknown';
	const failure = {
		code: outcome.code, ran, resend: outcome.resend, detail: outcome.detail, sends,
	} as const;
	return held ? {...failure, heldKey: held} : failure;
}

/** "Not run" of a key holds for all its sends so far; of a request without key, only for the last one. */
function judgeUncertainty({held, isUncertain}: Progress, result: SendResult, {ran}: SendOutcome): boolean {
	const isProof = held !== undefined && result.kind === 'answer' && ran === 'not-run';
	return !isProof && (isUncertain || ran === 'unknown');
}

function isRepeatable({isRepeatable: isDeclared, method}: FleetRequest): boolean {
	return isDeclared ?? repeatableMethods.has(method);
}

/** Resends after an unknown outcome back off, so that the home has time to answer again. */
function computeDelayMs({sends}: Progress, {ran, retryAfterMs}: SendOutcome, step: NextStep): number {
	if (step === 'resend-later') {
		return retryAfterMs;
	}

	return ran === 'unknown' ? firstBackOffMs * (2 ** (sends - 1)) * (0.5 + Math.random()) : 0;
}

/** Sends requests for one organisation. */
export class FleetCaller {
	readonly #origins: OriginRing;
	readonly #transport: Transport;
	readonly #terms: TermsHolder;
	readonly #budget = new RetryBudget();
	readonly #maxSends: number;

	constructor({origins, credentials, transport = new HttpTransport(), maxSends = defaultMaxSends}: FleetCallerOptions) {
		this.#origins = new OriginRing(origins);
		this.#transport = transport;
		this.#terms = new TermsHolder(transport, origins, credentials);
		this.#maxSends = maxSends;
	}

	/** Mints a key under the terms held now. Keep it to send the request again after a restart of the caller. */
	async mintKey(part = randomBytes(partBytes).toString('base64url')): Promise<Either<FleetFailure, HeldKey>> {
		const terms = await this.#terms.fetchTerms();
		return terms
			.map(({id, token}) => ({key: `${id}:${part}`, token, attempt: 0}))
			.mapLeft(outcome => createTermsFailure(outcome));
	}

	/** Sends a request; one that may not be repeated is sent again only when it is proven not to have run. */
	async send(request: FleetRequest): Promise<Either<FleetFailure, FleetAnswer>> {
		return this.#start(request, undefined);
	}

	/** Sends a request that runs at most once, also when it is sent again with the same key. */
	async sendOnce(request: FleetRequest, heldKey?: HeldKey): Promise<Either<FleetFailure, FleetAnswer>> {
		const minted: Either<FleetFailure, HeldKey> = heldKey ? Right(heldKey) : await this.mintKey();
		return foldResult<FleetFailure, HeldKey, Promise<Either<FleetFailure, FleetAnswer>>>(
			minted,
			async failure => Left(failure),
			async held => this.#start(request, held),
		);
	}

	async #start(request: FleetRequest, held: HeldKey | undefined): Promise<Either<FleetFailure, FleetAnswer>> {
		this.#budget.recordRequest();
		return this.#continue({
			request, held, sends: 0, isUncertain: (held?.attempt ?? 0) > 0, deadline: performance.now() + (request.timeoutMs ?? defaultTimeoutMs),
		});
	}

	async #continue(before: Progress): Promise<Either<FleetFailure, FleetAnswer>> {
		const terms = before.held ? undefined : await this.#terms.fetchTerms();
		const held = before.held && {...before.held, attempt: before.held.attempt + 1};
		const sent: Progress = {...before, ...(held && {held}), sends: before.sends + 1};
		const result = await this.#send(sent, terms?.toMaybe().extract());
		const outcome = readOutcome(result);
		const progress: Progress = {...(result.kind === 'not-sent' ? {...sent, held: before.held} : sent), isUncertain: judgeUncertainty(before, result, outcome)};
		const step = judgeSend(outcome, {isKeyed: held !== undefined, isRepeatable: isRepeatable(before.request)});
		return step === 'finish' && result.kind === 'answer'
			? Right({
				status: result.status, headers: result.headers, text: result.text, sends: sent.sends,
			})
			: this.#resend(progress, outcome, step);
	}

	async #resend(progress: Progress, outcome: SendOutcome, step: NextStep): Promise<Either<FleetFailure, FleetAnswer>> {
		const delayMs = computeDelayMs(progress, outcome, step);
		const isInTime = performance.now() + delayMs < progress.deadline;
		if (step === 'give-up' || !isInTime || progress.sends >= this.#maxSends || !this.#budget.takeResend()) {
			return Left(createFailure(outcome, progress));
		}

		if (step === 'mint') {
			return this.#continueRenewed(progress, outcome);
		}

		if (delayMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, delayMs);
			});
		}

		return this.#continue(progress);
	}

	/** Renews the terms; a keyed request that is proven not to have run gets a new key. */
	async #continueRenewed(progress: Progress, outcome: SendOutcome): Promise<Either<FleetFailure, FleetAnswer>> {
		const renewed = await this.#terms.renew();
		const part = progress.held?.key.split(':')[1];
		return foldResult<SendOutcome, HeldTerms, Promise<Either<FleetFailure, FleetAnswer>>>(
			renewed,
			async () => Left(createFailure(outcome, progress)),
			async ({id, token}) => this.#continue({...progress, held: part === undefined ? undefined : {key: `${id}:${part}`, token, attempt: 0}}),
		);
	}

	#recordReach(origin: string, result: SendResult): void {
		if (result.kind === 'answer' && isStoppingOrigin(result.headers)) {
			this.#origins.recordStopping(origin);
		} else if (result.kind === 'answer') {
			this.#origins.recordAnswer(origin);
		} else if (result.kind === 'not-sent') {
			this.#origins.recordRefusal(origin);
		}
	}

	async #send({request, held, deadline}: Progress, terms: HeldTerms | undefined): Promise<SendResult> {
		const remainingMs = Math.max(1, Math.floor(deadline - performance.now()));
		const isSafe = held !== undefined || isRepeatable(request);
		const timeoutMs = isSafe ? Math.max(1, Math.floor(remainingMs * sendShare)) : remainingMs;
		const token = held?.token ?? terms?.token;
		const origin = this.#origins.pickOrigin();
		const result = await this.#transport.send({
			origin,
			method: request.method,
			path: request.path,
			headers: {
				...request.headers,
				...(request.host !== undefined && {host: request.host}),
				...(token !== undefined && {[termsHeader]: token}),
				...(held && {[idempotencyHeader]: held.key, [attemptHeader]: String(held.attempt)}),
				[timeoutHeader]: String(timeoutMs),
			},
			body: request.body,
			timeoutMs,
		});
		this.#recordReach(origin, result);
		if (result.kind === 'answer' && result.headers[renewHeader] !== undefined) {
			void this.#terms.renew();
		}

		return result;
	}
}

function createTermsFailure(outcome: SendOutcome): FleetFailure {
	return {
		code: outcome.code, ran: 'not-run', resend: 'anywhere', detail: `no terms: ${outcome.detail}`, sends: 0,
	};
}
