/** Draws the faults of one soak run from its seed. */
import {createSeededRandom} from '@limpetbarrow/stand-ins';

/** Work that an operator plans; none of it may cost a caller an answer. */
export const plannedKinds = ['stopNode', 'reloadSettings', 'changeConfiguration', 'replaceServer'] as const;

/** Faults from outside the processes. */
export const unplannedKinds = [
	'killNode',
	'killAllNodes',
	'pauseNode',
	'stepClock',
	'delayLink',
	'resetLink',
	'cutLinkInward',
	'cutLinkOutward',
	'silenceLink',
	'dropGossip',
	'cutStore',
	'silenceStore',
	'breakStore',
	'loseStoreAnswers',
	'forgetStoreHistory',
	'crashServer',
	'failServer',
	'hangServer',
	'breakServerAnswers',
	'resetServerConnections',
] as const;

/** Faults that come in a series to the backend servers of a failure domain: they are killed, or reset responses half way. */
export const domainKinds = ['killDomainServers', 'resetServerAnswers'] as const;

/**
 * What can happen in a soak run; `rollNodes` stops and starts all nodes in turn, each before the one before it is back,
 * `limitServer` lets a backend server name a limit that falls, and `restoreStore` brings the store back from a copy.
 */
export type FaultKind = 'rollNodes' | 'limitServer' | 'restoreStore' | typeof domainKinds[number] | typeof plannedKinds[number] | typeof unplannedKinds[number];

/** One fault. */
export type SoakFault = {
	readonly kind: FaultKind;
	/** Time from the start of the load to the fault, in milliseconds. */
	readonly atMs: number;
	readonly forMs: number;
	/** Index of the host that it concerns. */
	readonly host: number;
	/** How strong it is, from 0 to below 1. */
	readonly strength: number;
};

/** Bounds of a plan. */
export type FaultPlanOptions = {
	readonly seed: number;
	readonly hosts: number;
	/** Time in which faults begin, in milliseconds. */
	readonly spanMs: number;
};

/** One run in so many has planned work only, so that whatever a caller loses in it is the fleet's doing. */
const plannedPeriod = 5;
const minFaults = 4;
const maxFaults = 10;
const minForMs = 300;
const maxForMs = 4000;
/** Share of the faults that come as a series: the same again, a little later, mostly elsewhere. */
const seriesShare = 0.3;
const seriesGapMs = 400;

/** True when a run has planned work only. */
export function isPlannedRun(seed: number): boolean {
	return seed % plannedPeriod === 0;
}

function createFault(pick: () => number, kinds: readonly FaultKind[], {hosts, spanMs}: FaultPlanOptions): SoakFault {
	return {
		kind: kinds[Math.floor(pick() * kinds.length)]!,
		atMs: Math.round(pick() * spanMs),
		forMs: Math.round(minForMs + (pick() * (maxForMs - minForMs))),
		host: Math.floor(pick() * hosts),
		strength: pick(),
	};
}

function createSeries(pick: () => number, fault: SoakFault, {hosts}: FaultPlanOptions): readonly SoakFault[] {
	return pick() < seriesShare
		? [fault, {...fault, atMs: fault.atMs + seriesGapMs, host: Math.floor(pick() * hosts)}]
		: [fault];
}

/** Share of the runs in which all nodes are restarted in turn, beside the other faults. */
const rollShare = 0.3;
/** Offset of the seed from which this is drawn, so that the other faults of a seed stay what they were. */
const rollSeedOffset = 7;

function createRoll({seed, spanMs}: FaultPlanOptions): readonly SoakFault[] {
	const pick = createSeededRandom(seed + rollSeedOffset);
	return pick() < rollShare
		? [{
			kind: 'rollNodes', atMs: Math.round(pick() * spanMs / 2), forMs: Math.round(minForMs + (pick() * (maxForMs - minForMs) / 2)), host: 0, strength: pick(),
		}]
		: [];
}

/** Share of the runs in which backend servers name limits, and the offset of the seed from which they are drawn. */
const limitShare = 0.4;
const limitSeedOffset = 13;
/** A limit binds after four seconds, so it lasts for most of a run, in milliseconds. */
const limitForMs = 9000;
const maxLimitStartMs = 1500;
const maxLimits = 3;

function createLimits({seed, hosts}: FaultPlanOptions): readonly SoakFault[] {
	const pick = createSeededRandom(seed + limitSeedOffset);
	const count = pick() < limitShare ? 1 + Math.floor(pick() * maxLimits) : 0;
	return Array.from({length: count}, () => ({
		kind: 'limitServer', atMs: Math.round(pick() * maxLimitStartMs), forMs: limitForMs, host: Math.floor(pick() * hosts), strength: pick(),
	}));
}

/** Share of the runs in which the faults of failure domains come, and the offset of the seed from which they are drawn. */
const domainShare = 0.5;
const domainSeedOffset = 17;
const maxDomainFaults = 4;

function createDomainFaults(options: FaultPlanOptions): readonly SoakFault[] {
	const pick = createSeededRandom(options.seed + domainSeedOffset);
	const count = !isPlannedRun(options.seed) && pick() < domainShare ? 1 + Math.floor(pick() * maxDomainFaults) : 0;
	return Array.from({length: count}, () => createFault(pick, domainKinds, options)).flatMap(fault => createSeries(pick, fault, options));
}

/** Share of the runs in which the store is restored, once or twice, and the offset of the seed from which this is drawn. */
const restoreShare = 0.3;
const restoreSeedOffset = 19;
const maxRestores = 2;

function createRestores(options: FaultPlanOptions): readonly SoakFault[] {
	const pick = createSeededRandom(options.seed + restoreSeedOffset);
	const count = !isPlannedRun(options.seed) && pick() < restoreShare ? 1 + Math.floor(pick() * maxRestores) : 0;
	return Array.from({length: count}, () => createFault(pick, ['restoreStore'], options));
}

/** The faults of a run, by time; the same for the same seed. */
export function createFaultPlan(options: FaultPlanOptions): readonly SoakFault[] {
	const pick = createSeededRandom(options.seed);
	const kinds = isPlannedRun(options.seed) ? plannedKinds : [...plannedKinds, ...unplannedKinds];
	const count = minFaults + Math.floor(pick() * (maxFaults - minFaults + 1));
	const faults = Array.from({length: count}, () => createFault(pick, kinds, options))
		.flatMap(fault => createSeries(pick, fault, options));
	return [...faults, ...createRoll(options), ...createLimits(options), ...createDomainFaults(options), ...createRestores(options)]
		.toSorted((a, b) => a.atMs - b.atMs);
}
