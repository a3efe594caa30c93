/** Index of the fleet's backend servers by service, built from the members' records. */
import {groupItems} from '@limpetbarrow/core';
import {type Candidate} from '@limpetbarrow/choose';
import {type MemberSnapshot, type MemberTable} from '@limpetbarrow/members';

function isPreferred(candidate: Candidate, current: Candidate | undefined): boolean {
	return current === undefined
		|| candidate.server.generation > current.server.generation
		|| (candidate.server.generation === current.server.generation && candidate.nodeId < current.nodeId);
}

/** Keeps one candidate for each backend server: the one with the highest generation, then the lowest node id. */
function selectPreferred(candidates: readonly Candidate[]): readonly Candidate[] {
	const preferred = new Map<string, Candidate>();
	candidates.forEach(candidate => {
		if (isPreferred(candidate, preferred.get(candidate.server.id))) {
			preferred.set(candidate.server.id, candidate);
		}
	});
	return [...preferred.values()];
}

/**
 * Groups the candidates on live nodes by service. Stopping nodes are included, because they serve their backend servers
 * until these have announced themselves to another node.
 */
function groupCandidates({members}: MemberSnapshot): ReadonlyMap<string, readonly Candidate[]> {
	const candidates = [...members.values()]
		.filter(({status}) => status === 'alive')
		.flatMap(({record}) => record.servers.map(server => ({nodeId: record.id, placement: record.placement, server})));
	return groupItems(selectPreferred(candidates), ({server}) => server.service);
}

/** Finds the candidates of a service. The index is rebuilt on the first read after a change of the members. */
export class ServerDirectory {
	readonly #table: MemberTable;
	#snapshot: MemberSnapshot | undefined;
	#candidatesByService: ReadonlyMap<string, readonly Candidate[]> = new Map();

	constructor(table: MemberTable) {
		this.#table = table;
	}

	/** Candidates of a service on live nodes. A server announced to two nodes is listed once, at its higher generation. */
	listCandidates(service: string): readonly Candidate[] {
		const snapshot = this.#table.store.getState();
		if (snapshot !== this.#snapshot) {
			this.#snapshot = snapshot;
			this.#candidatesByService = groupCandidates(snapshot);
		}

		return this.#candidatesByService.get(service) ?? [];
	}
}
