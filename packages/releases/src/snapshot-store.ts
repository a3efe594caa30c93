/**
 * Snapshots of the configuration in the platform's object API, which save a new node from reading the whole log.
 *
 * A snapshot is only a cache of the log. Its parts are written under keys that are unique to the writer; then a
 * conditional update of the pointer replaces the previous snapshot. A reader that finds the snapshot missing or damaged
 * reads the log instead.
 */
import {EitherAsync, Left, Right} from 'purify-ts';
import * as z from 'zod';
import {createFailure, createRandomId, type Failure} from '@limpetbarrow/core';
import {type ObjectStore, type StoredObject} from '@limpetbarrow/object-store';
import {toTextParts, hashText} from './text-parts.js';
import {encodeConfiguration, parseConfigurationText} from './release-codec.js';
import {getSnapshotPartKey, snapshotPointerKey} from './release-keys.js';
import {type Configuration} from './types.js';

/** Number of releases after which a new snapshot is written. */
export const releasesPerSnapshot = 100;

const partSchema = z.strictObject({key: z.string(), version: z.int()});

const pointerSchema = z.strictObject({
	number: z.int().min(1),
	/** SHA-256 hash of the snapshot's text. */
	digest: z.string(),
	parts: z.array(partSchema).max(10_000),
	/** Parts of the previous snapshot, which are kept because a reader may still be reading them. */
	previousParts: z.array(partSchema).max(10_000),
});

type SnapshotPointer = z.output<typeof pointerSchema>;
type SnapshotPart = z.output<typeof partSchema>;

function parsePointer({value}: StoredObject): SnapshotPointer | undefined {
	try {
		return pointerSchema.safeParse(JSON.parse(value)).data;
	} catch {
		return undefined;
	}
}

/** Reads and writes snapshots. */
export class SnapshotStore {
	readonly #store: ObjectStore;

	constructor(store: ObjectStore) {
		this.#store = store;
	}

	/** Reads the newest snapshot. */
	read(): EitherAsync<Failure, Configuration> {
		return this.#store.get(snapshotPointerKey).chain(async object => {
			const pointer = parsePointer(object);
			return pointer
				? this.#readParts(pointer).run()
				: Left(createFailure('releaseUnreadable', 'the snapshot pointer is not valid'));
		});
	}

	/** Writes a snapshot when the newest one is at least `releasesPerSnapshot` behind; resolves to whether it did. */
	writeIfDue(configuration: Configuration): EitherAsync<Failure, boolean> {
		return this.#readPointer().chain(object => {
			const current = object && parsePointer(object);
			return configuration.release - (current?.number ?? 0) < releasesPerSnapshot
				? EitherAsync.liftEither(Right(false))
				: this.#write(configuration, object, current);
		});
	}

	#readPointer(): EitherAsync<Failure, StoredObject | undefined> {
		return this.#store.get(snapshotPointerKey)
			.map<StoredObject | undefined>(object => object)
			.chainLeft(async failure => failure.name === 'platformNotFound' ? Right(undefined) : Left(failure));
	}

	#readParts({number, digest, parts}: SnapshotPointer): EitherAsync<Failure, Configuration> {
		return EitherAsync.sequence(parts.map(({key}) => this.#store.get(key))).chain(async objects => {
			const text = objects.map(({value}) => value).join('');
			return hashText(text) === digest
				? parseConfigurationText(text)
				: Left(createFailure('releaseUnreadable', `the parts of snapshot ${number} do not have its digest`));
		});
	}

	#write(configuration: Configuration, object: StoredObject | undefined, current: SnapshotPointer | undefined): EitherAsync<Failure, boolean> {
		const text = JSON.stringify(encodeConfiguration(configuration));
		const writerId = createRandomId();
		const keyedParts = toTextParts(text).map((value, index) => ({key: getSnapshotPartKey(configuration.release, writerId, index), value}));
		return EitherAsync.sequence(keyedParts.map(({key, value}) => this.#store.create(key, value))).chain(created => {
			const parts = created.map(({key, version}) => ({key, version}));
			const pointer: SnapshotPointer = {
				number: configuration.release, digest: hashText(text), parts, previousParts: current?.parts ?? [],
			};
			return this.#replacePointer(object, pointer)
				.chain(async () => this.#removeParts(current?.previousParts ?? []))
				.chainLeft(async failure => failure.name === 'platformConflict'
					? this.#removeParts(parts).then(() => Left<Failure, boolean>(failure))
					: Left<Failure, boolean>(failure));
		});
	}

	#replacePointer(object: StoredObject | undefined, pointer: SnapshotPointer): EitherAsync<Failure, StoredObject> {
		const value = JSON.stringify(pointer);
		return object
			? this.#store.update(snapshotPointerKey, value, object.version)
			: this.#store.create(snapshotPointerKey, value);
	}

	async #removeParts(parts: readonly SnapshotPart[]) {
		await Promise.all(parts.map(async ({key, version}) => this.#store.remove(key, version).run()));
		return Right<boolean, Failure>(true);
	}
}
