/** The numbered log of releases in the platform's object API. */
import {EitherAsync} from 'purify-ts';
import {createFailure, foldResult, type Failure} from '@limpetbarrow/core';
import {type ObjectStore, type StoredObject} from '@limpetbarrow/platform';
import {applyRelease, emptyConfiguration} from './configuration.js';
import {createNoteFailure, validateNote} from './validate-note.js';
import {type Configuration, type Release} from './types.js';

/** Prefix of the keys that hold releases. */
export const releasePrefix = 'releases/';

const numberDigits = 9;

/** Key of a release. */
export function getReleaseKey(number: number): string {
	return `${releasePrefix}${String(number).padStart(numberDigits, '0')}`;
}

/** Reads a stored release. */
export function parseRelease({value}: Pick<StoredObject, 'value'>): Release {
	return JSON.parse(value) as Release;
}

/** Reads and extends the log. */
export class ReleaseLog {
	readonly #store: ObjectStore;

	constructor(store: ObjectStore) {
		this.#store = store;
	}

	/** Reads all releases, oldest first. */
	readAll(): EitherAsync<Failure, readonly Release[]> {
		return this.#store.list(releasePrefix).map(({objects}) => objects.map(object => parseRelease(object)));
	}

	/** Reads the configuration after the last release. */
	readConfiguration(): EitherAsync<Failure, Configuration> {
		return this.readAll().map(releases => releases.reduce((configuration, release) => applyRelease(configuration, release), emptyConfiguration));
	}

	/**
	 * Accepts a release note as the next release. The conditional create of its number is the commit point; a lost
	 * answer is settled by reading the number again.
	 */
	accept(input: unknown): EitherAsync<Failure, Release> {
		return EitherAsync(async ({fromPromise, liftEither, throwE}) => {
			const configuration = await fromPromise(this.readConfiguration().mapLeft(failure => createFailure('releaseNotAccepted', failure.detail)).run());
			const note = await liftEither(validateNote(configuration, input).mapLeft(faults => createNoteFailure(faults)));
			if (note.base !== configuration.release) {
				return throwE(createFailure('releaseConflict', `the note is based on release ${note.base}, release ${configuration.release} is in force`));
			}

			const release = {number: note.base + 1, acceptedAt: Date.now(), note};
			const created = await this.#store.create(getReleaseKey(release.number), JSON.stringify(release)).run();
			return fromPromise(foldResult(
				created,
				async failure => this.#settle(release, failure).run(),
				async () => created.map(() => release),
			));
		});
	}

	#settle(release: Release, failure: Failure): EitherAsync<Failure, Release> {
		return this.#store.get(getReleaseKey(release.number))
			.mapLeft(({name, detail}) => name === 'platformNotFound'
				? createFailure('releaseNotAccepted', failure.detail)
				: createFailure('releaseUnknown', detail))
			.map(object => parseRelease(object))
			.chain(async winner => EitherAsync<Failure, Release>(async ({throwE}) => winner.note.id === release.note.id
				? winner
				: throwE(createFailure('releaseConflict', `release ${winner.number} is ${winner.note.id} by ${winner.note.operator}`))).run());
	}
}
