/** Members of the fleet and announcements of backend servers. */
import {type Address, type NodeRecord} from '@limpetbarrow/core';

/** What a node believes of another node. */
export type MemberStatus = 'alive' | 'suspect' | 'dead';

/** A node's record with what this node believes of it. */
export type Member = {
	readonly record: NodeRecord;
	readonly status: MemberStatus;
};

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
	/** Monotonic time after which the announcement has lapsed, in milliseconds. */
	readonly expiresAt: number;
};
