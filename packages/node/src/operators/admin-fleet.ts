/** Admin API routes for members, backend servers and the status of the fleet. */
import {EitherAsync, Left} from 'purify-ts';
import {createFailure} from '@limpetbarrow/core';
import {type Announcements, type MemberTable} from '@limpetbarrow/members';
import {type ReleaseState} from '@limpetbarrow/releases';
import {createValueRoute, type AdminRoute} from './admin-route.js';

const maxAnnouncementBytes = 65_536;

/** A node and the release that it has in force. */
export type NodeStatus = {
	readonly node: string;
	readonly status: string;
	readonly state: string;
	readonly release: number;
};

/** The releases in force on all live nodes, as one node knows them. */
export type FleetStatus = {
	/** Highest release number in force on any node. */
	readonly release: number;
	readonly nodes: readonly NodeStatus[];
	/** Ids of the nodes whose release is older than that. */
	readonly lagging: readonly string[];
};

/** Returns the release in force on each live node, and the nodes that lag behind the highest one. */
export function createFleetStatus(table: MemberTable, releases: ReleaseState): FleetStatus {
	const nodes = table.listLive().map(({record, status}) => ({
		node: record.id, status, state: record.state, release: record.release,
	}));
	const release = nodes.reduce((highest, node) => Math.max(highest, node.release), releases.getNumber());
	return {release, nodes, lagging: nodes.filter(node => node.release < release).map(({node}) => node)};
}

/** Dependencies of the fleet routes. */
export type FleetRouteOptions = {
	readonly announcements: Announcements;
	readonly table: MemberTable;
	readonly releases: ReleaseState;
	readonly isStopping: () => boolean;
};

/** Creates the routes `/announce`, `/members`, `/servers` and `/status`. */
export function createFleetRoutes({announcements, table, releases, isStopping}: FleetRouteOptions): readonly AdminRoute[] {
	return [
		{
			method: 'POST',
			path: '/announce',
			maxBodyBytes: maxAnnouncementBytes,
			answer: ({body, remoteHost}) => EitherAsync.liftEither(isStopping()
				? Left(createFailure('nodeStopping', 'this node is stopping; announce to another node'))
				: announcements.accept(body, remoteHost).map(({id}) => ({id}))),
		},
		createValueRoute('/members', () => [...table.store.getState().members.values()]),
		createValueRoute('/servers', () => table.listLive().flatMap(({record}) => record.servers.map(server => ({node: record.id, ...server})))),
		createValueRoute('/status', () => createFleetStatus(table, releases)),
	];
}
