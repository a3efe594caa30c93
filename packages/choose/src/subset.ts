/** Bounds the nodes that one node sends to, the same on each look. */
import {type Candidate} from './chooser.js';

/** Candidates of one service and tier that one node sends to. */
export const subsetSize = 12;

const hashModulus = 4_294_967_291;
const hashFactor = 65_599;
const mixFactor = 48_271;
const mixModulus = 2_147_483_647;

/** Ranks another node for a node: evenly spread over pairs, and the same for each service, so that links are shared. */
export function hashPair(selfId: string, otherId: string): number {
	const hash = [...`${selfId}\n${otherId}`].reduce((sum, character) => ((sum * hashFactor) + (character.codePointAt(0) ?? 0)) % hashModulus, 7);
	const mixed = ((hash % mixModulus) * mixFactor) % mixModulus;
	return (mixed * mixFactor) % mixModulus;
}

/** Selects the candidates on the nodes that rank first. */
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
