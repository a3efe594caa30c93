/** Homes of organisations among the members, by rendezvous hashing. */

const maxRankings = 30_000;
const textFactor = 16_777_619;
const firstFactor = 2_246_822_507;
const secondFactor = 3_266_489_909;
const halfWord = 65_536;

/** Hashes of a list of members and the rankings computed from them. */
type RankedMembers = {
	readonly hashes: readonly number[];
	readonly rankings: Map<string, readonly string[]>;
};

/** Keyed on the identity of the list, which nodes replace when the membership changes. */
const rankedMembers = new WeakMap<readonly string[], RankedMembers>();

/** Mixes a 32-bit number so that each bit of the input affects the high bits of the result. */
function hashNumber(value: number): number {
	const first = Math.imul(value, firstFactor);
	const second = Math.imul(first + Math.trunc(first / halfWord), secondFactor);
	return Math.imul(second + Math.trunc(second / halfWord), firstFactor);
}

function hashName(name: string): number {
	return hashNumber([...name].reduce((hash, character) => Math.imul(hash + character.codePointAt(0)!, textFactor), 7));
}

function getRankedMembers(memberIds: readonly string[]): RankedMembers {
	const known = rankedMembers.get(memberIds);
	if (known) {
		return known;
	}

	const created = {hashes: memberIds.map(hashName), rankings: new Map<string, readonly string[]>()};
	rankedMembers.set(memberIds, created);
	return created;
}

function computeRanking(organisation: string, memberIds: readonly string[], hashes: readonly number[], count: number): readonly string[] {
	// Odd factors keep all 32 bits. A sum of the hashes would favour members whose hashes have wide gaps before them.
	const organisationFactor = (hashName(organisation) * 2) + 1;
	const scores = hashes.map(hash => hashNumber(Math.imul((hash * 2) + 1, organisationFactor)));
	const isBefore = (index: number, other: number | undefined): boolean => other === undefined
		|| scores[index]! > scores[other]!
		|| (scores[index] === scores[other] && memberIds[index]! < memberIds[other]!);
	const best = scores.reduce<readonly number[]>((kept, _score, index) => {
		if (kept.length === count && !isBefore(index, kept.at(-1))) {
			return kept;
		}

		const place = kept.findIndex(other => isBefore(index, other));
		return kept.toSpliced(place === -1 ? kept.length : place, 0, index).slice(0, count);
	}, []);
	return best.map(index => memberIds[index]!);
}

/**
 * Ranks the first `count` homes of an organisation among the members. All nodes with the same members get the same result,
 * whatever the order of their lists. Results are cached for a list, which must therefore not be changed in place.
 */
export function rankHomes(organisation: string, memberIds: readonly string[], count: number): readonly string[] {
	const {hashes, rankings} = getRankedMembers(memberIds);
	const known = rankings.get(organisation);
	if (known && (known.length >= count || known.length === memberIds.length)) {
		return known.slice(0, count);
	}

	if (rankings.size >= maxRankings) {
		rankings.clear();
	}

	const ranking = computeRanking(organisation, memberIds, hashes, Math.min(count, memberIds.length));
	rankings.set(organisation, ranking);
	return ranking;
}
