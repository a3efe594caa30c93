/** Selects which backend servers of a service a node sends to, and keeps the selection until something changes. */
import {type Placement} from '@limpetbarrow/core';
import {findTier, tierOrder, type Candidate} from './chooser.js';
import {selectServing, selectTrialServers} from './floor.js';
import {type PathHealth} from './path-health.js';
import {selectSubset} from './subset.js';

/** Backend servers of a service as one node uses them. */
export type Selection = {
	readonly serving: readonly Candidate[];
	/** On probation: tried now and then with a repeatable request. */
	readonly trials: readonly Candidate[];
};

type CachedSelection = Selection & {
	readonly candidates: readonly Candidate[];
	readonly floor: number;
	readonly version: number;
};

const maxCachedServices = 1024;

function selectCandidates(candidates: readonly Candidate[], servers: ReadonlySet<unknown>): readonly Candidate[] {
	return candidates.filter(({server}) => servers.has(server));
}

/** Works selections out; the work is done once for each change and not for each request. */
export class ServerSelection {
	readonly #self: {readonly id: string; readonly placement: Placement};
	readonly #paths: PathHealth;
	readonly #cache = new Map<string, CachedSelection>();

	constructor(self: {readonly id: string; readonly placement: Placement}, paths: PathHealth) {
		this.#self = self;
		this.#paths = paths;
	}

	/** `candidates` must be the same array as long as nothing has changed. */
	selectServers(service: string, candidates: readonly Candidate[], floor: number, now: number): Selection {
		const version = this.#paths.getVersion(now);
		const cached = this.#cache.get(service);
		if (cached?.candidates === candidates && cached.floor === floor && cached.version === version) {
			return cached;
		}

		const selection = {
			...this.#select(candidates, floor, now), candidates, floor, version,
		};
		this.#cache.delete(service);
		this.#cache.set(service, selection);
		const [oldest] = this.#cache.keys();
		if (this.#cache.size > maxCachedServices && oldest !== undefined) {
			this.#cache.delete(oldest);
		}

		return selection;
	}

	/** Servers behind avoided paths don't count towards the floor, unless all are. */
	#select(candidates: readonly Candidate[], floor: number, now: number): Selection {
		const notAvoided = candidates.filter(({nodeId}) => !this.#paths.isAvoided(nodeId, now));
		const reachable = notAvoided.length > 0 ? notAvoided : candidates;
		const servers = reachable.map(({server}) => server);
		const serving = selectServing(servers, floor);
		return {
			serving: this.#selectSubsets(selectCandidates(reachable, new Set(serving))),
			trials: selectCandidates(reachable, new Set(selectTrialServers(servers, serving))),
		};
	}

	#selectSubsets(candidates: readonly Candidate[]): readonly Candidate[] {
		return tierOrder.flatMap(tier => selectSubset(this.#self.id, candidates.filter(candidate => findTier(this.#self, candidate) === tier)));
	}
}
