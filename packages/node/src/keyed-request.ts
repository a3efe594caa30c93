/** Reads idempotency keys together with the terms they were minted under. */
import {Left, Right, type Either} from 'purify-ts';
import {
	attemptHeader, createFailure, findHeader, termsHeader, type Failure, type NodeIdentity, type RawHeaders, type RequestHead, type ResultName,
} from '@limpetbarrow/core';
import {readTerms, type SigningKey, type Terms} from '@limpetbarrow/limits';
import {parseIdempotencyKey, type KeyedRequest} from '@limpetbarrow/sequencer';

/** Reads the number of this send of a key; 0 when the caller does not count. */
export function parseAttempt(headers: RawHeaders): Either<Failure, number> {
	const text = findHeader(headers, attemptHeader);
	if (text === undefined) {
		return Right(0);
	}

	return /^[1-9]\d{0,5}$/v.test(text)
		? Right(Number(text))
		: Left(createFailure('keyMalformed', `${attemptHeader} is not a number from 1 to 999999`));
}

/** Puts a key and its terms together. */
export function createKeyedRequest(key: string, headers: RawHeaders, terms: Terms): Either<Failure, KeyedRequest> {
	return parseIdempotencyKey(key)
		.chain(({termsId, part}) => termsId === terms.id
			? parseAttempt(headers).map(attempt => ({
				termsId, part, attempt, expiresAt: terms.expiresAt,
			}))
			: Left(createFailure('keyMalformed', 'the key does not start with the id of the terms sent with it')));
}

/** Reads the key of a request at the home; only this run of this node takes it. */
export function readKeyedRequest(head: RequestHead, self: NodeIdentity, keys: readonly SigningKey[]): Either<Failure, KeyedRequest> {
	return readTerms(findHeader(head.headers, termsHeader) ?? '', keys)
		.chain(terms => terms.home.id === self.id && terms.home.incarnation === self.incarnation
			? Right(terms)
			: Left(createFailure('keyOutcomeUnknown', 'another run of a node was the home of the terms')))
		.chain(terms => createKeyedRequest(head.idempotencyKey ?? '', head.headers, terms));
}

/** Refusals for the form of the request itself: no send of the same request can ever have run. */
const malformedRequestFailures: ReadonlySet<ResultName> = new Set(['malformedRequest', 'headersTooLarge', 'invalidTimeout', 'keyMalformed', 'termsInvalid']);

/**
 * "Not run" may be said of a key outside of its home only for the first send of it; of an earlier send an ingress knows
 * nothing.
 */
export function replaceUnprovenFailure(headers: RawHeaders, failure: Failure): Failure {
	const isFirst = parseAttempt(headers).orDefault(0) === 1;
	return failure.ran !== 'not-run' || malformedRequestFailures.has(failure.name) || isFirst
		? failure
		: createFailure('keyUndecided', `${failure.code} ${failure.name}: ${failure.detail}`, failure.retryAfterMs);
}
