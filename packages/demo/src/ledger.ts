/** What the backend servers' ledgers say about the requests that were sent. */
import {formatAddress} from '@limpetbarrow/core';
import {type LedgerEntry} from '@limpetbarrow/stand-ins';
import {request} from 'undici';
import {type FleetBackend} from './fleet.js';

/** What a caller saw of one request. */
export type SentRequest = {
	/** Names the request in the ledgers. */
	readonly tag: string;
	readonly service: string;
	/** True when running it twice does no harm. */
	readonly isRepeatable: boolean;
	readonly outcome: 'whole' | 'not-run' | 'unknown';
	/** Result code of a refusal or failure. */
	readonly code: number | undefined;
	/** Whether a whole answer was the answer to this request. */
	readonly isOwnAnswer: boolean;
};

/** Counts over all requests; the last four must be 0. */
export type Tally = {
	readonly sent: number;
	readonly whole: number;
	readonly notRun: number;
	readonly unknown: number;
	/** Requests that may not be repeated and ran more than once. */
	readonly runTwice: number;
	/** Requests refused with "not run" that ran. */
	readonly notRunButRan: number;
	/** Requests answered with something else than their own answer. */
	readonly foreignAnswers: number;
	/** Requests answered whole that no ledger holds. */
	readonly wholeButNotRun: number;
};

/** Fetches the ledger of a backend server. */
export async function fetchLedger({address}: FleetBackend): Promise<readonly LedgerEntry[]> {
	const answer = await request(`http://${formatAddress(address)}/stand-in/ledger`);
	return await answer.body.json() as readonly LedgerEntry[];
}

/** Switches faults of a backend server. */
export async function setBackendFaults({address}: FleetBackend, faults: Readonly<Record<string, number | string>>): Promise<void> {
	const answer = await request(`http://${formatAddress(address)}/stand-in/faults`, {method: 'POST', body: JSON.stringify(faults)});
	await answer.body.dump();
}

function countRuns(ledger: readonly LedgerEntry[]): ReadonlyMap<string, number> {
	const runs = new Map<string, number>();
	ledger.forEach(({tag}) => {
		runs.set(tag, (runs.get(tag) ?? 0) + 1);
	});
	return runs;
}

/** Compares what callers saw with what ran. */
export function computeTally(sent: readonly SentRequest[], ledger: readonly LedgerEntry[]): Tally {
	const runs = countRuns(ledger);
	const countWhere = (condition: (request: SentRequest, ran: number) => boolean): number => sent.filter(one => condition(one, runs.get(one.tag) ?? 0)).length;
	return {
		sent: sent.length,
		whole: countWhere(({outcome}) => outcome === 'whole'),
		notRun: countWhere(({outcome}) => outcome === 'not-run'),
		unknown: countWhere(({outcome}) => outcome === 'unknown'),
		runTwice: countWhere(({isRepeatable}, ran) => !isRepeatable && ran > 1),
		notRunButRan: countWhere(({outcome}, ran) => outcome === 'not-run' && ran > 0),
		foreignAnswers: countWhere(({outcome, isOwnAnswer}) => outcome === 'whole' && !isOwnAnswer),
		wholeButNotRun: countWhere(({outcome}, ran) => outcome === 'whole' && ran === 0),
	};
}

/** True when no property of the tally is broken. */
export function isSound({runTwice, notRunButRan, foreignAnswers, wholeButNotRun}: Tally): boolean {
	return runTwice + notRunButRan + foreignAnswers + wholeButNotRun === 0;
}
