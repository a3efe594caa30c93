/** The members that a node knows, in a store of immutable snapshots. */
import {Store, type NodeIdentity, type NodeRecord} from '@limpetbarrow/core';
import {maxTombstones, maxMembers} from './constants.js';
import {createEntry, mergeUpdate} from './merge-updates.js';
import {
	createRecord, findRelease, hashParts, replaceParts, selectChangedParts,
} from './record-parts.js';
import {
	type Member, type MemberEntry, type MemberStatus, type MemberUpdate, type StatusUpdate,
} from './types.js';

/** The last run of a removed member. It prevents late updates from bringing that run back. */
export type Tombstone = Pick<MemberEntry, 'incarnation' | 'refutation'>;

/** Snapshot of the members by node id; includes the node itself. */
export type MemberSnapshot = {
	/** Members whose profile is known. */
	readonly members: ReadonlyMap<string, Member>;
	/** State of all members, also of those whose profile has not arrived yet. */
	readonly entries: ReadonlyMap<string, MemberEntry>;
	/** Last runs of removed members. */
	readonly tombstones: ReadonlyMap<string, Tombstone>;
};

function createMember(entry: MemberEntry, known: Member | undefined, before: MemberEntry | undefined): Member | undefined {
	const record = known !== undefined && before?.parts === entry.parts
		? known.record
		: createRecord(entry.id, entry.incarnation, entry.parts);
	return record && {record, status: entry.isSuspectedLocally && entry.status === 'alive' ? 'suspect' : entry.status};
}

function isCoveredByTombstone(update: MemberUpdate, tombstone: Tombstone | undefined): boolean {
	return tombstone !== undefined && update.incarnation <= tombstone.incarnation;
}

/** Keeps the members and merges updates from other nodes into them. */
export class MemberTable {
	readonly store: Store<MemberSnapshot>;
	readonly self: NodeIdentity;
	/** The highest release of the entries, as long as they stay the same. */
	#heard: {readonly entries: MemberSnapshot['entries']; readonly release: number} | undefined;

	/** `known` gives the initial members besides the node itself. */
	constructor(self: NodeRecord, known?: Pick<MemberSnapshot, 'members' | 'entries'>) {
		this.self = {id: self.id, incarnation: self.incarnation};
		const parts = selectChangedParts(self, [], self.sequence);
		const entry = {...createEntry(self.id, self.incarnation, performance.now()), parts, partsHash: hashParts(parts)};
		this.store = new Store<MemberSnapshot>({
			members: new Map<string, Member>([...known?.members ?? [], [self.id, {record: self, status: 'alive'}]]),
			entries: new Map([...known?.entries ?? [], [self.id, entry]]),
			tombstones: new Map(),
		});
	}

	getSelf(): NodeRecord {
		return this.store.getState().members.get(this.self.id)!.record;
	}

	getSelfEntry(): MemberEntry {
		return this.store.getState().entries.get(this.self.id)!;
	}

	/** Lists the members that are not dead; includes the node itself. */
	listLive(): readonly Member[] {
		return [...this.store.getState().members.values()].filter(({status}) => status !== 'dead');
	}

	/**
	 * Returns the highest release that any record names, this node's own included. A record without a profile counts, and one of
	 * a node that is gone: either shows that the release exists.
	 */
	getHeardRelease(): number {
		const {entries} = this.store.getState();
		if (this.#heard?.entries !== entries) {
			this.#heard = {entries, release: Math.max(...[...entries.values()].map(({parts}) => findRelease(parts)))};
		}

		return this.#heard.release;
	}

	findMember(id: string): Member | undefined {
		return this.store.getState().members.get(id);
	}

	findEntry(id: string): MemberEntry | undefined {
		return this.store.getState().entries.get(id);
	}

	/** Updates the node's own record. The sequence grows by one if any part changes. */
	updateSelf(change: (record: NodeRecord) => Partial<NodeRecord>): void {
		const entry = this.getSelfEntry();
		const record = this.getSelf();
		const version = record.sequence + 1;
		const changed = selectChangedParts({...record, ...change(record)}, entry.parts, version);
		if (changed.length > 0) {
			const parts = replaceParts(entry.parts, changed);
			this.#replaceEntries('updateSelf', [{...entry, parts, partsHash: hashParts(parts)}]);
		}
	}

	/** Raises the node's own refutation counter above the one in a claim that the node is suspect or dead. */
	refute({refutation}: Pick<StatusUpdate, 'refutation'>): void {
		this.#replaceEntries('refute', [{...this.getSelfEntry(), refutation: refutation + 1}]);
	}

	/** Applies updates from other nodes and returns those that changed anything. Updates about this node itself are ignored. */
	applyUpdates(updates: readonly MemberUpdate[]): readonly MemberUpdate[] {
		const now = performance.now();
		const {entries, tombstones} = this.store.getState();
		const changed = new Map<string, MemberEntry>();
		const newUpdates = updates.filter(update => {
			const before = changed.get(update.id) ?? entries.get(update.id);
			const isIgnored = update.id === this.self.id
				|| isCoveredByTombstone(update, tombstones.get(update.id))
				|| (before === undefined && entries.size + changed.size >= maxMembers);
			const after = isIgnored ? before : mergeUpdate(before, update, now);
			if (after === undefined || after === before) {
				return false;
			}

			changed.set(update.id, after);
			return true;
		});
		this.#replaceEntries('applyUpdates', [...changed.values()]);
		return newUpdates;
	}

	/** Merges whole records. Records of this node and outdated records are ignored. */
	merge(records: readonly NodeRecord[]): void {
		this.applyUpdates(records.flatMap(record => {
			const known = this.findEntry(record.id);
			const base = known?.incarnation === record.incarnation ? known.parts : [];
			return selectChangedParts(record, base, record.sequence)
				.map(part => ({
					kind: 'part', id: record.id, incarnation: record.incarnation, part,
				} as const));
		}));
	}

	/** Sets the status of another node unconditionally. */
	setStatus(id: string, status: MemberStatus): void {
		const entry = this.findEntry(id);
		if (entry !== undefined && entry.status !== status && id !== this.self.id) {
			this.#replaceEntries('setStatus', [{...entry, status, statusAt: performance.now()}]);
		}
	}

	/** Records whether only this node gets no answer from a member. */
	setSuspectedLocally(id: string, isSuspectedLocally: boolean): void {
		const entry = this.findEntry(id);
		if (entry !== undefined && entry.isSuspectedLocally !== isSuspectedLocally) {
			this.#replaceEntries('setSuspectedLocally', [{...entry, isSuspectedLocally}]);
		}
	}

	/** Extends all suspicions by the length of a pause of this node, in milliseconds. */
	renewSuspicions(delayMs: number): void {
		const suspects = [...this.store.getState().entries.values()].filter(({status}) => status === 'suspect');
		this.#replaceEntries('renewSuspicions', suspects.map(entry => ({...entry, statusAt: entry.statusAt + delayMs})));
	}

	/** Removes members and leaves tombstones for their runs. */
	forget(ids: readonly string[]): void {
		if (ids.length === 0) {
			return;
		}

		this.store.update('forget', ({members, entries, tombstones}) => {
			const dropped = new Set(ids);
			const added = [...entries.values()].filter(({id}) => dropped.has(id)).map(({id, incarnation, refutation}) => [id, {incarnation, refutation}] as const);
			return {
				members: new Map([...members].filter(([id]) => !dropped.has(id))),
				entries: new Map([...entries].filter(([id]) => !dropped.has(id))),
				tombstones: new Map([...tombstones, ...added].slice(-maxTombstones)),
			};
		});
	}

	/** Removes the tombstone of a run that refuted its death, so that the run can be added again. */
	forgetTombstone(id: string): void {
		this.store.update('forgetTombstone', snapshot => ({...snapshot, tombstones: new Map([...snapshot.tombstones].filter(([key]) => key !== id))}));
	}

	#replaceEntries(update: string, changed: readonly MemberEntry[]): void {
		if (changed.length === 0) {
			return;
		}

		this.store.update(update, snapshot => {
			const members = new Map(snapshot.members);
			const entries = new Map(snapshot.entries);
			changed.forEach(entry => {
				const member = createMember(entry, members.get(entry.id), entries.get(entry.id));
				entries.set(entry.id, entry);
				if (member) {
					members.set(entry.id, member);
				} else {
					members.delete(entry.id);
				}
			});
			return {...snapshot, members, entries};
		});
	}
}
