/** Benchmark `overload`: useful answers, late work and retries under overload and after an outage. */
import process from 'node:process';
import {RetryBudget, UnlimitedRetries} from '@limpetbarrow/choose';
import {
	capacityPerS, OverloadModel, type OverloadPolicy, type OverloadScenario, type SecondCounts,
} from './overload-model.js';

const seeds = [51, 52, 53] as const;
const endS = 150;
const faultStartS = 30;
const faultEndS = 60;
/** Time after the fault in which the service recovers. */
const recoveryS = 5;
const quietLoad = 0.7;
/** Targets: share of capacity that is useful under overload, of what is offered after it; late runs; retries to requests. */
const minUsefulShare = 0.9;
const minRecoveredShare = 0.95;
const maxLateShare = 0.01;
const maxRetryShare = 0.11;

const isInFault = (at: number): boolean => at >= faultStartS * 1000 && at < faultEndS * 1000;

const policies: readonly OverloadPolicy[] = [
	{
		name: 'no budget, no deadline', createRetries: () => new UnlimitedRetries(), queueLimit: Number.POSITIVE_INFINITY, hasDeadline: false,
	},
	{
		name: 'no budget, deadline', createRetries: () => new UnlimitedRetries(), queueLimit: 12, hasDeadline: true,
	},
	{
		name: 'budget, deadline', createRetries: () => new RetryBudget(), queueLimit: 12, hasDeadline: true,
	},
];

const scenarios: readonly OverloadScenario[] = [
	{name: 'load of 3 times capacity', getLoad: at => isInFault(at) ? 3 : quietLoad, isOutage: () => false},
	{name: 'outage of 30 s', getLoad: () => quietLoad, isOutage: isInFault},
];

type Shares = {
	/** Useful answers to what could be useful: capacity or what is offered. */
	readonly during: number;
	readonly after: number;
	readonly late: number;
	readonly retries: number;
};

function computeSum(seconds: readonly SecondCounts[], name: keyof SecondCounts): number {
	return seconds.reduce((total, counts) => total + counts[name], 0);
}

function computeShares(seconds: readonly SecondCounts[]): Shares {
	const during = seconds.slice(faultStartS + recoveryS, faultEndS);
	const after = seconds.slice(faultEndS + recoveryS, endS);
	return {
		during: computeSum(during, 'useful') / (capacityPerS * during.length),
		after: computeSum(after, 'useful') / computeSum(after, 'offered'),
		late: computeSum(seconds, 'late') / computeSum(seconds, 'runs'),
		retries: computeSum(seconds, 'retries') / computeSum(seconds, 'offered'),
	};
}

function formatShare(share: number): string {
	return `${(share * 100).toFixed(1)}%`.padStart(12);
}

function measurePolicy(policy: OverloadPolicy, scenario: OverloadScenario): boolean {
	return seeds.map(seed => {
		const shares = computeShares(new OverloadModel(policy, scenario, seed).run(endS * 1000));
		const cells = [shares.during, shares.after, shares.late, shares.retries].map(share => formatShare(share)).join('');
		process.stdout.write(`${scenario.name.padEnd(28)}${policy.name.padEnd(26)}${String(seed).padStart(6)}${cells}\n`);
		const isUseful = scenario.getLoad(faultStartS * 1000) <= 1 || shares.during >= minUsefulShare;
		return isUseful && shares.after >= minRecoveredShare && shares.late <= maxLateShare && shares.retries <= maxRetryShare;
	}).every(Boolean);
}

/** Runs the benchmark. */
export async function measureOverload(): Promise<number> {
	process.stdout.write(`fault from second ${faultStartS} to ${faultEndS}; capacity ${capacityPerS}/s, otherwise ${quietLoad} of it offered\n`);
	process.stdout.write('useful during the fault to capacity, after it to what is offered\n');
	process.stdout.write(`${'scenario'.padEnd(28)}${'policy'.padEnd(26)}${'seed'.padStart(6)}${['during', 'after', 'late runs', 'retries'].map(title => title.padStart(12)).join('')}\n`);
	const results = scenarios.flatMap(scenario => policies.map(policy => ({policy, isKept: measurePolicy(policy, scenario)})));
	const isKept = results.filter(({policy}) => policy === policies.at(-1)).every(result => result.isKept);
	process.stdout.write(`useful at least ${minUsefulShare} of capacity under overload and ${minRecoveredShare} after ${recoveryS} s\n`);
	process.stdout.write(`late at most ${maxLateShare}, retries at most ${maxRetryShare}: ${isKept ? 'yes' : 'NO'}\n`);
	return isKept ? 0 : 1;
}
