/** Keeps a service's serving capacity at its floor, whatever has been ejected. */
import {type ServerRecord} from '@limpetbarrow/core';

/** True when the server may be given work at all. */
export function isPresent({state}: ServerRecord): boolean {
	return state !== 'leaving';
}

/** Orders ejected servers: least evidence first, then by id, the same on every node. */
export function compareBadness(a: ServerRecord, b: ServerRecord): number {
	return a.badness - b.badness || a.id.localeCompare(b.id);
}

/**
 * Selects the servers of one service that take work: all that are not ejected, and as many of the least bad ejected
 * ones as the floor needs. The caller passes only servers that this node believes to be reachable.
 */
export function selectServing(servers: readonly ServerRecord[], floor: number): readonly ServerRecord[] {
	const present = servers.filter(server => isPresent(server));
	const healthy = present.filter(({state}) => state !== 'ejected');
	const missing = floor - healthy.length;
	if (missing <= 0) {
		return healthy;
	}

	const kept = present
		.filter(({state}) => state === 'ejected')
		.toSorted(compareBadness)
		.slice(0, missing);
	return [...healthy, ...kept];
}
