/** Interface to the platform's object API. */
import {type EitherAsync} from 'purify-ts';
import {type Failure} from '@limpetbarrow/core';
import {
	type CallCounts, type CallKind, type ObjectList, type StoredObject, type WatchOptions, type WatchResult,
} from './types.js';

/**
 * Versioned objects with conditional changes and watches.
 *
 * Failures: `platformUnavailable` (a change may have taken effect nevertheless), `platformConflict`, `platformNotFound`,
 * `platformTooLarge`, `platformMalformed`.
 */
export abstract class ObjectStore {
	#counts: CallCounts = {
		get: 0, list: 0, create: 0, update: 0, delete: 0, watch: 0,
	};

	/** Returns the number of calls made so far, by kind. */
	getCallCounts(): CallCounts {
		return this.#counts;
	}

	/** Reads one object; fails with `platformNotFound` when it does not exist. */
	abstract get(key: string): EitherAsync<Failure, StoredObject>;
	/** Lists the objects whose keys start with `prefix`. */
	abstract list(prefix: string): EitherAsync<Failure, ObjectList>;
	/** Creates the object; fails with `platformConflict` when it already exists. */
	abstract create(key: string, value: string): EitherAsync<Failure, StoredObject>;
	/** Replaces the object's value; fails with `platformConflict` when its version is not `version`. */
	abstract update(key: string, value: string, version: number): EitherAsync<Failure, StoredObject>;
	/** Deletes the object; fails with `platformConflict` when its version is not `version`. */
	abstract remove(key: string, version: number): EitherAsync<Failure, void>;
	/** Waits for changes to keys that start with `prefix` after `fromVersion`; resolves without events when the wait time is over. */
	abstract watch(prefix: string, fromVersion: number, options?: WatchOptions): EitherAsync<Failure, WatchResult>;

	protected recordCall(kind: CallKind): void {
		this.#counts = {...this.#counts, [kind]: this.#counts[kind] + 1};
	}
}
