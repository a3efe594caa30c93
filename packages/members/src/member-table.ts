/** The nodes this node knows, as an immutable snapshot. */
import {Store, type NodeIdentity, type NodeRecord} from '@limpetbarrow/core';
import {type Member, type MemberStatus} from './types.js';

/** Snapshot of the members by node id. The node itself is one of them. */
export type MemberSnapshot = {
	readonly members: ReadonlyMap<string, Member>;
};

/** True when `record` says more than `known`: a later run, or a later change in the same run. */
export function isNewer(record: NodeRecord, known: NodeRecord | undefined): boolean {
	return known === undefined
		|| record.incarnation > known.incarnation
		|| (record.incarnation === known.incarnation && record.sequence > known.sequence);
}

/** Holds the members. */
export class MemberTable {
	readonly store: Store<MemberSnapshot>;
	readonly self: NodeIdentity;

	constructor(self: NodeRecord) {
		this.self = {id: self.id, incarnation: self.incarnation};
		this.store = new Store<MemberSnapshot>({members: new Map([[self.id, {record: self, status: 'alive'}]])});
	}

	getSelf(): NodeRecord {
		return this.store.getState().members.get(this.self.id)!.record;
	}

	/** Members that are not dead. */
	listLive(): readonly Member[] {
		return [...this.store.getState().members.values()].filter(({status}) => status !== 'dead');
	}

	findMember(id: string): Member | undefined {
		return this.store.getState().members.get(id);
	}

	/** Changes the node's own record; the sequence grows by one. */
	updateSelf(change: (record: NodeRecord) => Partial<NodeRecord>): void {
		this.store.update('updateSelf', ({members}) => {
			const {record} = members.get(this.self.id)!;
			const next = {...record, ...change(record), sequence: record.sequence + 1};
			return {members: new Map(members).set(this.self.id, {record: next, status: 'alive'})};
		});
	}

	/** Takes records heard from others. Records of this node and older ones are passed over. */
	merge(records: readonly NodeRecord[]): void {
		this.store.update('merge', snapshot => {
			const news = records.filter(record => record.id !== this.self.id && isNewer(record, snapshot.members.get(record.id)?.record));
			return news.length === 0
				? snapshot
				: {members: new Map([...snapshot.members, ...news.map(record => [record.id, {record, status: 'alive'}] as const)])};
		});
	}

	/** Changes what this node believes of another. */
	setStatus(id: string, status: MemberStatus): void {
		this.store.update('setStatus', snapshot => {
			const member = snapshot.members.get(id);
			return member === undefined || member.status === status || id === this.self.id
				? snapshot
				: {members: new Map(snapshot.members).set(id, {...member, status})};
		});
	}
}
