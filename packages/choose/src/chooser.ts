/** Load balancing: chooses the backend server for a request among the candidates. */
import {type LoadHint, type Placement, type ServerRecord} from '@limpetbarrow/core';

/** A backend server that may take the request, with the node that hosts it. */
export type Candidate = {
	readonly nodeId: string;
	readonly placement: Placement;
	readonly server: ServerRecord;
};

/** Load of the candidates, as far as this node knows it. */
export type LoadView = {
	/** Number of requests that this node has in progress at the server. */
	readonly countInFlight: (serverId: string) => number;
	/** Load that the server's node reported last; undefined when it has reported none. */
	readonly getHint: (serverId: string) => LoadHint | undefined;
};

/** Distance tiers, nearest first. */
export const tierOrder = ['host', 'failureDomain', 'region', 'remote'] as const;

/** Distance of a candidate from the node that chooses. */
export type Tier = typeof tierOrder[number];

/** Finds the distance tier of a candidate, as seen from the node `self`. */
export function findTier(self: {readonly id: string; readonly placement: Placement}, candidate: Candidate): Tier {
	if (candidate.nodeId === self.id) {
		return 'host';
	}

	if (candidate.placement.failureDomain === self.placement.failureDomain) {
		return 'failureDomain';
	}

	return candidate.placement.region === self.placement.region ? 'region' : 'remote';
}

/** A load-balancing policy. */
export abstract class Chooser {
	/** Chooses one of the candidates; undefined when there is none. */
	abstract choose(candidates: readonly Candidate[], load: LoadView): Candidate | undefined;
}

/** Chooses in the nearest tier with spare capacity, by the power of two choices: the less loaded of two random candidates. */
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

/** Number of requests that a server may run at once: half of its slots while it warms up. */
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
