/** The terms a caller holds, renewed before they end. */
import {Left, Right, type Either} from 'purify-ts';
import {reservedPathPrefix} from '@limpetbarrow/core';
import {type Transport} from './transport.js';
import {readOutcome, type SendOutcome} from './judge-send.js';

/** The parts of terms that a caller uses. */
export type HeldTerms = {
	readonly token: string;
	readonly id: string;
	readonly rate: number;
	readonly timeoutMs: number;
	/** Unix milliseconds. */
	readonly issuedAt: number;
	/** Unix milliseconds. */
	readonly expiresAt: number;
};

/** Whom terms are asked for. */
export type Credentials = {
	readonly organisation: string;
	readonly secret: string;
};

const termsTimeoutMs = 3000;
/** Share of their lifetime after which terms are renewed; the jitter spreads callers. */
const renewShare = 0.6;
const renewJitter = 0.2;

function parseTerms(text: string): HeldTerms | undefined {
	try {
		const {token, terms} = JSON.parse(text) as {readonly token: string; readonly terms: Omit<HeldTerms, 'token'>};
		const isWhole = typeof token === 'string' && typeof terms.id === 'string' && Number.isFinite(terms.expiresAt) && Number.isFinite(terms.issuedAt);
		return isWhole ? {...terms, token} : undefined;
	} catch {
		return undefined;
	}
}

/** Asks for terms when first needed and renews them in the background; one call is under way at a time. */
export class TermsHolder {
	readonly #transport: Transport;
	readonly #origins: readonly string[];
	readonly #credentials: Credentials;
	readonly #jitter: number;
	#held: HeldTerms | undefined;
	#pending: Promise<Either<SendOutcome, HeldTerms>> | undefined;

	constructor(transport: Transport, origins: readonly string[], credentials: Credentials, random = Math.random) {
		this.#transport = transport;
		this.#origins = origins;
		this.#credentials = credentials;
		this.#jitter = random() * renewJitter;
	}

	/** The terms held; waits only when there are none that last. */
	async fetchTerms(): Promise<Either<SendOutcome, HeldTerms>> {
		const held = this.#held;
		if (!held || Date.now() >= held.expiresAt) {
			return this.renew();
		}

		const renewAt = held.issuedAt + ((held.expiresAt - held.issuedAt) * (renewShare + this.#jitter));
		if (Date.now() >= renewAt) {
			void this.renew();
		}

		return Right(held);
	}

	/** Renews the terms now, at any node. */
	async renew(): Promise<Either<SendOutcome, HeldTerms>> {
		this.#pending ??= this.#renewAt(0);
		const result = await this.#pending;
		this.#pending = undefined;
		return result;
	}

	async #renewAt(index: number): Promise<Either<SendOutcome, HeldTerms>> {
		const byToken = this.#held && await this.#send(index, {token: this.#held.token});
		const result = byToken?.isRight() ? byToken : await this.#send(index, this.#credentials);
		if (result.isLeft() && index + 1 < this.#origins.length) {
			return this.#renewAt(index + 1);
		}

		this.#held = result.isRight() ? result.extract() : this.#held;
		return result;
	}

	async #send(index: number, body: Credentials | {readonly token: string}): Promise<Either<SendOutcome, HeldTerms>> {
		const result = await this.#transport.send({
			origin: this.#origins[index]!,
			method: 'POST',
			path: `${reservedPathPrefix}terms`,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
			timeoutMs: termsTimeoutMs,
		});
		const terms = result.kind === 'answer' && result.status === 200 ? parseTerms(result.text) : undefined;
		return terms ? Right(terms) : Left(readOutcome(result));
	}
}
