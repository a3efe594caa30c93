/** Chooses the few nodes that watch the platform. */
import {groupItems} from '@limpetbarrow/core';
import {type ReleasePeer} from './release-peers.js';

/** Nodes of each failure domain that watch. */
export const watchersPerDomain = 2;

const hashMultiplier = 1_000_003;
const hashModulus = 4_294_967_291;

/** Polynomial hash, so that the choice does not follow the order of names. */
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

/**
 * Selects the ids of the nodes that watch: those of each failure domain with the lowest hash. Nodes with the same view
 * choose the same; with different views a few more nodes watch, or a few less until the views meet.
 */
export function selectWatchers(peers: readonly ReleasePeer[], nodesPerDomain = watchersPerDomain): ReadonlySet<string> {
	const domains = groupItems(peers.filter(({isServing}) => isServing), ({failureDomain}) => failureDomain);
	return new Set([...domains.values()].flatMap(members => members
		.map(({id}) => ({id, rank: hashId(id)}))
		.toSorted(compareRanks)
		.slice(0, nodesPerDomain)
		.map(({id}) => id)));
}
