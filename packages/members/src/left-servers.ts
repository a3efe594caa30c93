/** Which backend servers have left. What was acknowledged as left stays so, for this process and the ones after it. */

/** Start of the newest run that has left, by the backend server's id. */
export type LeftServers = ReadonlyMap<string, number>;

/** A host has one backend server at a time; so many are remembered. */
const maxLeftServers = 32;

/** Both together; of one backend server the newest run counts. */
export function mergeLeft(known: LeftServers, added: LeftServers): LeftServers {
	const newer = [...added].filter(([id, generation]) => generation > (known.get(id) ?? -1));
	const ids = new Set(newer.map(([id]) => id));
	return newer.length === 0 ? known : new Map([...[...known].filter(([id]) => !ids.has(id)), ...newer].slice(-maxLeftServers));
}

/** True when that run of a backend server has left. */
export function hasLeft(left: LeftServers, {id, generation}: {readonly id: string; readonly generation: number}): boolean {
	return generation <= (left.get(id) ?? -1);
}
