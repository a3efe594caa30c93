/** Latency that one and two nodes add to a request, beside the same backend servers called directly, in one run. */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	startProcess, startScript, stopProcess, type StartedProcess,
} from '@limpetbarrow/demo';
import {formatAddress, type NodeRecord} from '@limpetbarrow/core';
import {request} from 'undici';
import {measureOpenLoop, type LoadPath, type LoadResult} from './open-loop.js';

const serversPerNode = 16;
const ratesPerS = [50, 150, 300, 600] as const;
const shareOfNodePerS = 150;
const targetAddedMs = 2.7;
const warmUpMs = 4000;
const runMs = 10_000;
const settleMs = 2500;
const usPerMs = 1000;
const echoScript = fileURLToPath(new URL('echo-servers.js', import.meta.url));
const quantiles = [50, 99, 99.9] as const;

type BenchNode = {
	readonly process: StartedProcess;
	readonly record: NodeRecord;
	readonly echoes: StartedProcess;
	readonly echoPorts: readonly number[];
};

async function startBenchNode(name: string, platform: string, seeds: string): Promise<BenchNode> {
	const child = await startProcess([
		'node',
		'--id',
		name,
		'--region',
		'marmara',
		'--failure-domain',
		`marmara-${name}`,
		'--platform',
		platform,
		'--seeds',
		seeds,
		'--log-level',
		'error',
		...['ingress', 'admin', 'link', 'gossip'].flatMap(flag => [`--${flag}`, '127.0.0.1:0']),
	]);
	const {record} = child.ready as {readonly record: NodeRecord};
	const echoes = await startScript(echoScript, [`http://${formatAddress(record.adminAddress)}`, `service-${name}`, String(serversPerNode)]);
	return {
		process: child, record, echoes, echoPorts: (echoes.ready as {readonly ports: readonly number[]}).ports,
	};
}

async function applyBenchRelease({record}: BenchNode): Promise<void> {
	const names = ['service-a', 'service-b'];
	const note = {
		id: 'bench', operator: 'bench', base: 0, added: {services: names.map(name => ({name})), routes: names.map(name => ({name, pathPrefix: `/${name}`, service: name}))},
	};
	const answer = await request(`http://${formatAddress(record.adminAddress)}/releases`, {method: 'POST', body: JSON.stringify(note)});
	await answer.body.dump();
}

async function readCpuUs({record}: BenchNode): Promise<number> {
	const answer = await request(`http://${formatAddress(record.adminAddress)}/metrics`);
	const text = await answer.body.text();
	return [...text.matchAll(/_process_cpu_\w+ (?<value>\d+)/gv)].reduce((sum, match) => sum + Number(match.groups!.value), 0);
}

function createPaths(a: BenchNode, b: BenchNode): readonly LoadPath[] {
	const ingressA = `http://${formatAddress(a.record.ingressAddress)}`;
	const ingressB = `http://${formatAddress(b.record.ingressAddress)}`;
	return [
		{name: 'direct', origin: `http://127.0.0.1:${a.echoPorts[0]}`, path: '/service-a/x'},
		{name: 'one node', origin: ingressA, path: '/service-a/x'},
		{name: 'two nodes', origin: ingressA, path: '/service-b/x'},
		{name: 'two nodes, back', origin: ingressB, path: '/service-a/x'},
	];
}

function getQuantileMs({histogram}: LoadResult, quantile: number): number {
	return histogram.getValueAtPercentile(quantile) / usPerMs;
}

function formatRow(rate: number, result: LoadResult, direct: LoadResult): string {
	const own = quantiles.map(quantile => getQuantileMs(result, quantile).toFixed(2).padStart(8));
	const added = quantiles.map(quantile => (getQuantileMs(result, quantile) - getQuantileMs(direct, quantile)).toFixed(2).padStart(8));
	return `${String(rate).padStart(6)} ${result.name.padEnd(16)} ${own.join('')}   ${added.join('')} ${String(result.failed).padStart(7)}`;
}

/** True when both two-node paths add no more than the target at p99. */
function isWithinTarget(results: readonly LoadResult[]): boolean {
	const [direct, , ...twoNodes] = results;
	return twoNodes.every(result => result.failed === 0 && getQuantileMs(result, 99) - getQuantileMs(direct!, 99) <= targetAddedMs);
}

async function measureRate(a: BenchNode, b: BenchNode, rate: number): Promise<boolean> {
	const cpuBefore = await readCpuUs(a) + await readCpuUs(b);
	const results = await measureOpenLoop(createPaths(a, b), rate, runMs);
	const cpuUs = await readCpuUs(a) + await readCpuUs(b) - cpuBefore;
	const carried = results.slice(1).reduce((sum, {histogram}) => sum + histogram.totalCount, 0);
	results.forEach(result => {
		process.stdout.write(`${formatRow(rate, result, results[0]!)}\n`);
	});
	process.stdout.write(`       processor time of both nodes per request: ${Math.round(cpuUs / carried)} us\n`);
	return isWithinTarget(results);
}

async function measureRates(a: BenchNode, b: BenchNode): Promise<ReadonlyMap<number, boolean>> {
	return ratesPerS.reduce<Promise<ReadonlyMap<number, boolean>>>(async (earlier, rate) => {
		const verdicts = await earlier;
		return new Map([...verdicts, [rate, await measureRate(a, b, rate)]]);
	}, Promise.resolve(new Map()));
}

/** Resolves to 0 when the share of one node stays within the target. */
export async function measureLatency(): Promise<number> {
	const platform = await startProcess(['stand-in-platform']);
	const platformUrl = `http://${formatAddress((platform.ready as {readonly address: {readonly host: string; readonly port: number}}).address)}`;
	const a = await startBenchNode('a', platformUrl, '');
	const b = await startBenchNode('b', platformUrl, formatAddress(a.record.gossipAddress));
	try {
		await applyBenchRelease(a);
		await new Promise(resolve => {
			setTimeout(resolve, settleMs);
		});
		await measureOpenLoop(createPaths(a, b), shareOfNodePerS, warmUpMs);
		process.stdout.write('rate/s path              p50 ms  p99 ms p99.9 ms   added p50  p99   p99.9  failed\n');
		const verdicts = await measureRates(a, b);
		const highest = [...verdicts].filter(([, isWithin]) => isWithin).map(([rate]) => rate).at(-1);
		process.stdout.write(`target: ${targetAddedMs} ms added at p99; highest rate per path that meets it: ${highest ?? 'none'}\n`);
		return verdicts.get(shareOfNodePerS) ? 0 : 1;
	} finally {
		await Promise.all([a.echoes, b.echoes, a.process, b.process, platform].map(async child => stopProcess(child, 'SIGKILL')));
	}
}
