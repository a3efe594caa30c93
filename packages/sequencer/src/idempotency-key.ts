/** Idempotency keys: `terms id:caller's own part`. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';

/** An idempotency key in its parts. */
export type IdempotencyKey = {
	/** Terms under which the key was minted. */
	readonly termsId: string;
	readonly part: string;
};

/** Reads a key. */
export function parseIdempotencyKey(text: string): Either<Failure, IdempotencyKey> {
	const match = /^(?<termsId>[\w\-]{1,32}):(?<part>[\w.\-]{1,64})$/v.exec(text);
	return match?.groups
		? Right({termsId: match.groups.termsId!, part: match.groups.part!})
		: Left(createFailure('keyMalformed', 'use the id of your terms, a colon, and up to 64 letters, digits, dots or hyphens'));
}

/** Writes a key. */
export function formatIdempotencyKey({termsId, part}: IdempotencyKey): string {
	return `${termsId}:${part}`;
}
