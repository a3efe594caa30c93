/** Chooses the backend server for a request. */
import {type LoadHint, type Placement, type ServerRecord} from '@limpetbarrow/core';

/** A backend server that could take the request. */
export type Candidate = {
	readonly nodeId: string;
	readonly placement: Placement;
	readonly server: ServerRecord;
};

/** What this node knows of the load of the candidates. */
export type LoadView = {
	/** Requests this node has in progress at the server. */
	readonly countInFlight: (serverId: string) => number;
	readonly getHint: (serverId: string) => LoadHint | undefined;
};

/** Distance classes, nearest first. */
export const tierOrder = ['host', 'failureDomain', 'region', 'remote'] as const;

/** How far a candidate is. */
export type Tier = typeof tierOrder[number];

/** Finds how far a candidate is from a node. */
export function findTier(self: {readonly id: string; readonly placement: Placement}, candidate: Candidate): Tier {
	if (candidate.nodeId === self.id) {
		return 'host';
	}

	if (candidate.placement.failureDomain === self.placement.failureDomain) {
		return 'failureDomain';
	}

	return candidate.placement.region === self.placement.region ? 'region' : 'remote';
}

/** Chooses among candidates. */
export abstract class Chooser {
	abstract choose(candidates: readonly Candidate[], load: LoadView): Candidate | undefined;
}

/** Prefers the nearest candidates with room; among them the less loaded of two picked at random. */
export class NearestChooser extends Chooser {
	readonly #self: {readonly id: string; readonly placement: Placement};
	readonly #pickRandom: () => number;

	constructor(self: {readonly id: string; readonly placement: Placement}, pickRandom: () => number = Math.random) {
		super();
		this.#self = self;
		this.#pickRandom = pickRandom;
	}

	override choose(candidates: readonly Candidate[], load: LoadView): Candidate | undefined {
		const tiers = tierOrder.map(tier => candidates.filter(candidate => findTier(this.#self, candidate) === tier));
		const withSpareCapacity = tiers.map(tier => tier.filter(candidate => hasSpareCapacity(candidate, load)));
		const preferred = withSpareCapacity.find(tier => tier.length > 0) ?? tiers.find(tier => tier.length > 0) ?? [];
		return this.#chooseOfTwo(preferred, load);
	}

	#chooseOfTwo(candidates: readonly Candidate[], load: LoadView): Candidate | undefined {
		const first = candidates[Math.floor(this.#pickRandom() * candidates.length)];
		const second = candidates[Math.floor(this.#pickRandom() * candidates.length)];
		return first && second && computeLoad(second, load) < computeLoad(first, load) ? second : first;
	}
}

/** Share of its slots that a server takes work for: half while it warms. */
function computeCapacity({slots, state}: ServerRecord): number {
	return state === 'warming' ? Math.ceil(slots / 2) : slots;
}

function computeLoad({server}: Candidate, load: LoadView): number {
	const hint = load.getHint(server.id);
	const busy = hint ? server.slots - hint.freeSlots + hint.queued : 0;
	return Math.max(load.countInFlight(server.id), busy) / computeCapacity(server);
}

function hasSpareCapacity(candidate: Candidate, load: LoadView): boolean {
	return computeLoad(candidate, load) < 1;
}
