/** Format of idempotency keys: the id of the terms, a colon and a part that the caller chooses. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';

/** An idempotency key, split into its parts. */
export type IdempotencyKey = {
	/** Id of the terms under which the key was created. */
	readonly termsId: string;
	/** Part that the caller chooses. */
	readonly part: string;
};

/** Parses a key; fails with `keyMalformed`. */
export function parseIdempotencyKey(text: string): Either<Failure, IdempotencyKey> {
	const match = /^(?<termsId>[\w\-]{1,32}):(?<part>[\w.\-]{1,64})$/v.exec(text);
	return match?.groups
		? Right({termsId: match.groups.termsId!, part: match.groups.part!})
		: Left(createFailure('keyMalformed', 'use the id of your terms, a colon, and up to 64 letters, digits, dots or hyphens'));
}

/** Formats a key as `termsId:part`. */
export function formatIdempotencyKey({termsId, part}: IdempotencyKey): string {
	return `${termsId}:${part}`;
}
