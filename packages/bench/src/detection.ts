/** Benchmark `detection`: detection time against false ejections, beside the lower limit on mean detection delay. */
import process from 'node:process';
import {
	computeDivergence, ConsecutiveDetector, createDetector, createSequentialDetector, detectionPolicies,
	type Baseline, type Detector, type WorkOutcome,
} from '@limpetbarrow/detect';
import {
	simulateService, type Fault, type ModelPolicy, type ModelResult,
} from './detection-model.js';
import {createRandom} from './seeded-random.js';

const healthyShare = 0.01;
const sickShares = [1, 0.3, 0.1, 0.03] as const;
const delayRuns = 200;
const seed = 4101;
const requestsPerDay = 864_000;
/** Design target: mean delay at most this many times the lower limit at the policy's own bound on false alarms. */
const maxLimitRatio = 2;
const baseline: Baseline = {
	failureShare: healthyShare, slowMs: 100, slowShare: healthyShare, requests: 10_000,
};

type Candidate = {
	readonly name: string;
	readonly create: () => Detector;
	readonly healthyRequests: number;
	/** Bound that the design promises; undefined for the baseline policy. */
	readonly bound?: number;
};

const candidates: readonly Candidate[] = [
	...[2, 3, 4, 6].map(bound => ({name: `${bound} in a row`, create: () => new ConsecutiveDetector(bound), healthyRequests: 5_000_000})),
	...[1e4, 1e5].map(bound => ({
		name: `sequential 1e${Math.log10(bound)}`, create: () => createSequentialDetector(bound), healthyRequests: 2_000_000, bound,
	})),
	...(['fast', 'cautious'] as const).map(policy => ({
		name: policy, create: () => createDetector(policy), healthyRequests: 10_000_000, bound: detectionPolicies[policy].requestsBetweenFalseAlarms,
	})),
];

function writeLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

function createOutcome(random: () => number, failureShare: number): WorkOutcome {
	const isFailure = random() < failureShare;
	return {at: 0, kind: isFailure ? 'failed' : 'answered', durationMs: random() < healthyShare ? 200 : 50};
}

function countFalseAlarms({create, healthyRequests}: Candidate): number {
	const random = createRandom(seed);
	const detector = create();
	let alarms = 0;
	for (let request = 0; request < healthyRequests; request++) {
		if (detector.recordOutcome(createOutcome(random, healthyShare), baseline).isFailing) {
			alarms++;
			detector.clear();
		}
	}

	return alarms;
}

function measureDelay(create: () => Detector, share: number, runSeed: number): number {
	const random = createRandom(runSeed);
	const detector = create();
	const bound = 50_000;
	for (let request = 1; request < bound; request++) {
		if (detector.recordOutcome(createOutcome(random, share), baseline).isFailing) {
			return request;
		}
	}

	return bound;
}

function computeMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function computeLimit(share: number, requestsBetween: number): number {
	return Math.log(requestsBetween) / computeDivergence(share, healthyShare);
}

function measureCandidate(candidate: Candidate): boolean {
	const alarms = countFalseAlarms(candidate);
	const between = alarms === 0 ? `> ${candidate.healthyRequests}` : String(Math.round(candidate.healthyRequests / alarms));
	const limitBase = candidate.bound ?? candidate.healthyRequests / Math.max(1, alarms);
	const cells = sickShares.map(share => {
		const runs = Array.from({length: share < 0.1 ? delayRuns / 4 : delayRuns}, (_, run) => measureDelay(candidate.create, share, seed + run));
		const mean = computeMean(runs);
		return {mean, ratio: mean / computeLimit(share, limitBase)};
	});
	const perDay = alarms * requestsPerDay / candidate.healthyRequests;
	const columns = cells.map(({mean, ratio}) => `${mean.toFixed(1)} (${ratio.toFixed(2)}x)`.padStart(20)).join('');
	writeLine(`${candidate.name.padEnd(16)} ${between.padStart(12)} ${perDay.toFixed(3).padStart(10)}  ${columns}`);
	const isWithinRatio = cells.every(({ratio}) => ratio <= maxLimitRatio);
	const isWithinAlarms = candidate.bound === undefined || alarms <= Math.max(3, 2 * candidate.healthyRequests / candidate.bound);
	return candidate.bound === undefined || (isWithinRatio && isWithinAlarms);
}

const onFirst = (share: number) => (server: number) => server === 0 ? share : 0;
const createFlapping = (period: number) => (server: number, second: number) => server === 0 && second % period < period / 2 ? 1 : 0;
const wholeService: ReadonlySet<string> = new Set(['all fail 100%', 'all fail 30%', 'all fail 5%', 'all 10x slower']);

const faults: ReadonlyMap<string, Fault> = new Map<string, Fault>([
	['healthy', {}],
	['fails 100%', {failureShare: onFirst(1)}],
	['fails 30%', {failureShare: onFirst(0.3)}],
	['fails 10%', {failureShare: onFirst(0.1)}],
	['fails 3%', {failureShare: onFirst(0.03)}],
	['10x slower', {slowShare: onFirst(1)}],
	['10x slower, 20%', {slowShare: onFirst(0.2)}],
	['flaps, 10 s', {failureShare: createFlapping(10)}],
	['flaps, 60 s', {failureShare: createFlapping(60)}],
	['flaps, 300 s', {failureShare: createFlapping(300)}],
	['all fail 100%', {failureShare: () => 1}],
	['all fail 30%', {failureShare: () => 0.3}],
	['all fail 5%', {failureShare: () => 0.05}],
	['all 10x slower', {slowShare: () => 1}],
	['one path lost 50%', {lostShare: onFirst(0.5)}],
	['impatient callers', {impatientShare: 0.2}],
	['0.5/s, fails 100%', {failureShare: onFirst(1), ratePerServer: 0.5}],
	['0.5/s, fails 30%', {failureShare: onFirst(0.3), ratePerServer: 0.5}],
	['0.5/s, healthy', {ratePerServer: 0.5}],
]);

const policies: readonly ModelPolicy[] = [
	{
		name: '3 in a row', createDetector: () => new ConsecutiveDetector(3), options: detectionPolicies.fast, hasPeers: false,
	},
	{
		name: 'fast', createDetector: () => createDetector('fast'), options: detectionPolicies.fast, hasPeers: true,
	},
	{
		name: 'cautious', createDetector: () => createDetector('cautious'), options: detectionPolicies.cautious, hasPeers: true,
	},
];

const modelSeeds = [71, 72] as const;

function formatResults(results: readonly ModelResult[]): string {
	const detected = results.filter(({detectionSeconds}) => detectionSeconds !== undefined);
	const seconds = detected.length === 0 ? '-' : computeMean(detected.map(({detectionSeconds}) => detectionSeconds ?? 0)).toFixed(1);
	const cells = [
		`${detected.length}/${results.length}`,
		seconds,
		detected.length === 0 ? '-' : computeMean(detected.map(({detectionRequests}) => detectionRequests)).toFixed(0),
		String(results.reduce((sum, {ejections}) => sum + ejections, 0)),
		String(results.reduce((sum, {otherEjections}) => sum + otherEjections, 0)),
		`${(computeMean(results.map(({healthyLost}) => healthyLost)) * 100).toFixed(2)}%`,
		String(Math.min(...results.map(({leastServing}) => leastServing))),
		`${(computeMean(results.map(({badShare}) => badShare)) * 100).toFixed(2)}%`,
	];
	return cells.map(cell => cell.padStart(10)).join('');
}

function measureFault(name: string, fault: Fault): boolean {
	return policies.map(policy => {
		const results = modelSeeds.map(modelSeed => simulateService(policy, fault, modelSeed));
		writeLine(`${name.padEnd(20)}${policy.name.padEnd(12)}${formatResults(results)}`);
		const ejected = results.reduce((sum, {ejections, otherEjections}) => sum + ejections + otherEjections, 0);
		return !policy.hasPeers || !wholeService.has(name) || ejected === 0;
	}).every(Boolean);
}

/** Runs the benchmark. */
export async function measureDetection(): Promise<number> {
	writeLine(`seed ${seed}; healthy servers fail ${healthyShare * 100}%; days at 10 requests/s; delays in requests, beside them the ratio to ln(requests between false alarms)/KL`);
	writeLine(`${'policy'.padEnd(16)} ${'between'.padStart(12)} ${'false/day'.padStart(10)}  ${sickShares.map(share => `fails ${share * 100}%`.padStart(20)).join('')}`);
	const areBoundsKept = candidates.map(candidate => measureCandidate(candidate)).every(Boolean);
	writeLine(`\nseeds ${modelSeeds.join(', ')}; 12 servers, floor 6, 10 requests/s each; fault from second 300 to 780`);
	writeLine(`${'fault'.padEnd(20)}${'policy'.padEnd(12)}${['detected', 'seconds', 'requests', 'ejections', 'others', 'lost', 'serving', 'bad'].map(title => title.padStart(10)).join('')}`);
	const isWholeServiceKept = [...faults].map(([name, fault]) => measureFault(name, fault)).every(Boolean);
	writeLine(`\nmean delay at most ${maxLimitRatio} times the limit and false alarms within their bound: ${areBoundsKept ? 'yes' : 'NO'}`);
	writeLine(`a service degraded as a whole ejects nobody: ${isWholeServiceKept ? 'yes' : 'NO'}`);
	return areBoundsKept && isWholeServiceKept ? 0 : 1;
}
