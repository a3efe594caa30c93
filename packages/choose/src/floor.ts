/**
 * Keeps the number of a service's serving backend servers at its floor, whichever of them have been ejected.
 *
 * The floor is the least number of backend servers that take requests. It is enforced where a server is chosen, from the
 * choosing node's own view, and not where servers are ejected. So every node serves from enough servers, whatever
 * combination of ejections its view holds.
 */
import {type ServerRecord, type ServerState} from '@limpetbarrow/core';

/** Order in which unhealthy servers are used again to meet the floor; the lowest comes first. */
const unhealthyStateOrder: Readonly<Partial<Record<ServerState, number>>> = {probation: 0, ejected: 1};

/** True when the server may be given requests at all, healthy or not. */
export function isEligible({state}: ServerRecord): boolean {
	return state !== 'leaving';
}

/**
 * True when the server counts towards the floor without being forced to. A warming server counts, since it takes any
 * work that the others have no slots for. A server on probation doesn't, since it only takes an occasional trial request.
 */
export function isHealthy({state}: ServerRecord): boolean {
	return state === 'ready' || state === 'warming';
}

/** Orders unhealthy servers: those on probation first, then by ascending badness and by id, the same on every node. */
export function compareUnhealthy(a: ServerRecord, b: ServerRecord): number {
	const stateOrder = (unhealthyStateOrder[a.state] ?? 0) - (unhealthyStateOrder[b.state] ?? 0);
	return stateOrder || a.badness - b.badness || compareIds(a.id, b.id);
}

function compareIds(a: string, b: string): number {
	return Number(a > b) - Number(a < b);
}

/**
 * Selects the servers of one service that take requests: all healthy ones and, when these are fewer than the floor, as
 * many of the least bad others as are missing. The caller passes only servers that this node believes to be reachable.
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

/** Selects the servers on probation that aren't needed for the floor. They get an occasional trial request. */
export function selectTrialServers(servers: readonly ServerRecord[], serving: readonly ServerRecord[]): readonly ServerRecord[] {
	const taken = new Set(serving);
	return servers.filter(server => server.state === 'probation' && !taken.has(server));
}
