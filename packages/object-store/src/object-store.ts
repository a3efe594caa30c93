/** Interface to the platform's object API. */
import {type EitherAsync} from 'purify-ts';
import {Subject, type Failure} from '@limpetbarrow/core';
import {
	type CallCounts, type CallKind, type EraChange, type ObjectList, type StoredObject, type WatchOptions, type WatchResult,
} from './types.js';

/**
 * Versioned objects with conditional changes and watches.
 *
 * A store that is restored from an older copy begins a new era: what was written since that copy is gone, and versions are given
 * out again. Whoever keeps something of the store listens to `eraChanges`.
 *
 * Failures: `platformUnavailable` (a change may have taken effect nevertheless), `platformConflict`, `platformNotFound`,
 * `platformTooLarge`, `platformMalformed`.
 */
export abstract class ObjectStore {
	/** Publishes each later era that becomes known, before the answer that told it is returned. */
	readonly eraChanges = new Subject<EraChange>();
	#counts: CallCounts = {
		get: 0, list: 0, create: 0, update: 0, delete: 0, watch: 0,
	};

	#era: number | undefined;

	/** Returns the latest era that is known; undefined before the store has told one. */
	getEra(): number | undefined {
		return this.#era;
	}

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

	/** Records an era that the store has told; earlier ones than the known one are ignored. */
	protected recordEra(era: number): void {
		const previous = this.#era;
		if (previous === undefined || era > previous) {
			this.#era = era;
			this.eraChanges.publish({era, ...(previous !== undefined && {previous})});
		}
	}

	protected recordCall(kind: CallKind): void {
		this.#counts = {...this.#counts, [kind]: this.#counts[kind] + 1};
	}
}
