/** Parses idempotency keys together with the terms they were minted under. */
import {Left, Right, type Either} from 'purify-ts';
import {
	attemptHeader, createFailure, findHeader, termsHeader, type Failure, type NodeIdentity, type RawHeaders, type RequestHead, type ResultName,
} from '@limpetbarrow/core';
import {readTerms, type SigningKey, type Terms} from '@limpetbarrow/limits';
import {parseIdempotencyKey, type KeyedRequest} from '@limpetbarrow/sequencer';

/** Parses the number of the caller's attempt for a key, from 1; 0 when the caller sends no number. */
export function parseAttempt(headers: RawHeaders): Either<Failure, number> {
	const text = findHeader(headers, attemptHeader);
	if (text === undefined) {
		return Right(0);
	}

	return /^[1-9]\d{0,5}$/v.test(text)
		? Right(Number(text))
		: Left(createFailure('keyMalformed', `${attemptHeader} is not a number from 1 to 999999`));
}

/** Creates a keyed request from a key, the request's headers and the terms; fails if the key belongs to other terms. */
export function createKeyedRequest(key: string, headers: RawHeaders, terms: Terms): Either<Failure, KeyedRequest> {
	return parseIdempotencyKey(key)
		.chain(({termsId, part}) => termsId === terms.id
			? parseAttempt(headers).map(attempt => ({
				termsId, part, attempt, expiresAt: terms.expiresAt,
			}))
			: Left(createFailure('keyMalformed', 'the key does not start with the id of the terms sent with it')));
}

/** Reads the key of a request at its home node; fails unless the terms name this node in this incarnation. */
export function readKeyedRequest(head: RequestHead, self: NodeIdentity, keys: readonly SigningKey[]): Either<Failure, KeyedRequest> {
	return readTerms(findHeader(head.headers, termsHeader) ?? '', keys)
		.chain(terms => terms.home.id === self.id && terms.home.incarnation === self.incarnation
			? Right(terms)
			: Left(createFailure('keyOutcomeUnknown', 'the home of the terms is another node or another incarnation of this node')))
		.chain(terms => createKeyedRequest(head.idempotencyKey ?? '', head.headers, terms));
}

/** Refusals of malformed requests, for which no attempt of the same request can have run. */
const malformedRequestFailures: ReadonlySet<ResultName> = new Set(['malformedRequest', 'headersTooLarge', 'invalidTimeout', 'keyMalformed', 'termsInvalid']);

/**
 * Replaces a "not run" failure by `keyUndecided` unless it is proven. Outside of a key's home node "not run" may be reported
 * only for the caller's first attempt, since an ingress knows nothing about earlier ones.
 */
export function replaceUnprovenFailure(headers: RawHeaders, failure: Failure): Failure {
	const isFirst = parseAttempt(headers).orDefault(0) === 1;
	return failure.ran !== 'not-run' || malformedRequestFailures.has(failure.name) || isFirst
		? failure
		: createFailure('keyUndecided', `${failure.code} ${failure.name}: ${failure.detail}`, failure.retryAfterMs);
}
