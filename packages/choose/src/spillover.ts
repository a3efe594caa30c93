/**
 * Chooses the server for the next attempt of a request: the nearest backend server, unless waiting there costs more than
 * going further.
 *
 * This handles bursts in one failure domain and backend servers that fail: requests stay near while they can be answered
 * in time there, and spill over by distance when they can't. Distance and wait are compared as costs relative to the
 * route's latency objective. Traffic between failure domains and regions is paid for, so distance costs more than its
 * delay. The next best candidate limits how long the request may wait at the best one.
 */
import {type Candidate, type Tier} from './chooser.js';

/** A candidate for one request, with what is known of it. */
export type SpilloverCandidate = {
	readonly candidate: Candidate;
	readonly tier: Tier;
	/** Time until the request would get a slot, in milliseconds; undefined when nothing is known. */
	readonly waitMs: number | undefined;
	/** Expected duration of the request's work there, in milliseconds; undefined when nothing is known. */
	readonly workMs: number | undefined;
	/** True when the backend server is known to take trial requests only. */
	readonly isUnwell: boolean;
	/** True when the backend server is known to shed load: it rejects much of its work without running it. */
	readonly isShedding: boolean;
	/** Number of times that the candidate has refused this request. */
	readonly refusals: number;
};

/** The server chosen for the next attempt of a request. */
export type SpilloverChoice = {
	readonly candidate: Candidate;
	readonly tier: Tier;
	/** Longest queueing time to accept there, in milliseconds; beyond it another candidate is the better choice. */
	readonly patienceMs: number;
	/** True when refusals have ruled out all candidates, and the request goes to the best one nevertheless. */
	readonly isLastResort: boolean;
};

/** The properties of a request that the choice depends on. */
export type SpilloverRequest = {
	/** True when a failure would be followed by another attempt. */
	readonly isRetryable: boolean;
	/** Latency objective of the route, in milliseconds. */
	readonly objectiveMs: number;
	/** Time left of the objective, in milliseconds; negative once the answer is late. */
	readonly objectiveLeftMs: number;
};

/** Cost of the distance to a candidate, as a share of the objective and as a network delay in milliseconds. */
const distanceCosts: Readonly<Record<Tier, {readonly share: number; readonly delayMs: number}>> = {
	host: {share: 0, delayMs: 0},
	failureDomain: {share: 0.01, delayMs: 0},
	region: {share: 0.3, delayMs: 3},
	remote: {share: 0.6, delayMs: 65},
};
/** Cost of a backend server known to be unwell, as a share of the objective. */
const unwellCostShare = 1.5;
/** The same cost for a request that can't be retried, which would be lost there. */
const unretryableUnwellCostShare = 4;
/** Factor on the mean of the known waits, which gives the wait to assume at a candidate whose wait is unknown. */
const unknownWaitFactor = 0.5;
/**
 * Cost of a backend server that sheds load, as a share of the objective: more than the distance within a failure domain,
 * less than the distance to another failure domain. When a whole service sheds, going further gains nothing.
 */
const sheddingCostShare = 0.25;
/** Cost of a backend server that is warming up, as a share of the objective. */
const warmingCostShare = 0.1;
/** Least wait that is accepted at the chosen candidate, as a share of the objective. */
const minPatienceShare = 0.04;
/** Refusals by one backend server, and in total, after which only a last resort is left. */
const maxRefusalsPerServer = 2;
const maxRefusals = 6;
/** Share of the time left of the objective that a request may take to wait and run. */
const maxWaitShare = 0.9;
/** Random spread of the costs of equal candidates, as a share of the objective, so that nodes don't all choose the same one. */
const jitterShare = 0.02;

/** Estimates for candidates whose work or wait is unknown. */
type EstimateDefaults = {
	/** Shortest known duration of the route's work, in milliseconds; 0 when none is known. */
	readonly shortestWorkMs: number;
	/** Wait that is assumed where none is known, in milliseconds. */
	readonly assumedWaitMs: number;
};

function computeEstimateDefaults(views: readonly SpilloverCandidate[]): EstimateDefaults {
	const works = views.map(({workMs}) => workMs).filter(workMs => workMs !== undefined);
	const waits = views.map(({waitMs}) => waitMs).filter(waitMs => waitMs !== undefined);
	const meanWaitMs = waits.reduce((sum, waitMs) => sum + waitMs, 0) / Math.max(1, waits.length);
	return {shortestWorkMs: works.length === 0 ? 0 : Math.min(...works), assumedWaitMs: meanWaitMs * unknownWaitFactor};
}

function computeCost(view: SpilloverCandidate, {objectiveMs, isRetryable}: SpilloverRequest, {shortestWorkMs, assumedWaitMs}: EstimateDefaults, jitter: number): number {
	const {share, delayMs} = distanceCosts[view.tier];
	const extraWorkMs = Math.max(0, (view.workMs ?? shortestWorkMs) - shortestWorkMs);
	const healthShare = (view.isUnwell ? (isRetryable ? unwellCostShare : unretryableUnwellCostShare) : 0)
		+ (view.isShedding ? sheddingCostShare : 0) + (view.candidate.server.state === 'warming' ? warmingCostShare : 0);
	return (view.waitMs ?? assumedWaitMs) + extraWorkMs + delayMs + (objectiveMs * (share + healthShare + (view.tier === 'host' ? 0 : jitter * jitterShare)));
}

/** True for a candidate that has not refused the request, or has refused it for a wait that the request can accept by now. */
function isWorthAsking({refusals, isUnwell, waitMs = Number.POSITIVE_INFINITY}: SpilloverCandidate, maxWaitMs: number): boolean {
	return refusals === 0 || (refusals < maxRefusalsPerServer && !isUnwell && waitMs <= maxWaitMs);
}

/** Chooses the server for the next attempt; undefined when no candidate is left. `pickRandom` returns 0 to below 1. */
export function chooseNextServer(views: readonly SpilloverCandidate[], request: SpilloverRequest, pickRandom: () => number): SpilloverChoice | undefined {
	const defaults = computeEstimateDefaults(views);
	const ranked = views
		.map(view => ({view, cost: computeCost(view, request, defaults, pickRandom())}))
		.toSorted((a, b) => a.cost - b.cost);
	const refusals = views.reduce((sum, view) => sum + view.refusals, 0);
	const maxWaitMs = Math.max(0, (request.objectiveLeftMs * maxWaitShare) - defaults.shortestWorkMs);
	const eligible = refusals >= maxRefusals ? [] : ranked.filter(({view}) => isWorthAsking(view, maxWaitMs));
	const [first, second] = eligible;
	if (first) {
		const waitMs = first.view.waitMs ?? defaults.assumedWaitMs;
		const breakEvenWaitMs = second ? second.cost - first.cost + waitMs : maxWaitMs;
		const patienceMs = Math.min(maxWaitMs, Math.max(breakEvenWaitMs, waitMs + (request.objectiveMs * minPatienceShare)));
		return {
			candidate: first.view.candidate, tier: first.view.tier, patienceMs, isLastResort: false,
		};
	}

	const lastResort = ranked.find(({view}) => view.refusals <= maxRefusalsPerServer && (view.waitMs ?? 0) <= maxWaitMs);
	return lastResort && {
		candidate: lastResort.view.candidate, tier: lastResort.view.tier, patienceMs: maxWaitMs, isLastResort: true,
	};
}
