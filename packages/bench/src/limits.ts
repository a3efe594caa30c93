/**
 * Limits of callers: entitled requests refused and requests let in beyond the terms, by policy, fault and number of nodes
 * a caller sends through.
 */
import process from 'node:process';
import {simulateAddress, type LimitKey} from './address-model.js';
import {
	simulateLimits, type LimitCounts, type LimitFault, type LimitPolicy, type LimitScenario,
} from './limits-model.js';

const policies: readonly LimitPolicy[] = ['local, whole rate', 'local, rate / nodes', 'home batches, open at rate / nodes', 'home batches, open at whole rate', 'reports to home'];
const keptPolicy: LimitPolicy = 'reports to home';
const faults: readonly LimitFault[] = ['none', 'home dead', 'half the nodes parted from home'];
const nodes = 8;
const usedNodes = [1, 3, 8] as const;
const rates = [4, 100] as const;
const demands = [0.8, 3] as const;
const limitKeys: readonly LimitKey[] = ['caller', 'address, rate of one caller', 'address, 20 a second'];
const seeds = [1, 2, 3, 4, 5] as const;
/** Entitled requests refused, of all entitled ones, that callers within their terms may see. */
const maxRefusedShare = 0.01;
/** Requests beyond the terms, of all entitled ones, while no node fails. */
const maxQuietOvershoot = 0.25;

type Row = {
	readonly scenario: Omit<LimitScenario, 'seed'>;
	readonly counts: LimitCounts;
};

function addCounts(a: LimitCounts, b: LimitCounts): LimitCounts {
	return {
		sent: a.sent + b.sent,
		entitled: a.entitled + b.entitled,
		admitted: a.admitted + b.admitted,
		refusedEntitled: a.refusedEntitled + b.refusedEntitled,
		overshoot: a.overshoot + b.overshoot,
		messages: a.messages + b.messages,
	};
}

function simulateRow(scenario: Omit<LimitScenario, 'seed'>): Row {
	return {scenario, counts: seeds.map(seed => simulateLimits({...scenario, seed})).reduce((sum, counts) => addCounts(sum, counts))};
}

function formatShare(part: number, whole: number): string {
	return `${(100 * part / whole).toFixed(1)}%`;
}

function formatRow({scenario, counts}: Row): string {
	const {policy, fault, usedNodes: used, rate, demand} = scenario;
	const refused = formatShare(counts.refusedEntitled, counts.entitled);
	const beyond = formatShare(counts.overshoot, counts.entitled);
	return `| ${policy} | ${fault} | ${used} | ${rate} | ${demand} | ${refused} | ${beyond} | ${(counts.messages / counts.sent).toFixed(2)} |`;
}

function isWithinBounds({scenario, counts}: Row): boolean {
	const isRefusalFine = scenario.demand > 1 || counts.refusedEntitled <= counts.entitled * maxRefusedShare;
	const isOvershootFine = scenario.fault !== 'none' || counts.overshoot <= counts.entitled * maxQuietOvershoot;
	return isRefusalFine && isOvershootFine;
}

function measureAddress(): boolean {
	process.stdout.write('\n| 100 callers behind one address, one greedy: keyed on | requests within terms | refused |\n| --- | --- | --- |\n');
	const shares = limitKeys.map(key => {
		const runs = seeds.map(seed => simulateAddress(key, seed));
		const sent = runs.reduce((sum, run) => sum + run.sent, 0);
		const refused = runs.reduce((sum, run) => sum + run.refused, 0);
		process.stdout.write(`| ${key} | ${sent} | ${formatShare(refused, sent)} |\n`);
		return refused / sent;
	});
	return shares[0]! <= maxRefusedShare;
}

/** Compares the policies; fails when the kept one breaks a bound. */
export async function measureLimits(): Promise<number> {
	const settings = faults.flatMap(fault => usedNodes.flatMap(used => rates.flatMap(rate => demands.map(demand => ({
		fault, nodes, usedNodes: used, rate, demand,
	})))));
	const rows = policies.flatMap(policy => settings.map(setting => simulateRow({policy, ...setting})));
	process.stdout.write('| policy | fault | nodes used of 8 | rate | demand | entitled refused | beyond terms | messages a request |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n');
	rows.forEach(row => {
		process.stdout.write(`${formatRow(row)}\n`);
	});
	const broken = rows.filter(row => row.scenario.policy === keptPolicy && !isWithinBounds(row));
	process.stdout.write(`bounds broken by the kept policy: ${broken.length}\n`);
	return measureAddress() && broken.length === 0 ? 0 : 1;
}
