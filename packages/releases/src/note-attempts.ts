/**
 * Records the release numbers under which each note was tried, in one object per note.
 *
 * An attempt is recorded by a conditional change before its release is created. So whoever records an attempt knows
 * every number under which the same note may be in the log, including attempts whose responses were lost.
 */
import {EitherAsync, Left, Right} from 'purify-ts';
import * as z from 'zod';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {type ObjectStore, type StoredObject} from '@limpetbarrow/object-store';
import {getAttemptsKey} from './release-keys.js';

const maxRecordedNumbers = 1000;
const maxRecordTries = 4;

const attemptsSchema = z.strictObject({
	numbers: z.array(z.int().min(1)).max(maxRecordedNumbers),
	/** Increases with each attempt, so that recording the same number again also changes the object. */
	count: z.int().min(1),
});

type Attempts = z.output<typeof attemptsSchema>;

function parseAttempts({value}: StoredObject): Attempts | undefined {
	try {
		return attemptsSchema.safeParse(JSON.parse(value)).data;
	} catch {
		return undefined;
	}
}

function addAttempt(known: Attempts | undefined, number: number): Attempts {
	const numbers = new Set([...known?.numbers ?? [], number]);
	return {numbers: [...numbers], count: (known?.count ?? 0) + 1};
}

/** Reads and records the attempts of notes. */
export class NoteAttempts {
	readonly #store: ObjectStore;

	constructor(store: ObjectStore) {
		this.#store = store;
	}

	/** Records an attempt and returns all numbers tried so far, including this one. */
	record(noteId: string, number: number, triesLeft = maxRecordTries): EitherAsync<Failure, readonly number[]> {
		const key = getAttemptsKey(noteId);
		return this.#find(key)
			.chain(object => this.#write(key, object, number))
			.chainLeft(failure => triesLeft > 1 && (failure.name === 'platformConflict' || failure.name === 'platformUnavailable')
				? this.record(noteId, number, triesLeft - 1)
				: EitherAsync.liftEither(Left(failure)));
	}

	#find(key: string): EitherAsync<Failure, StoredObject | undefined> {
		return this.#store.get(key)
			.map<StoredObject | undefined>(object => object)
			.chainLeft(async failure => failure.name === 'platformNotFound' ? Right(undefined) : Left(failure));
	}

	#write(key: string, object: StoredObject | undefined, number: number): EitherAsync<Failure, readonly number[]> {
		const known = object && parseAttempts(object);
		if (object && !known) {
			return EitherAsync.liftEither(Left(createFailure('releaseUnreadable', key)));
		}

		const next = addAttempt(known, number);
		const value = JSON.stringify(next);
		const written = object ? this.#store.update(key, value, object.version) : this.#store.create(key, value);
		return written.map(() => next.numbers);
	}
}
