/** Admission control: checks requests against the terms sent with them. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {
	findKeyId, parseUnverifiedTerms, readTerms, type Terms,
} from '@limpetbarrow/limits';
import {type SteadyClock} from '@limpetbarrow/sequencer';
import {type IngressRequest} from '../callers/ingress-request.js';
import {createKeyedRequest} from './keyed-request.js';
import {type TermsKeys} from './terms-keys.js';

/** Dependencies of `Admission`. */
export type AdmissionOptions = {
	readonly keys: TermsKeys;
	readonly clock: SteadyClock;
	/** Takes a permit from the rate limiter of the terms encoded in `token`; fails when the limit is exceeded. */
	readonly takePermit: (terms: Terms, token: string) => Either<Failure, void>;
};

/**
 * Admits requests. Requests without terms and idempotency key are not limited here; the queues in front of the backend
 * servers shed them under overload.
 */
export class Admission {
	readonly #options: AdmissionOptions;

	constructor(options: AdmissionOptions) {
		this.#options = options;
	}

	admitRequest(request: IngressRequest): Either<Failure, Terms | undefined> {
		const {termsToken, idempotencyKey} = request;
		if (termsToken === undefined) {
			return idempotencyKey === undefined
				? Right(undefined)
				: Left(createFailure('termsInvalid', 'an idempotency key requires the terms it was minted under'));
		}

		return idempotencyKey === undefined
			? this.#admitUnkeyed(termsToken)
			: this.#admitKeyed(request, termsToken, idempotencyKey);
	}

	#admitUnkeyed(token: string): Either<Failure, Terms | undefined> {
		if (!this.#options.keys.isLoaded()) {
			return Right(undefined);
		}

		return this.#verifyTerms(token)
			.chain(terms => terms.expiresAt > this.#options.clock.getNow()
				? Right(terms)
				: Left(createFailure('termsExpired', `expired at ${new Date(terms.expiresAt).toISOString()}`)))
			.chain(terms => this.#options.takePermit(terms, token).map(() => terms));
	}

	/** Admits expired terms too: their home node still reports the outcome of their keys, but runs no new request. */
	#admitKeyed({headers}: IngressRequest, token: string, key: string): Either<Failure, Terms> {
		return this.#verifyTerms(token)
			.chain(terms => createKeyedRequest(key, headers, terms).map(() => terms))
			.chain(terms => this.#options.takePermit(terms, token).map(() => terms));
	}

	/** Skips the signature check while no signing keys are loaded; the home node of the terms verifies keyed requests then. */
	#verifyTerms(token: string): Either<Failure, Terms> {
		const {keys} = this.#options;
		if (!keys.isLoaded()) {
			return parseUnverifiedTerms(token);
		}

		return readTerms(token, keys.listKeys()).ifLeft(() => {
			keys.loadForUnknownKey(findKeyId(token));
		});
	}
}
