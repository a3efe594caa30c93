/** Finds other nodes by a list in the object API: each node writes one object of its own and reads the list. */
import {EitherAsync, Left} from 'purify-ts';
import * as z from 'zod';
import {
	formatAddress, parseAddress, pickRandom, type Address, type Failure, type Logger,
} from '@limpetbarrow/core';
import {type ObjectStore, type StoredObject} from '@limpetbarrow/object-store';

/** What discovery works with. */
export type StoreDiscoveryOptions = {
	readonly store: ObjectStore;
	readonly self: {readonly id: string; readonly failureDomain: string; readonly gossipAddress: Address};
	readonly logger: Logger;
	/** Called with the gossip addresses of other nodes. */
	readonly handlePeers: (peers: readonly Address[]) => void;
	/** Ids of the live members, this node's among them. */
	readonly listLiveIds: () => readonly string[];
};

/** Prefix of the nodes' objects. */
export const nodePrefix = 'limpetbarrow-nodes/';

/** Time a starting node waits for its number before it takes one from the clock, in milliseconds. */
const incarnationBoundMs = 800;
const firstRetryMs = 500;
const maxRetryMs = 4000;
/** Time between two looks for objects of nodes that are gone, in milliseconds. */
const sweepPeriodMs = 60_000;
/** Time after which a node that knows no other reads the list again, in milliseconds. */
const alonePeriodMs = 2000;

/** Nodes that a node writes to first, in its own failure domain and beyond; it learns of the others from them. */
const nearContacts = 3;
const distantContacts = 3;

const entrySchema = z.object({gossip: z.string(), failureDomain: z.string().default(''), incarnation: z.int().min(0)});

type Entry = z.output<typeof entrySchema>;

function parseEntry(text: string): Entry | undefined {
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
function computeIncarnation(known: StoredObject | undefined): number {
	return Math.max(Date.now(), (known === undefined ? 0 : parseEntry(known.value)?.incarnation ?? 0) + 1);
}

/** Keeps this node in the list and learns of the others. */
export class StoreDiscovery {
	readonly #options: StoreDiscoveryOptions;
	readonly #key: string;
	#incarnation = 0;
	#isWritten = false;
	#timer: NodeJS.Timeout | undefined;
	#retryMs = firstRetryMs;
	#sweptAt = performance.now();
	#missing: ReadonlySet<string> = new Set();
	#isStopped = false;

	constructor(options: StoreDiscoveryOptions) {
		this.#options = options;
		this.#key = `${nodePrefix}${options.self.id}`;
	}

	/** Takes the number of this run and writes this node's object; from the clock alone when the store does not answer. */
	async takeIncarnation(): Promise<number> {
		const bound = new Promise<void>(resolve => {
			setTimeout(resolve, incarnationBoundMs).unref();
		});
		await Promise.race([this.#writeEntry().run(), bound]);
		this.#incarnation = this.#isWritten ? this.#incarnation : computeIncarnation(undefined);
		return this.#incarnation;
	}

	/** Reads the list, and writes this node's object if that is still to be done. */
	start(): void {
		this.#startTimer(0);
	}

	/** Ends; a node that goes for good takes its object with it. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	#startTimer(delayMs: number): void {
		if (!this.#isStopped) {
			this.#timer = setTimeout(() => {
				void this.#runStep();
			}, delayMs);
		}
	}

	async #runStep(): Promise<void> {
		const {logger, listLiveIds, store} = this.#options;
		const list = store.list(nodePrefix);
		const result = await (this.#isWritten ? list : this.#writeEntry().chain(() => list)).run();
		result.ifRight(({objects}) => {
			this.#retryMs = firstRetryMs;
			this.#handleList(objects);
		}).ifLeft(({code, detail}) => {
			logger.log('discoveryFailed', {code, detail});
		});
		if (result.isLeft()) {
			this.#startTimer(this.#retryMs * (0.5 + Math.random()));
			this.#retryMs = Math.min(maxRetryMs, this.#retryMs * 2);
		} else {
			this.#startTimer(listLiveIds().length > 1 ? sweepPeriodMs : alonePeriodMs);
		}
	}

	#writeEntry(): EitherAsync<Failure, StoredObject> {
		const {store} = this.#options;
		return store.create(this.#key, this.#formatEntry(computeIncarnation(undefined)))
			.chainLeft(failure => failure.name === 'platformConflict'
				? store.get(this.#key).chain(known => store.update(this.#key, this.#formatEntry(computeIncarnation(known)), known.version))
				: EitherAsync.liftEither(Left(failure)))
			.ifRight(({value}) => {
				this.#isWritten = true;
				this.#incarnation = parseEntry(value)?.incarnation ?? this.#incarnation;
			});
	}

	#formatEntry(incarnation: number): string {
		const {gossipAddress, failureDomain} = this.#options.self;
		return JSON.stringify({gossip: formatAddress(gossipAddress), failureDomain, incarnation});
	}

	#handleList(objects: readonly StoredObject[]): void {
		const {self, logger, handlePeers} = this.#options;
		const others = objects.filter(({key}) => key !== this.#key).map(({value}) => parseEntry(value)).filter(entry => entry !== undefined);
		const near = others.filter(({failureDomain}) => failureDomain === self.failureDomain);
		const distant = others.filter(({failureDomain}) => failureDomain !== self.failureDomain);
		const contacts = [...pickRandom(near, nearContacts), ...pickRandom(distant, distantContacts)].flatMap(({gossip}) => parseAddress(gossip) ?? []);
		logger.log('discoveryDone', {nodes: others.length + 1, contacts: contacts.length, incarnation: this.#incarnation});
		handlePeers(contacts);
		void this.#sweep(objects);
	}

	/** The live node with the lowest id drops objects whose node was not there at two looks in a row. */
	async #sweep(objects: readonly StoredObject[]): Promise<void> {
		const now = performance.now();
		const live = new Set(this.#options.listLiveIds());
		const [lowest] = [...live].toSorted((a, b) => Number(a > b) - Number(a < b));
		if (lowest !== this.#options.self.id || now - this.#sweptAt < sweepPeriodMs) {
			return;
		}

		this.#sweptAt = now;
		const absent = objects.filter(({key}) => !live.has(key.slice(nodePrefix.length)));
		const gone = absent.filter(({key}) => this.#missing.has(key));
		this.#missing = new Set(absent.map(({key}) => key));
		await Promise.all(gone.map(async ({key, version}) => this.#options.store.remove(key, version).run()));
	}
}
