/**
 * The object of this node in the object API. It holds where others find the node, the number of its run, and which backend
 * servers of its host have left: the node keeps nothing itself, and what it has acknowledged binds the process after it.
 */
import {
	EitherAsync, Left, Right, type Either,
} from 'purify-ts';
import * as z from 'zod';
import {formatAddress, type Address, type Failure} from '@limpetbarrow/core';
import {mergeLeft, type LeftServers} from '@limpetbarrow/members';
import {type ObjectStore, type StoredObject} from '@limpetbarrow/object-store';

/** Prefix of the nodes' objects. */
export const nodeKeyPrefix = 'limpetbarrow-nodes/';

/** What a node's entry is made of. */
export type NodeEntryOptions = {
	readonly store: ObjectStore;
	readonly self: {readonly id: string; readonly failureDomain: string; readonly gossipAddress: Address};
	/** Called with the backend servers of this host that have left, once the entry of the run before has been read. */
	readonly handleStoredDepartures: (left: LeftServers) => void;
};

const entrySchema = z.object({
	gossip: z.string(),
	failureDomain: z.string().default(''),
	incarnation: z.int().min(0),
	/** Start of the newest run that has left, by the backend server's id. */
	left: z.record(z.string(), z.int().min(0)).default({}),
});

/** What an entry says. */
export type NodeEntryFields = z.output<typeof entrySchema>;

/** Reads an entry; one that another writer has spoilt is none. */
export function parseNodeEntry(text: string): NodeEntryFields | undefined {
	try {
		return entrySchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

/**
 * The number of this run: above that of the run before, whatever the clock says. A number from the clock is the start,
 * so that it also grows while the store is away.
 */
function computeIncarnation(known: NodeEntryFields | undefined): number {
	return Math.max(Date.now(), (known?.incarnation ?? 0) + 1);
}

/** Writes the entry, one call at a time. */
export class NodeEntry {
	readonly key: string;
	readonly #options: NodeEntryOptions;
	#version: number | undefined;
	#incarnation = 0;
	#departures: LeftServers = new Map();
	/** What the entry in the object API is known to hold. */
	#storedDepartures: LeftServers = new Map();
	#lastWrite: Promise<unknown> = Promise.resolve();

	constructor(options: NodeEntryOptions) {
		this.#options = options;
		this.key = `${nodeKeyPrefix}${options.self.id}`;
	}

	/** The number of this run; from the clock alone while the entry is not written. */
	getIncarnation(): number {
		this.#incarnation ||= computeIncarnation(undefined);
		return this.#incarnation;
	}

	isWritten(): boolean {
		return this.#version !== undefined;
	}

	/** Writes the entry of this run, and learns what the run before has left behind. */
	write(): EitherAsync<Failure, void> {
		return this.#enqueue(async () => this.isWritten() ? Right(undefined) : this.#createEntry().run());
	}

	/** Resolves once the entry holds that these runs have left; costs no call where it does already. */
	writeDepartures(left: LeftServers): EitherAsync<Failure, void> {
		this.#departures = mergeLeft(this.#departures, left);
		return this.#enqueue(async () => this.#hasStored(left) ? Right(undefined) : this.#updateEntry().run());
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

	/** The object may be that of the run before, or have been changed by a call of this run whose answer was lost. */
	#handleConflict(call: EitherAsync<Failure, StoredObject>): EitherAsync<Failure, void> {
		const {store, handleStoredDepartures: handleLeft} = this.#options;
		return call
			.chainLeft(failure => failure.name === 'platformConflict'
				? store.get(this.key).chain(known => {
					const fields = parseNodeEntry(known.value);
					this.#incarnation = this.isWritten() ? this.#incarnation : computeIncarnation(fields);
					this.#departures = mergeLeft(this.#departures, new Map(Object.entries(fields?.left ?? {})));
					handleLeft(this.#departures);
					return store.update(this.key, this.#formatEntry(), known.version);
				})
				: EitherAsync.liftEither(Left(failure)))
			.ifRight(({version, value}) => {
				this.#version = version;
				this.#storedDepartures = new Map(Object.entries(parseNodeEntry(value)?.left ?? {}));
			})
			.map(() => undefined);
	}

	#formatEntry(): string {
		const {gossipAddress, failureDomain} = this.#options.self;
		const fields: NodeEntryFields = {
			gossip: formatAddress(gossipAddress), failureDomain, incarnation: this.getIncarnation(), left: Object.fromEntries(this.#departures),
		};
		return JSON.stringify(fields);
	}
}
