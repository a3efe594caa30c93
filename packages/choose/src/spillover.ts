/**
 * Chooses where a request goes next: the nearest backend server, unless the wait there costs more than the way further.
 *
 * It answers bursts in one failure domain and backend servers that fall out: work stays near while it can be done in
 * time there, and spills over by distance when it can't. Distance and wait are compared in one unit, the share of the
 * route's objective that they use up; bytes between failure domains and regions are paid for, so distance costs more
 * than its delay. A backend server with a shorter wait elsewhere bounds how long the request may wait here.
 */
import {type Candidate, type Tier} from './chooser.js';

/** What is known of one candidate for one request. */
export type SpilloverCandidate = {
	readonly candidate: Candidate;
	readonly tier: Tier;
	/** Time until the request would get a slot, in milliseconds; undefined when nothing is known. */
	readonly waitMs: number | undefined;
	/** Expected duration of the request's work there, in milliseconds; undefined when nothing is known. */
	readonly workMs: number | undefined;
	/** True when the backend server is known to take trials only. */
	readonly isUnwell: boolean;
	/** True when the backend server is known to reject much of its work without running it. */
	readonly isShedding: boolean;
	/** Refusals of this request so far. */
	readonly refusals: number;
};

/** The next step of a request. */
export type SpilloverChoice = {
	readonly candidate: Candidate;
	readonly tier: Tier;
	/** Longest wait it takes there before it would rather go elsewhere, in milliseconds. */
	readonly patienceMs: number;
	readonly isLastResort: boolean;
};

/** What of a request decides. */
export type SpilloverRequest = {
	/** True when a failure would be followed by another attempt. */
	readonly isRetryable: boolean;
	readonly objectiveMs: number;
	/** Time left of the objective, in milliseconds; below 0 once an answer is late. */
	readonly objectiveLeftMs: number;
};

/** Cost of the way to a candidate, as a share of the objective and as a delay in milliseconds. */
const distanceCosts: Readonly<Record<Tier, {readonly share: number; readonly delayMs: number}>> = {
	host: {share: 0, delayMs: 0},
	failureDomain: {share: 0.01, delayMs: 0},
	region: {share: 0.3, delayMs: 3},
	remote: {share: 0.6, delayMs: 65},
};
/** Cost of a backend server known to be unwell, as a share of the objective; a request that can't be tried again is lost there. */
const unwellCostShare = 1.5;
const unretryableUnwellCostShare = 4;
/** Part of the mean wait elsewhere that is assumed where no wait is known. */
const unknownWaitFactor = 0.5;
/**
 * Cost of a backend server that sheds, as a share of the objective: more than the way to another in the failure domain,
 * less than the way to another one. Where a whole service sheds, going further finds no better.
 */
const sheddingCostShare = 0.25;
/** Cost of a backend server that warms, as a share of the objective. */
const warmingCostShare = 0.1;
/** Wait that is always worth taking at the nearest place, as a share of the objective. */
const minPatienceShare = 0.04;
/** Refusals by one backend server, and in all, after which a request goes nowhere but to its last resort. */
const maxRefusalsPerServer = 2;
const maxRefusals = 4;
/** Part of what is left of the objective, after the work, that a request may wait. */
const maxWaitShare = 0.9;
/** Spread of the costs of equal candidates, so that nodes don't all choose the same, as a share of the objective. */
const jitterShare = 0.02;

type EstimateDefaults = {
	/** Shortest known work of the route; 0 when none is known. */
	readonly shortestWorkMs: number;
	/** Wait that is assumed where none is known. */
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

/** Chooses the next step; undefined when no candidate is left. */
export function chooseNextServer(views: readonly SpilloverCandidate[], request: SpilloverRequest, pickRandom: () => number): SpilloverChoice | undefined {
	const defaults = computeEstimateDefaults(views);
	const ranked = views
		.map(view => ({view, cost: computeCost(view, request, defaults, pickRandom())}))
		.toSorted((a, b) => a.cost - b.cost);
	const refusals = views.reduce((sum, view) => sum + view.refusals, 0);
	const eligible = refusals >= maxRefusals ? [] : ranked.filter(({view}) => view.refusals < maxRefusalsPerServer && !(view.isUnwell && view.refusals > 0));
	const [first, second] = eligible;
	const maxWaitMs = Math.max(0, (request.objectiveLeftMs * maxWaitShare) - defaults.shortestWorkMs);
	if (first) {
		const waitMs = first.view.waitMs ?? defaults.assumedWaitMs;
		const breakEvenWaitMs = second ? second.cost - first.cost + waitMs : maxWaitMs;
		const patienceMs = Math.min(maxWaitMs, Math.max(breakEvenWaitMs, waitMs, request.objectiveMs * minPatienceShare));
		return {
			candidate: first.view.candidate, tier: first.view.tier, patienceMs, isLastResort: false,
		};
	}

	const lastResort = ranked.find(({view}) => view.refusals <= maxRefusalsPerServer && (view.waitMs ?? 0) <= maxWaitMs);
	return lastResort && {
		candidate: lastResort.view.candidate, tier: lastResort.view.tier, patienceMs: maxWaitMs, isLastResort: true,
	};
}
