/** Deterministic subsetting: limits the nodes that one node connects to, by rendezvous hashing. */
import {type Candidate} from './chooser.js';

/** Most candidates of one service and tier that one node sends to. */
export const subsetSize = 12;

const hashModulus = 4_294_967_291;
const hashFactor = 65_599;
const mixFactor = 48_271;
const mixModulus = 2_147_483_647;

/**
 * Hashes a pair of nodes to a rank. Ranks are spread evenly over pairs and don't depend on the service, so that services
 * share links.
 */
export function hashPair(selfId: string, otherId: string): number {
	const hash = [...`${selfId}\n${otherId}`].reduce((sum, character) => ((sum * hashFactor) + (character.codePointAt(0) ?? 0)) % hashModulus, 7);
	const mixed = ((hash % mixModulus) * mixFactor) % mixModulus;
	return (mixed * mixFactor) % mixModulus;
}

/** Selects the `size` candidates whose nodes have the lowest rank for the node `selfId`. */
export function selectSubset(selfId: string, candidates: readonly Candidate[], size = subsetSize): readonly Candidate[] {
	if (candidates.length <= size) {
		return candidates;
	}

	return candidates
		.map(candidate => ({candidate, rank: hashPair(selfId, candidate.nodeId)}))
		.toSorted((a, b) => a.rank - b.rank || Number(a.candidate.server.id > b.candidate.server.id) - 0.5)
		.slice(0, size)
		.map(({candidate}) => candidate);
}
