/** Selects the backend servers of a service that a node sends requests to, and caches the selection until its inputs change. */
import {type Placement} from '@limpetbarrow/core';
import {findTier, tierOrder, type Candidate} from './chooser.js';
import {selectServing, selectTrialServers} from './floor.js';
import {type PathHealth} from './path-health.js';
import {selectSubset} from './subset.js';

/** Backend servers of a service that one node uses. */
export type Selection = {
	/** Servers that take ordinary requests. */
	readonly serving: readonly Candidate[];
	/** Servers on probation, which get an occasional repeatable request as a trial. */
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

/** Computes selections once for each change of their inputs rather than for each request. */
export class ServerSelection {
	readonly #self: {readonly id: string; readonly placement: Placement};
	readonly #paths: PathHealth;
	readonly #cache = new Map<string, CachedSelection>();

	constructor(self: {readonly id: string; readonly placement: Placement}, paths: PathHealth) {
		this.#self = self;
		this.#paths = paths;
	}

	/**
	 * Selects servers of a service. The cache compares `candidates` by identity, so the caller must pass the same array as
	 * long as nothing has changed. `now` is monotonic, in milliseconds.
	 */
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

	/** Leaves out servers behind avoided paths, which then don't count towards the floor, unless all paths are avoided. */
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
