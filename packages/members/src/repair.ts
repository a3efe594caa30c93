/** Brings two members to the same knowledge: bucketed digests, then only what differs. */
import {type Address} from '@limpetbarrow/core';
import {
	catchUpPeriodMs, digestBuckets, maxDatagramBytes, maxWantsPerSummary, repairBurstBytes, repairBytesPerSecond, repairPeriodMs,
} from './constants.js';
import {createSender, type MembershipContext} from './dissemination.js';
import {hashEntry, isNewerStatus} from './merge-updates.js';
import {
	type DigestMessage, type EntrySummary, type PullMessage, type RecordWant, type SummaryMessage,
} from './message.js';
import {computeUpdateBytes} from './message-codec.js';
import {pickPeers} from './peer-choice.js';
import {pickShuffled} from './probe-schedule.js';
import {hashText} from './record-parts.js';
import {TokenBucket} from './token-bucket.js';
import {type MemberEntry, type MemberUpdate} from './types.js';

const summaryEntryBytes = 34;
const entriesPerSummary = Math.floor((maxDatagramBytes - 60) / summaryEntryBytes);
const maxSummaries = 4;
const partsBytes = maxDatagramBytes - 60;
const hashModulus = 4_294_967_291;
const hashes = new WeakMap<MemberEntry, number>();
const bucketsById = new Map<string, number>();
const maxCachedBuckets = 16_384;

function getHash(entry: MemberEntry): number {
	const known = hashes.get(entry) ?? hashEntry(entry);
	hashes.set(entry, known);
	return known;
}

function getBucket(id: string): number {
	const known = bucketsById.get(id) ?? hashText(id) % digestBuckets;
	if (bucketsById.size < maxCachedBuckets) {
		bucketsById.set(id, known);
	}

	return known;
}

/** Bucketed hashes of all members that are not dead. */
export function computeDigest(entries: Iterable<MemberEntry>): readonly number[] {
	const buckets = Array.from({length: digestBuckets}, () => 0);
	[...entries].filter(({status}) => status !== 'dead').forEach(entry => {
		const bucket = getBucket(entry.id);
		buckets[bucket] = (buckets[bucket]! + getHash(entry)) % hashModulus;
	});
	return buckets;
}

/** Splits items into groups of limited size. */
export function groupBySize<Item>(items: readonly Item[], maxBytes: number, measureBytes: (item: Item) => number): ReadonlyArray<readonly Item[]> {
	const groups: Item[][] = [];
	let bytes = Number.POSITIVE_INFINITY;
	items.forEach(item => {
		const size = measureBytes(item);
		if (bytes + size > maxBytes) {
			groups.push([]);
			bytes = 0;
		}

		groups.at(-1)!.push(item);
		bytes += size;
	});
	return groups;
}

function createWant(entry: MemberEntry | undefined, {id, incarnation}: EntrySummary): RecordWant {
	const parts = entry?.incarnation === incarnation ? entry.parts : [];
	return {id, incarnation, versions: parts.flatMap(({slot, version}) => [slot, version])};
}

function selectNewerParts(entry: MemberEntry, want: RecordWant): readonly MemberUpdate[] {
	const isSameRun = entry.incarnation === want.incarnation;
	const versions = new Map(want.versions.flatMap((slot, index) => index % 2 === 0 ? [[slot, want.versions[index + 1] ?? 0] as const] : []));
	return entry.parts
		.filter(({slot, version}) => !isSameRun || version > (versions.get(slot) ?? -1))
		.map(part => ({
			kind: 'part', id: entry.id, incarnation: entry.incarnation, part,
		}));
}

/** Compares with one member a period. */
export class Repair {
	readonly #context: MembershipContext;
	readonly #sendChallenge: (entry: EntrySummary) => void;
	readonly #applyStatus: (entry: EntrySummary) => void;
	readonly #budget = new TokenBucket(repairBytesPerSecond, repairBurstBytes);
	#isCatchingUp = true;
	#nextAt: number;

	/** `sendChallenge` tells a member what is said of it; `applyStatus` takes a refutation. */
	constructor(context: MembershipContext, sendChallenge: (entry: EntrySummary) => void, applyStatus: (entry: EntrySummary) => void) {
		this.#context = context;
		this.#sendChallenge = sendChallenge;
		this.#applyStatus = applyStatus;
		this.#nextAt = performance.now() + (context.pickNext() * catchUpPeriodMs);
	}

	/** True while records of other members are missing here. */
	isCatchingUp(): boolean {
		return this.#isCatchingUp;
	}

	runStep(): void {
		const now = performance.now();
		if (now < this.#nextAt) {
			return;
		}

		const {table, transport, pickNext} = this.#context;
		this.#nextAt = now + (this.#isCatchingUp ? catchUpPeriodMs : repairPeriodMs * (0.5 + pickNext()));
		pickPeers(table, 1, pickNext).forEach(address => {
			transport.send(address, {kind: 'digest', sender: createSender(table), buckets: computeDigest(table.store.getState().entries.values())});
		});
	}

	handleDigest({buckets}: DigestMessage, from: Address): void {
		const {table, transport, pickNext} = this.#context;
		if (this.#budget.count() <= 0) {
			return;
		}

		const entries = [...table.store.getState().entries.values()];
		const own = computeDigest(entries);
		const differing = entries.filter(({id}) => own[getBucket(id)] !== buckets[getBucket(id)]);
		const chosen = pickShuffled(differing, pickNext).slice(0, maxSummaries * entriesPerSummary);
		const groups = chosen.length === 0 ? [[]] : groupBySize(chosen, entriesPerSummary, () => 1);
		groups.forEach(group => {
			this.#budget.take(group.length * summaryEntryBytes);
			transport.send(from, {
				kind: 'summary',
				sender: createSender(table),
				entries: group.map(({id, incarnation, refutation, status, partsHash}) => ({
					id, incarnation, refutation, status, partsHash,
				})),
			});
		});
	}

	handleSummary({entries}: SummaryMessage, from: Address): void {
		const {table, transport} = this.#context;
		const others = entries.filter(({id}) => id !== table.self.id);
		others.forEach(entry => {
			this.#compareStatus(entry);
		});
		const missing = others.filter(entry => this.#isMissing(entry));
		const wants = others
			.filter(entry => missing.includes(entry) || this.#isBehind(entry))
			.slice(0, maxWantsPerSummary)
			.map(entry => createWant(table.findEntry(entry.id), entry));
		this.#setCatchingUp(missing.length > 0);
		groupBySize(wants, maxDatagramBytes - 60, ({versions}) => 30 + (versions.length * 2)).forEach(group => {
			transport.send(from, {kind: 'pull', sender: createSender(table), wants: group});
		});
	}

	handlePull({wants}: PullMessage, from: Address): void {
		const {table, transport} = this.#context;
		const updates = wants.flatMap(want => {
			const entry = table.findEntry(want.id);
			return entry ? selectNewerParts(entry, want) : [];
		});
		groupBySize(updates, partsBytes, computeUpdateBytes).forEach(group => {
			if (this.#budget.count() > 0) {
				this.#budget.take(partsBytes);
				transport.send(from, {kind: 'parts', sender: createSender(table), updates: group});
			}
		});
	}

	#setCatchingUp(isCatchingUp: boolean): void {
		if (isCatchingUp && !this.#isCatchingUp) {
			this.#nextAt = Math.min(this.#nextAt, performance.now() + catchUpPeriodMs);
		}

		this.#isCatchingUp = isCatchingUp;
	}

	#isMissing({id, incarnation, refutation, status}: EntrySummary): boolean {
		const {table} = this.#context;
		const known = table.findEntry(id);
		const grave = table.store.getState().graves.get(id);
		const isBuried = grave !== undefined && grave.incarnation >= incarnation && grave.refutation >= refutation;
		return status !== 'dead' && !isBuried && (known === undefined || known.incarnation < incarnation);
	}

	#isBehind({id, incarnation, status, partsHash}: EntrySummary): boolean {
		const known = this.#context.table.findEntry(id);
		return status !== 'dead' && known?.incarnation === incarnation && known.partsHash !== partsHash;
	}

	#compareStatus(entry: EntrySummary): void {
		const known = this.#context.table.findEntry(entry.id);
		if (known?.incarnation !== entry.incarnation) {
			return;
		}

		if (entry.status === 'alive' && entry.refutation > known.refutation) {
			this.#applyStatus(entry);
		} else if (isNewerStatus(entry, known)) {
			this.#sendChallenge(entry);
		} else if (known.status !== 'alive' && isNewerStatus(known, entry)) {
			this.#sendChallenge(known);
		}
	}
}
