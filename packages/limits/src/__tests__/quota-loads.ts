/** Organisations of the model of quotas, and the figures of their requests. */
import {type OrganisationLimit} from '../index.js';

/** What disturbs the fleet: nothing, changes of members (one a second), one cut in two, or both. */
export type Disruption = 'none' | 'churn' | 'cut' | 'churnAndCut';

/** How callers of an organisation send: below its quota, above it, or above it while it is lowered. */
type Load = 'steady' | 'bursts' | 'hot' | 'lowered';

/** Where they send: to one node, to two, to all, to one after the other. */
type Spread = 'one' | 'two' | 'all' | 'moving';

/** Requests of one organisation. */
export type OrganisationFigures = OrganisationLimit & {
	readonly load: Load;
	readonly spread: Spread;
	readonly admitted: number;
	readonly refused: number;
	/** Largest number of requests above the bound in any window of 5 s; negative when below in all. */
	readonly excess: number;
	/** Requests in the fullest window as a share of its bound. */
	readonly fullest: number;
	/** Time for which the slowest admitted request waited, in milliseconds. */
	readonly longestWaitMs: number;
};

/** Figures of one run. */
export type QuotaFigures = {
	readonly organisations: readonly OrganisationFigures[];
	readonly durationMs: number;
	readonly messages: number;
	/** Messages that the busiest node sent. */
	readonly messagesOfBusiest: number;
	readonly requests: number;
};

/** One run. */
export type QuotaRun = {
	readonly seed: number;
	readonly size: number;
	readonly disruption: Disruption;
};

/** Load as a multiple of the usual one. */
export const loadFactors: Readonly<Record<Load, number>> = {
	steady: 1, bursts: 0.5, hot: 7.5, lowered: 7.5,
};

/** Window of the bound, in milliseconds. */
export const windowMs = 5000;
/** Usual load as a share of the rate. */
export const usualShare = 1 / 1.6;

/** An organisation and its callers. */
export type Organisation = OrganisationLimit & {
	readonly load: Load;
	readonly spread: Spread;
};

/** Requests that ran: the time of admission of each. */
export type Usage = {
	readonly admittedAt: number[];
	refused: number;
	longestWaitMs: number;
};

/** Creates a random number generator for [0, 1); the same seed gives the same sequence. */
export function createRandom(seed: number): () => number {
	let state = (seed * 2_654_435_761) % 4_294_967_296;
	const pickNext = (): number => {
		state = ((state * 1_664_525) + 1_013_904_223) % 4_294_967_296;
		return state / 4_294_967_296;
	};

	Array.from({length: 10}, pickNext);
	return pickNext;
}

/** Creates one organisation for each way to send, with rates from 5 to 600 and bursts from half a second to two. */
export function createOrganisations(random: () => number): readonly Organisation[] {
	const loads: ReadonlyArray<readonly [Load, Spread]> = [
		['steady', 'one'], ['steady', 'all'], ['steady', 'moving'], ['bursts', 'one'], ['bursts', 'all'], ['hot', 'one'], ['hot', 'two'], ['hot', 'all'], ['hot', 'moving'], ['lowered', 'all'],
	];
	const rates = [5, 20, 60, 150, 600];
	return loads.map(([load, spread]) => {
		const rate = rates[Math.floor(random() * rates.length)]!;
		return {
			organisation: `${load}-${spread}`, load, spread, rate, burst: Math.ceil(rate * (0.5 + (random() * 1.5))),
		};
	});
}

/** Computes the largest excess, and the share of the fullest window, over the windows that begin in a period. */
export function computeExcess(times: readonly number[], {rate, burst}: OrganisationLimit, from: number, to: number): readonly [number, number] {
	const bound = (((rate * windowMs / 1000) + burst) * 1.1) + 20;
	let end = 0;
	const fullest = times.reduce((most, start, index) => {
		while (end < times.length && times[end]! < start + windowMs) {
			end++;
		}

		return start >= from && start + windowMs <= to ? Math.max(most, end - index) : most;
	}, 0);
	return [fullest - bound, fullest / bound];
}
