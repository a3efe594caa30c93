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
export type SpillView = {
	readonly candidate: Candidate;
	readonly tier: Tier;
	/** Time until the request would get a slot, in milliseconds; an estimate. */
	readonly waitMs: number;
	/** Expected duration of the request's work there, in milliseconds; undefined when nothing is known. */
	readonly workMs: number | undefined;
	/** True when the backend server is known to take trials only. */
	readonly isUnwell: boolean;
	/** Refusals of this request so far. */
	readonly refusals: number;
};

/** The next step of a request. */
export type SpillStep = {
	readonly candidate: Candidate;
	readonly tier: Tier;
	/** Longest wait it takes there before it would rather go elsewhere, in milliseconds. */
	readonly patienceMs: number;
	readonly isLastResort: boolean;
};

/** What of a request decides. */
export type SpillRequest = {
	readonly isRepeatable: boolean;
	readonly objectiveMs: number;
	readonly remainingMs: number;
};

/** Cost of the way to a candidate, as a share of the objective and as a delay in milliseconds. */
const distances: Readonly<Record<Tier, {readonly share: number; readonly delayMs: number}>> = {
	host: {share: 0, delayMs: 0},
	failureDomain: {share: 0.01, delayMs: 0},
	region: {share: 0.3, delayMs: 3},
	remote: {share: 0.45, delayMs: 65},
};
/** Cost of a backend server known to be unwell, as a share of the objective. */
const unwellShare = 1.5;
/** Cost of a backend server that warms, as a share of the objective. */
const warmingShare = 0.1;
/** Wait that is always worth taking at the nearest place, as a share of the objective. */
const leastPatienceShare = 0.04;
/** Refusals by one backend server, and in all, after which a request goes nowhere but to its last resort. */
const maxRefusalsEach = 2;
const maxRefusals = 6;
/** Spread of the costs of equal candidates, so that nodes don't all choose the same, as a share of the objective. */
const jitterShare = 0.02;

function computeCost(view: SpillView, {objectiveMs}: SpillRequest, typicalMs: number, jitter: number): number {
	const {share, delayMs} = distances[view.tier];
	const extraWorkMs = Math.max(0, (view.workMs ?? typicalMs) - typicalMs);
	const healthShare = (view.isUnwell ? unwellShare : 0) + (view.candidate.server.state === 'warming' ? warmingShare : 0);
	return view.waitMs + extraWorkMs + delayMs + (objectiveMs * (share + healthShare + (view.tier === 'host' ? 0 : jitter * jitterShare)));
}

/** Shortest known work of a route, as what is normal. */
function findTypicalWork(views: readonly SpillView[]): number {
	return Math.min(...views.map(({workMs}) => workMs ?? Number.POSITIVE_INFINITY), Number.MAX_SAFE_INTEGER);
}

/** Chooses the next step; undefined when no candidate is left. */
export function chooseSpillStep(views: readonly SpillView[], request: SpillRequest, pickRandom: () => number): SpillStep | undefined {
	const known = findTypicalWork(views);
	const typicalMs = known === Number.MAX_SAFE_INTEGER ? 0 : known;
	const ranked = views
		.map(view => ({view, cost: computeCost(view, request, typicalMs, pickRandom())}))
		.toSorted((a, b) => a.cost - b.cost);
	const refusals = views.reduce((sum, view) => sum + view.refusals, 0);
	const open = refusals >= maxRefusals ? [] : ranked.filter(({view}) => view.refusals < maxRefusalsEach && !(view.isUnwell && view.refusals > 0));
	const [first, second] = open;
	if (first) {
		const elsewhere = second ? second.cost - first.cost + first.view.waitMs : request.remainingMs;
		const patienceMs = Math.max(elsewhere, first.view.waitMs, request.objectiveMs * leastPatienceShare);
		return {
			candidate: first.view.candidate, tier: first.view.tier, patienceMs, isLastResort: false,
		};
	}

	const last = ranked.find(({view}) => view.refusals <= maxRefusalsEach);
	return last && {
		candidate: last.view.candidate, tier: last.view.tier, patienceMs: request.remainingMs, isLastResort: true,
	};
}
