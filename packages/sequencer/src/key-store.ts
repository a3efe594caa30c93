/** The stored keys of a node, grouped by the terms under which they were created. */
import {recordOverheadBytes} from './constants.js';
import {type KeyBounds, type KeyedRequest, type KeyRecord} from './types.js';

type TermsGroup = {
	/** End of the terms, in Unix milliseconds. */
	readonly expiresAt: number;
	readonly records: Map<string, KeyRecord>;
	bytes: number;
};

/** Stores the records of keys. A record is removed only after its terms have ended. */
export class KeyStore {
	readonly #bounds: KeyBounds;
	readonly #groups = new Map<string, TermsGroup>();
	#keyCount = 0;
	#byteCount = 0;

	constructor(bounds: KeyBounds) {
		this.#bounds = bounds;
	}

	find({termsId, part}: KeyedRequest): KeyRecord | undefined {
		return this.#groups.get(termsId)?.records.get(part);
	}

	/** Returns true if one more key that takes `bytes` stays within the limits. */
	hasRoom({termsId}: KeyedRequest, bytes: number): boolean {
		const group = this.#groups.get(termsId);
		return this.#keyCount < this.#bounds.maxKeys
			&& this.#byteCount + bytes <= this.#bounds.maxKeptBytes
			&& (group?.records.size ?? 0) < this.#bounds.maxKeysPerTerms
			&& (group?.bytes ?? 0) + bytes <= this.#bounds.maxKeptBytesPerTerms;
	}

	set({termsId, part, expiresAt}: KeyedRequest, record: KeyRecord): void {
		const group = this.#groups.get(termsId) ?? {expiresAt, records: new Map<string, KeyRecord>(), bytes: 0};
		const existing = group.records.get(part);
		const growth = record.bytes - (existing?.bytes ?? 0);
		group.records.set(part, record);
		group.bytes += growth;
		this.#groups.set(termsId, group);
		this.#byteCount += growth;
		this.#keyCount += existing ? 0 : 1;
	}

	/**
	 * Removes the keys of terms that ended before `now` (Unix milliseconds) and have no run in progress. Returns the number
	 * of removed keys.
	 */
	sweep(now: number): number {
		const endedGroups = [...this.#groups].filter(([, group]) => group.expiresAt < now && !hasRunInProgress(group));
		endedGroups.forEach(([termsId, group]) => {
			this.#groups.delete(termsId);
			this.#byteCount -= group.bytes;
			this.#keyCount -= group.records.size;
		});
		return endedGroups.reduce((sum, [, {records}]) => sum + records.size, 0);
	}

	countKeys(): number {
		return this.#keyCount;
	}

	countBytes(): number {
		return this.#byteCount;
	}
}

function hasRunInProgress({records}: TermsGroup): boolean {
	return [...records.values()].some(({outcome}) => outcome.kind === 'running');
}

/** Computes the memory that a record with an answer of `answerBytes` takes, in bytes. */
export function computeRecordBytes({part}: KeyedRequest, answerBytes: number): number {
	return recordOverheadBytes + part.length + answerBytes;
}
