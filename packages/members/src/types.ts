/** Types for the members of the fleet, the updates that nodes exchange about them, and announcements of backend servers. */
import {type Address, type NodeRecord} from '@limpetbarrow/core';
import {type RecordPart} from './record-parts.js';

/** Status of a node as another node sees it. */
export type MemberStatus = 'alive' | 'suspect' | 'dead';

/** A node's record and its status as this node sees it. */
export type Member = {
	readonly record: NodeRecord;
	readonly status: MemberStatus;
};

/** State that a node keeps about one run of a member, identified by the node id and its incarnation. */
export type MemberEntry = {
	readonly id: string;
	readonly incarnation: number;
	/** Refutation counter of this run. Only the member itself raises it, to refute a claim that it is suspect or dead. */
	readonly refutation: number;
	/** Status on which the fleet converges through updates. */
	readonly status: MemberStatus;
	/** Monotonic time at which this node last changed the status, in milliseconds. */
	readonly statusAt: number;
	/** True while only this node gets no answer from the member, so that this node may be the one that is cut off. */
	readonly isSuspectedLocally: boolean;
	readonly parts: readonly RecordPart[];
	readonly partsHash: number;
};

/** Update that sets the status of one run of a node. */
export type StatusUpdate = {
	readonly kind: 'status';
	readonly id: string;
	readonly incarnation: number;
	readonly refutation: number;
	readonly status: MemberStatus;
};

/** Update that replaces one part of a node's record. */
export type PartUpdate = {
	readonly kind: 'part';
	readonly id: string;
	readonly incarnation: number;
	readonly part: RecordPart;
};

/** An update that nodes pass on to each other. */
export type MemberUpdate = StatusUpdate | PartUpdate;

/** Priority of an update: it decides how soon and how often the update is sent. */
export type UpdatePriority = 'low' | 'normal' | 'urgent';

/** The JSON body that a backend server sends to announce itself to a node. */
export type Announcement = {
	readonly id: string;
	readonly service: string;
	/** Address as `host:port`. */
	readonly address: string;
	readonly slots: number;
	readonly generation: number;
	readonly isLeaving: boolean;
	/** Maximum number of connections that the backend server accepts. */
	readonly maxConnections: number;
	/** Time for which the backend server is slow after its start, in milliseconds. */
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
	/** Time for which the backend server is slow after its start, from its last announcement, in milliseconds. */
	readonly coldMs?: number;
	/** Monotonic time at which the announcement expires, in milliseconds. */
	readonly expiresAt: number;
};
