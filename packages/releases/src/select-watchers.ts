/** Selects the nodes that watch the platform. */
import {groupItems} from '@limpetbarrow/core';
import {type ReleasePeer} from './release-peers.js';

/** Default number of nodes of each failure domain that watch. */
export const watchersPerDomain = 2;

const hashMultiplier = 1_000_003;
const hashModulus = 4_294_967_291;

/** Polynomial hash, so that the selection does not follow the order of ids. */
function hashId(id: string): number {
	let hash = 1;
	for (const character of id) {
		hash = ((hash * hashMultiplier) + character.codePointAt(0)!) % hashModulus;
	}

	return hash;
}

type RankedNode = {
	readonly id: string;
	readonly rank: number;
};

function compareRanks(a: RankedNode, b: RankedNode): number {
	return a.rank - b.rank || (a.id < b.id ? -1 : 1);
}

/** Lists the ids of the serving nodes of one failure domain in the order in which they are selected to watch. */
export function listRankedIds(peers: readonly ReleasePeer[]): readonly string[] {
	return peers
		.filter(({isServing}) => isServing)
		.map(({id}) => ({id, rank: hashId(id)}))
		.toSorted(compareRanks)
		.map(({id}) => id);
}

/**
 * Selects the ids of the nodes that watch: the serving nodes of each failure domain with the lowest hashes. Nodes with the
 * same view of the fleet select the same ids; while views differ, a few more or a few less nodes watch.
 */
export function selectWatchers(peers: readonly ReleasePeer[], nodesPerDomain = watchersPerDomain): ReadonlySet<string> {
	const domains = groupItems(peers.filter(({isServing}) => isServing), ({failureDomain}) => failureDomain);
	return new Set([...domains.values()].flatMap(members => listRankedIds(members).slice(0, nodesPerDomain)));
}

/** Counts the nodes that `selectWatchers` selects. */
export function countWatchers(peers: readonly ReleasePeer[], nodesPerDomain = watchersPerDomain): number {
	const domains = groupItems(peers.filter(({isServing}) => isServing), ({failureDomain}) => failureDomain);
	return [...domains.values()].reduce((sum, members) => sum + Math.min(nodesPerDomain, members.length), 0);
}
