/**
 * The entry of this node in the object API. It holds the node's gossip address, the incarnation of its current process,
 * the backend servers of its host that have left, and the marks of requests that crashed them. A node stores nothing on its
 * own disk, so the entry carries what has to outlive the process over to the one that replaces it.
 */
import {
	EitherAsync, Left, Right, type Either,
} from 'purify-ts';
import * as z from 'zod';
import {
	formatAddress, type Address, type Failure, type PoisonMark,
} from '@limpetbarrow/core';
import {applyExpiryLimit, maxMarks, mergePoisonMarks} from '@limpetbarrow/detect';
import {mergeLeft, type LeftServers} from '@limpetbarrow/members';
import {type ObjectStore, type StoredObject} from '@limpetbarrow/object-store';

/** Prefix of the keys of all nodes' entries. */
export const nodeKeyPrefix = 'limpetbarrow-nodes/';

/** Dependencies of a node's entry. */
export type NodeEntryOptions = {
	readonly store: ObjectStore;
	readonly self: {readonly id: string; readonly failureDomain: string; readonly gossipAddress: Address};
	/** Called with the backend servers of this host that have left, whenever an entry that already exists has been read. */
	readonly handleStoredDepartures: (left: LeftServers) => void;
	/** Called with the poison marks that an earlier process of this node has stored, if there are any. */
	readonly handleStoredMarks?: ((marks: readonly PoisonMark[]) => void) | undefined;
};

const markSchema = z.object({
	fingerprint: z.string(),
	serverIds: z.array(z.string()),
	/** End of the mark, in Unix milliseconds. */
	expiresAt: z.int().min(0),
});

const entrySchema = z.object({
	gossip: z.string(),
	failureDomain: z.string().default(''),
	incarnation: z.int().min(0),
	/** Start time of the newest process that has left, by the id of the backend server. */
	left: z.record(z.string(), z.int().min(0)).default({}),
	/** Requests that crashed backend servers of this host. */
	poison: z.unknown().optional().transform(value => z.array(markSchema).safeParse(value).data?.slice(-maxMarks) ?? []),
});

/** The stored fields of an entry. */
export type NodeEntryFields = z.output<typeof entrySchema>;

/** Parses an entry; returns undefined if it is malformed, for example because something else has overwritten it. */
export function parseNodeEntry(text: string): NodeEntryFields | undefined {
	try {
		return entrySchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

/**
 * Computes the incarnation of this process: higher than the previous process's, whatever the clock says. It is based on
 * the clock, so that it also grows over restarts while the store is unavailable.
 */
function computeIncarnation(stored: NodeEntryFields | undefined): number {
	return Math.max(Date.now(), (stored?.incarnation ?? 0) + 1);
}

/** Formats marks for a comparison in which their order doesn't matter. */
function formatMarks(marks: readonly PoisonMark[]): string {
	return JSON.stringify(marks.map(({fingerprint, serverIds, expiresAt}) => [fingerprint, expiresAt, ...serverIds.toSorted()].join(' ')).toSorted());
}

/** Writes the entry of this node; its writes run one after another. */
export class NodeEntry {
	readonly key: string;
	readonly #options: NodeEntryOptions;
	#version: number | undefined;
	#incarnation = 0;
	/** True once an entry with the incarnation has been written; it stays the same from then on. */
	#hasIncarnation = false;
	#departures: LeftServers = new Map();
	/** Departures that the entry in the object API is known to hold. */
	#storedDepartures: LeftServers = new Map();
	#marks: readonly PoisonMark[] = [];
	/** The marks as the entry in the object API is known to hold them. */
	#storedMarks: readonly PoisonMark[] = [];
	#lastWrite: Promise<unknown> = Promise.resolve();

	constructor(options: NodeEntryOptions) {
		this.#options = options;
		this.key = `${nodeKeyPrefix}${options.self.id}`;
	}

	/** Returns the incarnation of this process; it comes from the clock alone while the entry has not been written. */
	getIncarnation(): number {
		this.#incarnation ||= computeIncarnation(undefined);
		return this.#incarnation;
	}

	isWritten(): boolean {
		return this.#version !== undefined;
	}

	/** Forgets what the store is known to hold, because it was restored: the entry has to be written again. */
	forgetStored(): void {
		this.#version = undefined;
		this.#storedDepartures = new Map();
		this.#storedMarks = [];
	}

	/** Writes the entry of this process, and reads the departures that the previous process stored. */
	write(): EitherAsync<Failure, void> {
		return this.#enqueue(async () => this.isWritten() ? Right(undefined) : this.#createEntry().run());
	}

	/** Resolves once the entry holds these departures; makes no call if it holds them already. */
	writeDepartures(left: LeftServers): EitherAsync<Failure, void> {
		this.#departures = mergeLeft(this.#departures, left);
		return this.#enqueue(async () => this.#hasStored(left) ? Right(undefined) : this.#updateEntry().run());
	}

	/** Resolves once the entry holds these poison marks and no others; makes no call if it does already. */
	writeMarks(marks: readonly PoisonMark[]): EitherAsync<Failure, void> {
		this.#marks = marks;
		return this.#enqueue(async () => formatMarks(this.#storedMarks) === formatMarks(this.#marks) ? Right(undefined) : this.#updateEntry().run());
	}

	#enqueue(write: () => Promise<Either<Failure, void>>): EitherAsync<Failure, void> {
		const written = this.#lastWrite.then(write);
		this.#lastWrite = written;
		return EitherAsync.fromPromise(async () => written);
	}

	#hasStored(left: LeftServers): boolean {
		return [...left].every(([id, generation]) => (this.#storedDepartures.get(id) ?? -1) >= generation);
	}

	#createEntry(): EitherAsync<Failure, void> {
		return this.#handleConflict(this.#options.store.create(this.key, this.#formatEntry()));
	}

	#updateEntry(): EitherAsync<Failure, void> {
		return this.#version === undefined
			? this.#createEntry()
			: this.#handleConflict(this.#options.store.update(this.key, this.#formatEntry(), this.#version));
	}

	/**
	 * Merges with the stored entry after a conflict. The previous process may have written it, or a call of this process whose
	 * answer was lost. An entry that is gone is created again.
	 */
	#handleConflict(call: EitherAsync<Failure, StoredObject>): EitherAsync<Failure, void> {
		const {store, handleStoredDepartures, handleStoredMarks} = this.#options;
		return call
			.chainLeft(failure => failure.name === 'platformNotFound' ? store.create(this.key, this.#formatEntry()) : EitherAsync.liftEither(Left(failure)))
			.chainLeft(failure => failure.name === 'platformConflict'
				? store.get(this.key).chain(stored => {
					const fields = parseNodeEntry(stored.value);
					const isOfEarlierProcess = !this.#hasIncarnation;
					this.#incarnation = isOfEarlierProcess ? computeIncarnation(fields) : this.#incarnation;
					this.#departures = mergeLeft(this.#departures, new Map(Object.entries(fields?.left ?? {})));
					handleStoredDepartures(this.#departures);
					if (isOfEarlierProcess && fields) {
						const earlierMarks = applyExpiryLimit(fields.poison, Date.now());
						this.#marks = [...mergePoisonMarks([...this.#marks, ...earlierMarks], Date.now()).values()].slice(0, maxMarks);
						handleStoredMarks?.(earlierMarks);
					}

					return store.update(this.key, this.#formatEntry(), stored.version);
				})
				: EitherAsync.liftEither(Left(failure)))
			.ifRight(({version, value}) => {
				this.#hasIncarnation = true;
				this.#version = version;
				const stored = parseNodeEntry(value);
				this.#storedDepartures = new Map(Object.entries(stored?.left ?? {}));
				this.#storedMarks = stored?.poison ?? [];
			})
			.map(() => undefined);
	}

	#formatEntry(): string {
		const {gossipAddress, failureDomain} = this.#options.self;
		const fields: NodeEntryFields = {
			gossip: formatAddress(gossipAddress),
			failureDomain,
			incarnation: this.getIncarnation(),
			left: Object.fromEntries(this.#departures),
			poison: this.#marks.map(({serverIds, ...mark}) => ({...mark, serverIds: [...serverIds]})),
		};
		return JSON.stringify(fields);
	}
}
