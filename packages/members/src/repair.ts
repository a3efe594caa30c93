/**
 * Anti-entropy repair between two members: they compare digests with a hash per bucket, then summaries of the buckets that
 * differ, then exchange only the parts of records that differ.
 */
import {type Address} from '@limpetbarrow/core';
import {
	catchUpPeriodMs, digestBuckets, maxDatagramBytes, maxRequestsPerSummary, repairBurstBytes, repairBytesPerSecond, repairPeriodMs,
} from './constants.js';
import {createSender, type MembershipContext} from './dissemination.js';
import {hashEntry, isNewerStatus} from './merge-updates.js';
import {
	type DigestMessage, type EntrySummary, type PullMessage, type RecordRequest, type SummaryMessage,
} from './message.js';
import {computeUpdateBytes} from './message-codec.js';
import {pickPeers} from './peer-choice.js';
import {toShuffled} from './probe-schedule.js';
import {hashText} from './record-parts.js';
import {TokenBucket} from './token-bucket.js';
import {type MemberEntry, type MemberUpdate} from './types.js';

const summaryEntryBytes = 34;
const entriesPerSummary = Math.floor((maxDatagramBytes - 60) / summaryEntryBytes);
const maxSummariesPerDigest = 4;
const maxPartsBytes = maxDatagramBytes - 60;
const hashModulus = 4_294_967_291;
const entryHashes = new WeakMap<MemberEntry, number>();
const bucketIndexById = new Map<string, number>();
const maxCachedBucketIndexes = 16_384;

function getEntryHash(entry: MemberEntry): number {
	const known = entryHashes.get(entry) ?? hashEntry(entry);
	entryHashes.set(entry, known);
	return known;
}

function getBucketIndex(id: string): number {
	const known = bucketIndexById.get(id) ?? hashText(id) % digestBuckets;
	if (bucketIndexById.size < maxCachedBucketIndexes) {
		bucketIndexById.set(id, known);
	}

	return known;
}

/** Computes one hash for each bucket, over the members that are not dead. */
export function computeDigest(entries: Iterable<MemberEntry>): readonly number[] {
	const buckets = Array.from({length: digestBuckets}, () => 0);
	[...entries].filter(({status}) => status !== 'dead').forEach(entry => {
		const bucket = getBucketIndex(entry.id);
		buckets[bucket] = (buckets[bucket]! + getEntryHash(entry)) % hashModulus;
	});
	return buckets;
}

/** Splits items into groups of at most `maxBytes`, in order. An item that alone exceeds the limit gets its own group. */
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

function createRecordRequest(entry: MemberEntry | undefined, {id, incarnation}: EntrySummary): RecordRequest {
	const parts = entry?.incarnation === incarnation ? entry.parts : [];
	return {id, incarnation, versions: parts.flatMap(({slot, version}) => [slot, version])};
}

function selectNewerParts(entry: MemberEntry, request: RecordRequest): readonly MemberUpdate[] {
	const isSameRun = entry.incarnation === request.incarnation;
	const versions = new Map(request.versions.flatMap((slot, index) => index % 2 === 0 ? [[slot, request.versions[index + 1] ?? 0] as const] : []));
	return entry.parts
		.filter(({slot, version}) => !isSameRun || version > (versions.get(slot) ?? -1))
		.map(part => ({
			kind: 'part', id: entry.id, incarnation: entry.incarnation, part,
		}));
}

/** Exchanges digests with one member in each repair period. */
export class Repair {
	readonly #context: MembershipContext;
	readonly #sendClaimToMember: (entry: EntrySummary) => void;
	readonly #applyStatus: (entry: EntrySummary) => void;
	readonly #budget = new TokenBucket(repairBytesPerSecond, repairBurstBytes);
	#isCatchingUp = true;
	#nextExchangeAt: number;

	/** `sendClaimToMember` sends a member the status claimed for it; `applyStatus` applies a refutation found in a summary. */
	constructor(context: MembershipContext, sendClaimToMember: (entry: EntrySummary) => void, applyStatus: (entry: EntrySummary) => void) {
		this.#context = context;
		this.#sendClaimToMember = sendClaimToMember;
		this.#applyStatus = applyStatus;
		this.#nextExchangeAt = performance.now() + (context.getRandomNumber() * catchUpPeriodMs);
	}

	/** True while this node lacks records of other members. */
	isCatchingUp(): boolean {
		return this.#isCatchingUp;
	}

	/** Starts a digest exchange if one is due. */
	runStep(): void {
		const now = performance.now();
		if (now < this.#nextExchangeAt) {
			return;
		}

		const {table, transport, getRandomNumber} = this.#context;
		this.#nextExchangeAt = now + (this.#isCatchingUp ? catchUpPeriodMs : repairPeriodMs * (0.5 + getRandomNumber()));
		pickPeers(table, 1, getRandomNumber).forEach(address => {
			transport.send(address, {kind: 'digest', sender: createSender(table), buckets: computeDigest(table.store.getState().entries.values())});
		});
	}

	/** Answers a digest with summaries of the buckets that differ, as far as the budget allows. */
	handleDigest({buckets}: DigestMessage, from: Address): void {
		const {table, transport, getRandomNumber} = this.#context;
		if (this.#budget.count() <= 0) {
			return;
		}

		const entries = [...table.store.getState().entries.values()];
		const own = computeDigest(entries);
		const differing = entries.filter(({id}) => own[getBucketIndex(id)] !== buckets[getBucketIndex(id)]);
		const chosen = toShuffled(differing, getRandomNumber).slice(0, maxSummariesPerDigest * entriesPerSummary);
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

	/** Requests the records that the summary shows to be missing or outdated here. */
	handleSummary({entries}: SummaryMessage, from: Address): void {
		const {table, transport} = this.#context;
		const others = entries.filter(({id}) => id !== table.self.id);
		others.forEach(entry => {
			this.#compareStatus(entry);
		});
		const missing = others.filter(entry => this.#isMissing(entry));
		const requests = others
			.filter(entry => missing.includes(entry) || this.#isOutdated(entry))
			.slice(0, maxRequestsPerSummary)
			.map(entry => createRecordRequest(table.findEntry(entry.id), entry));
		this.#setCatchingUp(missing.length > 0);
		groupBySize(requests, maxDatagramBytes - 60, ({versions}) => 30 + (versions.length * 2)).forEach(group => {
			transport.send(from, {kind: 'pull', sender: createSender(table), wants: group});
		});
	}

	/** Answers a request with the newer parts, as far as the budget allows. */
	handlePull({wants}: PullMessage, from: Address): void {
		const {table, transport} = this.#context;
		const updates = wants.flatMap(request => {
			const entry = table.findEntry(request.id);
			return entry ? selectNewerParts(entry, request) : [];
		});
		groupBySize(updates, maxPartsBytes, computeUpdateBytes).forEach(group => {
			if (this.#budget.count() > 0) {
				this.#budget.take(maxPartsBytes);
				transport.send(from, {kind: 'parts', sender: createSender(table), updates: group});
			}
		});
	}

	#setCatchingUp(isCatchingUp: boolean): void {
		if (isCatchingUp && !this.#isCatchingUp) {
			this.#nextExchangeAt = Math.min(this.#nextExchangeAt, performance.now() + catchUpPeriodMs);
		}

		this.#isCatchingUp = isCatchingUp;
	}

	/** True when the summary has a live run that this node lacks and that no tombstone covers. */
	#isMissing({id, incarnation, refutation, status}: EntrySummary): boolean {
		const {table} = this.#context;
		const known = table.findEntry(id);
		const tombstone = table.store.getState().tombstones.get(id);
		const isCoveredByTombstone = tombstone !== undefined && tombstone.incarnation >= incarnation && tombstone.refutation >= refutation;
		return status !== 'dead' && !isCoveredByTombstone && (known === undefined || known.incarnation < incarnation);
	}

	/** True when this node knows the run, but other versions of its parts. */
	#isOutdated({id, incarnation, status, partsHash}: EntrySummary): boolean {
		const known = this.#context.table.findEntry(id);
		return status !== 'dead' && known?.incarnation === incarnation && known.partsHash !== partsHash;
	}

	/** Compares the status in a summary with the known one. A newer claim is sent to its subject, which can refute it. */
	#compareStatus(entry: EntrySummary): void {
		const known = this.#context.table.findEntry(entry.id);
		if (known?.incarnation !== entry.incarnation) {
			return;
		}

		if (entry.status === 'alive' && entry.refutation > known.refutation) {
			this.#applyStatus(entry);
		} else if (isNewerStatus(entry, known)) {
			this.#sendClaimToMember(entry);
		} else if (known.status !== 'alive' && isNewerStatus(known, entry)) {
			this.#sendClaimToMember(known);
		}
	}
}
