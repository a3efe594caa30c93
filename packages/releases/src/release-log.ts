/** Reads the numbered log of releases in the platform's object API. */
import {EitherAsync, Right} from 'purify-ts';
import {type Failure} from '@limpetbarrow/core';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {selectSuccessors} from './configuration.js';
import {
	isMultipart, parseMultipartNote, parseStoredRelease, type MultipartRelease,
} from './release-codec.js';
import {
	getBucketPrefix, getNotePartKey, getReleaseKey, releasesPerBucket,
} from './release-keys.js';
import {type Release} from './types.js';

/** Reads releases. A release is immutable, so one that was found is never stale; that a release is missing may be stale. */
export class ReleaseLog {
	readonly #store: ObjectStore;

	constructor(store: ObjectStore) {
		this.#store = store;
	}

	/** Reads one release; fails with `platformNotFound` when it does not exist. */
	read(number: number): EitherAsync<Failure, Release> {
		return this.#store.get(getReleaseKey(number)).chain(({value}) => this.parse(value));
	}

	/** Reads the releases that follow `after` without a gap; stops after the bucket with which `limit` is reached. */
	readAfter(after: number, limit = Number.POSITIVE_INFINITY): EitherAsync<Failure, readonly Release[]> {
		return this.#readBucket(after).chain(found => {
			const last = found.at(-1)?.number ?? after;
			const isBucketFull = last > after && (last + 1) % releasesPerBucket === 0;
			return isBucketFull && found.length < limit
				? this.readAfter(last, limit - found.length).map(rest => [...found, ...rest])
				: EitherAsync.liftEither(Right(found));
		});
	}

	/** Parses a stored release and reads the parts of its note when it is multipart. */
	parse(text: string): EitherAsync<Failure, Release> {
		return EitherAsync.liftEither(parseStoredRelease(text))
			.chain(stored => isMultipart(stored) ? this.#readParts(stored) : EitherAsync.liftEither(Right(stored)));
	}

	#readBucket(after: number): EitherAsync<Failure, readonly Release[]> {
		return this.#store.list(getBucketPrefix(after + 1)).chain(({objects}) => {
			const texts = objects.filter(({key}) => key > getReleaseKey(after)).map(({value}) => value);
			return EitherAsync.sequence(texts.map(text => this.parse(text)));
		}).map(releases => selectSuccessors(after, releases));
	}

	#readParts(stored: MultipartRelease): EitherAsync<Failure, Release> {
		const keys = Array.from({length: stored.partCount}, (_, index) => getNotePartKey(stored.noteId, stored.digest, index));
		return EitherAsync.sequence(keys.map(key => this.#store.get(key)))
			.chain(async parts => parseMultipartNote(stored, parts.map(({value}) => value).join('')));
	}
}
