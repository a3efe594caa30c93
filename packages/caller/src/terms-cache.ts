/** Caches a caller's terms and renews them before they expire. */
import {Left, Right, type Either} from 'purify-ts';
import {reservedPathPrefix} from '@limpetbarrow/core';
import {type Transport} from './transport.js';
import {readOutcome, type SendOutcome} from './next-step.js';

/** Terms with their signed token, as a node issued them. */
export type CachedTerms = {
	readonly token: string;
	readonly id: string;
	readonly rate: number;
	readonly timeoutMs: number;
	/** Unix milliseconds. */
	readonly issuedAt: number;
	/** Unix milliseconds. */
	readonly expiresAt: number;
};

/** The organisation that requests terms, and its secret. */
export type Credentials = {
	readonly organisation: string;
	readonly secret: string;
};

const termsRequestTimeoutMs = 3000;
/**
 * Fraction of their lifetime after which terms are renewed. Each caller adds a random part of the jitter, so that callers
 * don't renew at the same time.
 */
const renewLifetimeFraction = 0.6;
const maxRenewJitterFraction = 0.2;

function parseTerms(text: string): CachedTerms | undefined {
	try {
		const {token, terms} = JSON.parse(text) as {readonly token: string; readonly terms: Omit<CachedTerms, 'token'>};
		const isComplete = typeof token === 'string' && typeof terms.id === 'string' && Number.isFinite(terms.expiresAt) && Number.isFinite(terms.issuedAt);
		return isComplete ? {...terms, token} : undefined;
	} catch {
		return undefined;
	}
}

/** Fetches terms when they are first needed and renews them in the background, with at most one renewal in flight. */
export class TermsCache {
	readonly #transport: Transport;
	readonly #origins: readonly string[];
	readonly #credentials: Credentials;
	readonly #renewJitterFraction: number;
	#cached: CachedTerms | undefined;
	#pendingRenewal: Promise<Either<SendOutcome, CachedTerms>> | undefined;

	constructor(transport: Transport, origins: readonly string[], credentials: Credentials, random = Math.random) {
		this.#transport = transport;
		this.#origins = origins;
		this.#credentials = credentials;
		this.#renewJitterFraction = random() * maxRenewJitterFraction;
	}

	/** Resolves to the cached terms; waits for a renewal only when there are none or they have expired. */
	async fetchTerms(): Promise<Either<SendOutcome, CachedTerms>> {
		const held = this.#cached;
		if (!held || Date.now() >= held.expiresAt) {
			return this.renew();
		}

		const renewAt = held.issuedAt + ((held.expiresAt - held.issuedAt) * (renewLifetimeFraction + this.#renewJitterFraction));
		if (Date.now() >= renewAt) {
			void this.renew();
		}

		return Right(held);
	}

	/** Renews the terms now, through the first origin that issues them; joins a renewal that is already in flight. */
	async renew(): Promise<Either<SendOutcome, CachedTerms>> {
		this.#pendingRenewal ??= this.#renewFromOrigin(0);
		const result = await this.#pendingRenewal;
		this.#pendingRenewal = undefined;
		return result;
	}

	async #renewFromOrigin(index: number): Promise<Either<SendOutcome, CachedTerms>> {
		const byToken = this.#cached && await this.#fetchFromOrigin(index, {token: this.#cached.token});
		const result = byToken?.isRight() ? byToken : await this.#fetchFromOrigin(index, this.#credentials);
		if (result.isLeft() && index + 1 < this.#origins.length) {
			return this.#renewFromOrigin(index + 1);
		}

		this.#cached = result.isRight() ? result.extract() : this.#cached;
		return result;
	}

	async #fetchFromOrigin(index: number, body: Credentials | {readonly token: string}): Promise<Either<SendOutcome, CachedTerms>> {
		const result = await this.#transport.send({
			origin: this.#origins[index]!,
			method: 'POST',
			path: `${reservedPathPrefix}terms`,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
			timeoutMs: termsRequestTimeoutMs,
		});
		const terms = result.kind === 'answer' && result.status === 200 ? parseTerms(result.text) : undefined;
		return terms ? Right(terms) : Left(readOutcome(result));
	}
}
