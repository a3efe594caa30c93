/** The platform's object API as the system uses it. */
import {type EitherAsync} from 'purify-ts';
import {type Failure} from '@limpetbarrow/core';
import {
	type CallCounts, type CallKind, type ObjectList, type StoredObject, type WatchResult,
} from './types.js';

/**
 * Versions, conditional changes and watches over objects.
 *
 * Failures: `platformUnavailable` (for a change: it may have taken effect), `platformConflict`, `platformNotFound`,
 * `platformTooLarge`, `platformMalformed`.
 */
export abstract class ObjectStore {
	#counts: CallCounts = {
		get: 0, list: 0, create: 0, update: 0, delete: 0, watch: 0,
	};

	/** Calls made so far by kind. */
	getCallCounts(): CallCounts {
		return this.#counts;
	}

	abstract get(key: string): EitherAsync<Failure, StoredObject>;
	/** Lists the objects whose key starts with `prefix`. */
	abstract list(prefix: string): EitherAsync<Failure, ObjectList>;
	/** Creates the object unless it exists. */
	abstract create(key: string, value: string): EitherAsync<Failure, StoredObject>;
	/** Replaces the object if it still has `version`. */
	abstract update(key: string, value: string, version: number): EitherAsync<Failure, StoredObject>;
	/** Deletes the object if it still has `version`. */
	abstract remove(key: string, version: number): EitherAsync<Failure, void>;
	/** Waits for changes below `prefix` after `fromVersion`. Answers empty when none came in time. */
	abstract watch(prefix: string, fromVersion: number, signal?: AbortSignal): EitherAsync<Failure, WatchResult>;

	protected recordCall(kind: CallKind): void {
		this.#counts = {...this.#counts, [kind]: this.#counts[kind] + 1};
	}
}
