/** The kept keys of a node, grouped by the terms they were minted under. */
import {recordBytes} from './constants.js';
import {type KeyBounds, type KeyedRequest, type KeyRecord} from './types.js';

type KeyGroup = {
	/** End of the terms, Unix milliseconds. */
	readonly expiresAt: number;
	readonly records: Map<string, KeyRecord>;
	bytes: number;
};

/** Keeps records within bounds; a record is dropped only when its terms have ended. */
export class KeyStore {
	readonly #bounds: KeyBounds;
	readonly #groups = new Map<string, KeyGroup>();
	#keys = 0;
	#bytes = 0;

	constructor(bounds: KeyBounds) {
		this.#bounds = bounds;
	}

	find({termsId, part}: KeyedRequest): KeyRecord | undefined {
		return this.#groups.get(termsId)?.records.get(part);
	}

	/** True when one more key with `bytes` fits. */
	hasRoom({termsId}: KeyedRequest, bytes: number): boolean {
		const group = this.#groups.get(termsId);
		return this.#keys < this.#bounds.maxKeys
			&& this.#bytes + bytes <= this.#bounds.maxKeptBytes
			&& (group?.records.size ?? 0) < this.#bounds.maxKeysPerTerms
			&& (group?.bytes ?? 0) + bytes <= this.#bounds.maxKeptBytesPerTerms;
	}

	set({termsId, part, expiresAt}: KeyedRequest, record: KeyRecord): void {
		const group = this.#groups.get(termsId) ?? {expiresAt, records: new Map<string, KeyRecord>(), bytes: 0};
		const known = group.records.get(part);
		const growth = record.bytes - (known?.bytes ?? 0);
		group.records.set(part, record);
		group.bytes += growth;
		this.#groups.set(termsId, group);
		this.#bytes += growth;
		this.#keys += known ? 0 : 1;
	}

	/** Drops the keys of terms that ended before `now` and have no run in progress; returns how many. */
	sweep(now: number): number {
		const ended = [...this.#groups].filter(([, group]) => group.expiresAt < now && !hasRunning(group));
		ended.forEach(([termsId, group]) => {
			this.#groups.delete(termsId);
			this.#bytes -= group.bytes;
			this.#keys -= group.records.size;
		});
		return ended.reduce((sum, [, {records}]) => sum + records.size, 0);
	}

	countKeys(): number {
		return this.#keys;
	}

	countBytes(): number {
		return this.#bytes;
	}
}

function hasRunning({records}: KeyGroup): boolean {
	return [...records.values()].some(({outcome}) => outcome.kind === 'running');
}

/** Bytes a record with these answer bytes takes. */
export function computeRecordBytes({part}: KeyedRequest, answerBytes: number): number {
	return recordBytes + part.length + answerBytes;
}
