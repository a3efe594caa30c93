/**
 * Keeps a service's serving capacity at its floor, whatever has been ejected.
 *
 * The floor is a number of backend servers. It is enforced where a server is chosen, from the caller's own view, and not
 * where servers are ejected: whatever combination of ejections a view holds, it serves from enough servers.
 */
import {type ServerRecord, type ServerState} from '@limpetbarrow/core';

/** Order in which servers out of use are taken back for the floor. */
const unhealthyStateOrder: Readonly<Partial<Record<ServerState, number>>> = {probation: 0, ejected: 1};

/** True when the server may be given work at all. */
export function isEligible({state}: ServerRecord): boolean {
	return state !== 'leaving';
}

/**
 * True when the server counts towards the floor by itself. A warming server does, since it takes whatever work the others
 * leave over; one on probation doesn't, since it takes a trial now and then and no more.
 */
export function isHealthy({state}: ServerRecord): boolean {
	return state === 'ready' || state === 'warming';
}

/** Orders servers out of use: those on probation first, then least evidence, then by id, the same on every node. */
export function compareUnhealthy(a: ServerRecord, b: ServerRecord): number {
	const stateOrder = (unhealthyStateOrder[a.state] ?? 0) - (unhealthyStateOrder[b.state] ?? 0);
	return stateOrder || a.badness - b.badness || compareIds(a.id, b.id);
}

function compareIds(a: string, b: string): number {
	return Number(a > b) - Number(a < b);
}

/**
 * Selects the servers of one service that take work: all healthy ones, and as many of the least bad others as the floor
 * needs. The caller passes only servers that this node believes to be reachable.
 */
export function selectServing(servers: readonly ServerRecord[], floor: number): readonly ServerRecord[] {
	const eligible = servers.filter(server => isEligible(server));
	const healthy = eligible.filter(server => isHealthy(server));
	const missing = floor - healthy.length;
	if (missing <= 0) {
		return healthy;
	}

	const fallback = eligible
		.filter(server => !isHealthy(server))
		.toSorted(compareUnhealthy)
		.slice(0, missing);
	return [...healthy, ...fallback];
}

/** Selects the servers on probation that the floor doesn't need: they get a trial now and then. */
export function selectTrialServers(servers: readonly ServerRecord[], serving: readonly ServerRecord[]): readonly ServerRecord[] {
	const taken = new Set(serving);
	return servers.filter(server => server.state === 'probation' && !taken.has(server));
}
