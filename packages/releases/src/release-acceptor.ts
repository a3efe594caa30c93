/** Accepts release notes; every release is created here. */
import {EitherAsync, Left, Right} from 'purify-ts';
import {createFailure, type Failure, type ResultName} from '@limpetbarrow/core';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {NoteAttempts} from './note-attempts.js';
import {createNoteFailure} from './note-fault.js';
import {toTextParts, hashText} from './text-parts.js';
import {hashNote, isWithinValueLimit} from './release-codec.js';
import {getNotePartKey, getReleaseKey} from './release-keys.js';
import {type ReleaseLog} from './release-log.js';
import {type ReleaseReader} from './release-reader.js';
import {checkNote, parseNote} from './validate-note.js';
import {type Configuration, type Release, type ReleaseNote} from './types.js';

const maxCreateTries = 3;
const definiteRefusals: ReadonlySet<ResultName> = new Set(['releaseConflict', 'releaseInvalid']);

type AcceptResult = EitherAsync<Failure, Release>;

function failWith(name: 'releaseConflict' | 'releaseNotAccepted' | 'releaseUnknown', detail: string): EitherAsync<Failure, never> {
	return EitherAsync.liftEither(Left(createFailure(name, detail)));
}

function createSuccess<T>(value: T): EitherAsync<Failure, T> {
	return EitherAsync.liftEither(Right(value));
}

function formatRelease({number, note}: Release): string {
	return `release ${number} is ${note.id} by ${note.operator}`;
}

function toNotAcceptedFailure({detail}: Failure): Failure {
	return createFailure('releaseNotAccepted', `nothing was written by this call: ${detail}`);
}

function checkBaseExists({base}: ReleaseNote, configuration: Configuration): EitherAsync<Failure, Configuration> {
	return base > configuration.release
		? EitherAsync.liftEither(Left(createNoteFailure([{path: 'base', message: `release ${base} does not exist, the last one is ${configuration.release}`}])))
		: createSuccess(configuration);
}

function checkSameContent(found: Release, note: ReleaseNote): AcceptResult {
	return hashNote(found.note) === hashNote(note)
		? createSuccess(found)
		: failWith('releaseConflict', `${formatRelease(found)}, with other content under the same id`);
}

/** Validates notes against the newest configuration and appends them to the log. */
export class ReleaseAcceptor {
	readonly #store: ObjectStore;
	readonly #log: ReleaseLog;
	readonly #reader: ReleaseReader;
	readonly #attempts: NoteAttempts;

	constructor(store: ObjectStore, log: ReleaseLog, reader: ReleaseReader) {
		this.#store = store;
		this.#log = log;
		this.#reader = reader;
		this.#attempts = new NoteAttempts(store);
	}

	/** Validates a note against the newest configuration without writing anything. */
	check(input: unknown): EitherAsync<Failure, ReleaseNote> {
		return EitherAsync.liftEither(parseNote(input).mapLeft(faults => createNoteFailure(faults)))
			.chain(note => this.#reader.readConfiguration()
				.chain(configuration => checkBaseExists(note, configuration))
				.chain(configuration => this.#checkBaseIsLatest(note, configuration).chain(async () => checkNote(configuration, note).mapLeft(faults => createNoteFailure(faults)))));
	}

	/**
	 * Accepts a note as the next release. The conditional create of the release object is the commit point.
	 *
	 * The attempt is recorded first, so that applying the same note again finds the outcome of earlier attempts. After a
	 * lost response the same create is sent again: either it succeeds, or the number is taken and the release found
	 * there tells the outcome. When the outcome cannot be determined, the result is `releaseUnknown`.
	 */
	accept(input: unknown): AcceptResult {
		return EitherAsync.liftEither(parseNote(input).mapLeft(faults => createNoteFailure(faults)))
			.chain(note => this.#reader.readConfiguration().mapLeft(failure => toNotAcceptedFailure(failure))
				.chain(configuration => checkBaseExists(note, configuration))
				.chain(configuration => this.#attempts.record(note.id, note.base + 1).mapLeft(failure => toNotAcceptedFailure(failure))
					.chain(numbers => this.#acceptAttempt(note, configuration, numbers))));
	}

	#acceptAttempt(note: ReleaseNote, configuration: Configuration, numbers: readonly number[]): AcceptResult {
		return this.#findAccepted(note, configuration, numbers).chain(found => {
			if (found) {
				return checkSameContent(found, note);
			}

			return this.#checkBaseIsLatest(note, configuration)
				.chain(async () => checkNote(configuration, note).mapLeft(faults => createNoteFailure(faults)))
				.chain(() => this.#writeRelease(note))
				.chainLeft(failure => this.#settleRefusal(failure, note, numbers));
		});
	}

	/** Looks for the note under the numbers of its attempts; `releaseUnknown` when one of them cannot be read. */
	#findAccepted(note: ReleaseNote, {release}: Configuration, numbers: readonly number[]): EitherAsync<Failure, Release | undefined> {
		const reads = numbers.map(number => this.#log.read(number)
			.map<Release | undefined>(found => found)
			.chainLeft(async failure => failure.name === 'platformNotFound' && number > release
				? Right(undefined)
				: Left(createFailure('releaseUnknown', `cannot tell whether release ${number} is this note: ${failure.detail}`))));
		return EitherAsync.sequence(reads).map(found => found.find(candidate => candidate?.note.id === note.id));
	}

	#checkBaseIsLatest(note: ReleaseNote, {release}: Configuration): EitherAsync<Failure, void> {
		if (note.base === release) {
			return createSuccess(undefined);
		}

		return this.#log.read(note.base + 1)
			.chainLeft(() => failWith('releaseConflict', `the note is based on release ${note.base}, the last one is ${release}`))
			.chain(winner => failWith('releaseConflict', `the note is based on release ${note.base}; ${formatRelease(winner)}`));
	}

	#writeRelease(note: ReleaseNote): AcceptResult {
		const release = {number: note.base + 1, acceptedAt: Date.now(), note};
		const text = JSON.stringify(release);
		return isWithinValueLimit(text)
			? this.#createRelease(release, text)
			: this.#writeNoteParts(release).chain(multipartText => this.#createRelease(release, multipartText));
	}

	#writeNoteParts({number, acceptedAt, note}: Release): EitherAsync<Failure, string> {
		const noteText = JSON.stringify(note);
		const digest = hashText(noteText);
		const parts = toTextParts(noteText);
		const writes = parts.map((part, index) => this.#store.create(getNotePartKey(note.id, digest, index), part)
			.void()
			.chainLeft(async failure => failure.name === 'platformConflict' ? Right(undefined) : Left(toNotAcceptedFailure(failure))));
		return EitherAsync.sequence(writes).map(() => JSON.stringify({
			number, acceptedAt, noteId: note.id, digest, partCount: parts.length,
		}));
	}

	#createRelease(release: Release, text: string, triesLeft = maxCreateTries): AcceptResult {
		return this.#store.create(getReleaseKey(release.number), text)
			.map(() => release)
			.chainLeft(failure => {
				if (failure.name === 'platformConflict') {
					return this.#settleConflict(release);
				}

				if (failure.name === 'platformTooLarge') {
					return EitherAsync.liftEither(Left(toNotAcceptedFailure(failure)));
				}

				return triesLeft > 1 ? this.#createRelease(release, text, triesLeft - 1) : failWith('releaseUnknown', failure.detail);
			});
	}

	#settleConflict(release: Release): AcceptResult {
		return this.#log.read(release.number)
			.chainLeft(({detail}) => failWith('releaseUnknown', `release ${release.number} is taken and cannot be read: ${detail}`))
			.chain(winner => winner.note.id === release.note.id ? checkSameContent(winner, release.note) : failWith('releaseConflict', formatRelease(winner)));
	}

	/** Returns a definite refusal only when every other number of the note's attempts is known to hold another note. */
	#settleRefusal(failure: Failure, note: ReleaseNote, numbers: readonly number[]): AcceptResult {
		const others = numbers.filter(number => number !== note.base + 1);
		return definiteRefusals.has(failure.name) && others.length > 0
			? EitherAsync.sequence(others.map(number => this.#log.read(number)))
				.chainLeft(({detail}) => failWith('releaseUnknown', `cannot tell the outcome of an earlier attempt of this note: ${detail}`))
				.chain(found => {
					const accepted = found.find(candidate => candidate.note.id === note.id);
					return accepted ? checkSameContent(accepted, note) : EitherAsync.liftEither(Left(failure));
				})
			: EitherAsync.liftEither(Left(failure));
	}
}
