/** Checks requests against the terms sent with them. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {
	findKeyId, parseUnverifiedTerms, readTerms, type Terms,
} from '@limpetbarrow/limits';
import {type SteadyClock} from '@limpetbarrow/sequencer';
import {type IngressRequest} from './ingress-request.js';
import {createKeyedRequest} from './keyed-request.js';
import {type TermsKeys} from './terms-keys.js';

/** What admission works with. */
export type AdmissionOptions = {
	readonly keys: TermsKeys;
	readonly clock: SteadyClock;
	/** Finds the limiter for terms shown as `token`. */
	readonly takePermit: (terms: Terms, token: string) => Either<Failure, void>;
};

/** Lets requests in. Requests without terms and key are not limited here; the queues before backend servers shed them. */
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
				: Left(createFailure('termsInvalid', 'send a key together with the terms it was minted under'));
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

	/** Ended terms are let through: the home tells the outcome of their keys and runs none. */
	#admitKeyed({headers}: IngressRequest, token: string, key: string): Either<Failure, Terms> {
		return this.#verifyTerms(token)
			.chain(terms => createKeyedRequest(key, headers, terms).map(() => terms))
			.chain(terms => this.#options.takePermit(terms, token).map(() => terms));
	}

	/** A node that knows no signing keys yet leaves the check of a key's terms to their home. */
	#verifyTerms(token: string): Either<Failure, Terms> {
		const {keys} = this.#options;
		if (!keys.isLoaded()) {
			return parseUnverifiedTerms(token);
		}

		return readTerms(token, keys.listKeys()).ifLeft(() => {
			keys.loadUnknown(findKeyId(token));
		});
	}
}
