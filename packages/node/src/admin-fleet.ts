/** The part of the admin API that reports on members and backend servers. */
import {EitherAsync, Left} from 'purify-ts';
import {createFailure} from '@limpetbarrow/core';
import {type Announcements, type MemberTable} from '@limpetbarrow/members';
import {type ReleaseState} from '@limpetbarrow/releases';
import {createValueRoute, type AdminRoute} from './admin-route.js';

const maxAnnouncementBytes = 65_536;

/** The release in force on one node. */
export type NodeStatus = {
	readonly node: string;
	readonly status: string;
	readonly state: string;
	readonly release: number;
};

/** The releases in force in the fleet, as one node knows them. */
export type FleetStatus = {
	/** Highest number in force on any node. */
	readonly release: number;
	readonly nodes: readonly NodeStatus[];
	readonly lagging: readonly string[];
};

/** Reports the release in force on each node and which nodes lag. */
export function createFleetStatus(table: MemberTable, releases: ReleaseState): FleetStatus {
	const nodes = table.listLive().map(({record, status}) => ({
		node: record.id, status, state: record.state, release: record.release,
	}));
	const release = nodes.reduce((highest, node) => Math.max(highest, node.release), releases.getNumber());
	return {release, nodes, lagging: nodes.filter(node => node.release < release).map(({node}) => node)};
}

/** What these routes report on. */
export type FleetRouteOptions = {
	readonly announcements: Announcements;
	readonly table: MemberTable;
	readonly releases: ReleaseState;
	readonly isStopping: () => boolean;
};

/** The routes for members, backend servers and the state of the fleet. */
export function createFleetRoutes({announcements, table, releases, isStopping}: FleetRouteOptions): readonly AdminRoute[] {
	return [
		{
			method: 'POST',
			path: '/announce',
			maxBodyBytes: maxAnnouncementBytes,
			answer: ({body, remoteHost}) => EitherAsync.liftEither(isStopping()
				? Left(createFailure('nodeStopping', 'announce to another node'))
				: announcements.accept(body, remoteHost).map(({id}) => ({id}))),
		},
		createValueRoute('/members', () => [...table.store.getState().members.values()]),
		createValueRoute('/servers', () => table.listLive().flatMap(({record}) => record.servers.map(server => ({node: record.id, ...server})))),
		createValueRoute('/status', () => createFleetStatus(table, releases)),
	];
}
