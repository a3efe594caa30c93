/** Members of the fleet, what nodes say of them, and announcements of backend servers. */
import {type Address, type NodeRecord} from '@limpetbarrow/core';
import {type RecordPart} from './record-parts.js';

/** What a node believes of another node. */
export type MemberStatus = 'alive' | 'suspect' | 'dead';

/** A node's record with what this node believes of it. */
export type Member = {
	readonly record: NodeRecord;
	readonly status: MemberStatus;
};

/** All a node holds of one run of a node. */
export type MemberEntry = {
	readonly id: string;
	readonly incarnation: number;
	/** Grows each time the member refutes a suspicion; only the member itself raises it. */
	readonly refutation: number;
	/** Status that the fleet agrees on. */
	readonly status: MemberStatus;
	/** Monotonic time of the last change of status here, in milliseconds. */
	readonly statusAt: number;
	/** True while this node alone gets no answer from the member and may itself be the cause. */
	readonly isSuspectedLocally: boolean;
	readonly parts: readonly RecordPart[];
	readonly partsHash: number;
};

/** Says that a run of a node is alive, suspected or dead. */
export type StatusUpdate = {
	readonly kind: 'status';
	readonly id: string;
	readonly incarnation: number;
	readonly refutation: number;
	readonly status: MemberStatus;
};

/** Carries one part of a node's record. */
export type PartUpdate = {
	readonly kind: 'part';
	readonly id: string;
	readonly incarnation: number;
	readonly part: RecordPart;
};

/** One change that nodes pass on. */
export type MemberUpdate = StatusUpdate | PartUpdate;

/** How soon and how often a change is passed on. */
export type UpdatePriority = 'low' | 'normal' | 'urgent';

/** What a backend server announces to a node, as JSON. */
export type Announcement = {
	readonly id: string;
	readonly service: string;
	/** Address as `host:port`. */
	readonly address: string;
	readonly slots: number;
	readonly generation: number;
	readonly isLeaving: boolean;
	/** Most connections the backend server takes. */
	readonly maxConnections: number;
	/** Time for which it stays slow after its start, in milliseconds. */
	readonly coldMs?: number;
};

/** A backend server that announced itself to this node. */
export type AnnouncedServer = {
	readonly id: string;
	readonly service: string;
	readonly address: Address;
	readonly slots: number;
	readonly generation: number;
	readonly isLeaving: boolean;
	readonly maxConnections: number;
	/** Time for which it stays slow, as last announced, in milliseconds. */
	readonly coldMs?: number;
	/** Monotonic time after which the announcement has lapsed, in milliseconds. */
	readonly expiresAt: number;
};
