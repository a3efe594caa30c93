/**
 * Tracks which backend servers have left. Once a leave is acknowledged, that run stays marked as left, in this process and
 * in the node's later processes.
 */

/** Generation of the newest run that has left, by the id of the backend server. */
export type LeftServers = ReadonlyMap<string, number>;

/** Maximum number of backend servers that are remembered as left. A host has one backend server at a time. */
const maxLeftServers = 32;

/** Merges two maps; for each backend server, the newest run that has left counts. */
export function mergeLeft(known: LeftServers, added: LeftServers): LeftServers {
	const newer = [...added].filter(([id, generation]) => generation > (known.get(id) ?? -1));
	const ids = new Set(newer.map(([id]) => id));
	return newer.length === 0 ? known : new Map([...[...known].filter(([id]) => !ids.has(id)), ...newer].slice(-maxLeftServers));
}

/** True when this run of the backend server, or a later one, has left. */
export function hasLeft(left: LeftServers, {id, generation}: {readonly id: string; readonly generation: number}): boolean {
	return generation <= (left.get(id) ?? -1);
}
