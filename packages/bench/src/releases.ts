/** `releases`: what a release costs a node and the platform, by size of the configuration and of the fleet. */
import process from 'node:process';
import {simulateCalls, type CallResult} from './release-calls.js';
import {measureSize, type SizeResult} from './release-sizes.js';

const seed = 4001;
const inForceBoundMs = 6000;
/** 3.5% of a core over the time in which a release spreads. */
const controlBoundMs = 0.035 * inForceBoundMs;
const memoryBoundMb = 32;
/** Calls may not grow with the fleet; what is left is chance. */
const growthBound = 1.25;

const fullSize = {services: 220, routes: 6600, organisations: 27_000};
const sizes = [4, 2, 1].map(divisor => ({
	services: fullSize.services / divisor, routes: fullSize.routes / divisor, organisations: fullSize.organisations / divisor,
}));
const nodeCounts = [92, 365, 730];

function formatRow(cells: ReadonlyArray<string | number>): string {
	return `${cells.map(cell => (typeof cell === 'number' ? cell.toFixed(2) : cell).padStart(13)).join(' ')}\n`;
}

function reportSizes(results: readonly SizeResult[]): void {
	process.stdout.write(formatRow(['services', 'routes', 'organisations', 'check ms', 'fold ms', 'heap MB', 'note B', 'snapshot B', 'snap start ms', 'snap calls', 'log start ms', 'log calls']));
	results.forEach(({size, ...result}) => {
		process.stdout.write(formatRow([
			String(size.services),
			String(size.routes),
			String(size.organisations),
			result.checkMs,
			result.foldMs,
			result.heapMb,
			String(result.noteBytes),
			String(result.snapshotBytes),
			result.snapshotStartMs,
			String(result.snapshotStartCalls),
			result.logStartMs,
			String(result.logStartCalls),
		]));
	});
}

function reportCalls(results: readonly CallResult[]): void {
	process.stdout.write(formatRow(['nodes', 'watchers', 'quiet /s', 'release /s', 'outage /s', 'in force ms', 'policy']));
	results.forEach(({nodes, watchers, quietCallsPerS, releaseCallsPerS, outageCallsPerS, inForceMs, policy}) => {
		process.stdout.write(formatRow([String(nodes), String(watchers), quietCallsPerS, releaseCallsPerS, outageCallsPerS, String(inForceMs), policy]));
	});
}

function reportBound(name: string, value: number, bound: number): boolean {
	const holds = value <= bound;
	process.stdout.write(`${holds ? 'holds' : 'FAILS'}: ${name} ${value.toFixed(2)}, bound ${bound.toFixed(2)}\n`);
	return holds;
}

/** Measures sizes, then fleets; each policy on the same seed. */
export async function measureReleases(): Promise<number> {
	const sizeResults = await sizes.reduce<Promise<readonly SizeResult[]>>(async (before, size) => [...await before, await measureSize(size)], Promise.resolve([]));
	reportSizes(sizeResults);
	const plans = nodeCounts.flatMap(nodes => (['few watchers', 'every node watches'] as const).map(policy => ({nodes, policy})));
	const callResults = await plans.reduce<Promise<readonly CallResult[]>>(async (before, {nodes, policy}) => [...await before, await simulateCalls(nodes, policy, seed)], Promise.resolve([]));
	reportCalls(callResults);
	const largest = sizeResults.at(-1)!;
	const few = callResults.filter(({policy}) => policy === 'few watchers');
	const [first, last] = [few[0]!, few.at(-1)!];
	const bounds = [
		reportBound('check and fold of one release at full size, ms', largest.checkMs + largest.foldMs, controlBoundMs),
		reportBound('heap of the configuration at full size, MB', largest.heapMb, memoryBoundMb),
		reportBound('start from a snapshot at full size, ms', largest.snapshotStartMs, inForceBoundMs),
		reportBound(`quiet calls at ${last.nodes} nodes by those at ${first.nodes}`, last.quietCallsPerS / first.quietCallsPerS, growthBound),
		reportBound(`outage calls at ${last.nodes} nodes by those at ${first.nodes}`, last.outageCallsPerS / first.outageCallsPerS, growthBound),
		reportBound(`in force on ${last.nodes} nodes, ms`, last.inForceMs, inForceBoundMs),
	];
	return bounds.every(Boolean) ? 0 : 1;
}
