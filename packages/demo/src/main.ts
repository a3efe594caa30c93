/** `npm run demo`: both workloads on a small fleet, with a backend server that fails gray and a planned stop. */
import {createHash} from 'node:crypto';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {formatAddress, groupItems, type ServerRecord} from '@limpetbarrow/core';
import {request} from 'undici';
import {stopProcess} from './child-process.js';
import {
	startFleet, stopFleet, type Fleet, type HostPlan,
} from './fleet.js';
import {
	computeTally, fetchLedger, isSound, setBackendFaults, type SentRequest, type Tally,
} from './ledger.js';
import {sendWorkload, serviceNames} from './workload.js';

const settleMs = 4000;
const requests = 4000;
const ratePerS = 200;
const grayAfterMs = 5000;
const grayFailShare = 0.7;
const stopAfterMs = 10_000;
const msPerS = 1000;
const callers = 8;
const organisation = 'demo-shop';
const secret = 'demo secret';

/** Services whose operators weigh detection time more. */
const fastServices: ReadonlySet<string> = new Set(['fitting-desk', 'catalogue']);

const hostPlans: readonly HostPlan[] = ['a', 'b', 'c', 'd'].map((name, index) => ({
	id: `node-${name}`,
	region: index < 2 ? 'marmara' : 'ege',
	failureDomain: `domain-${Math.floor(index / 2) + 1}`,
	services: serviceNames,
}));

const releaseNote = {
	id: 'demo-1',
	operator: 'demo',
	base: 0,
	added: {
		terms: [{name: 'shop', initialRate: 100, topRate: 400}],
		organisations: [{name: organisation, terms: 'shop', secretHash: createHash('sha256').update(secret).digest('hex')}],
		services: serviceNames.map(name => ({name, floor: 2, detection: fastServices.has(name) ? 'fast' : 'cautious'})),
		routes: serviceNames.map(name => ({
			name, host: '*', pathPrefix: `/${name}`, service: name,
		})),
	},
};

type GrayFault = {
	readonly serverId: string;
	/** Unix milliseconds. */
	readonly startedAt: number;
};

type ServerRow = ServerRecord & {readonly node: string};

async function applyRelease({nodes}: Fleet): Promise<void> {
	const answer = await request(`http://${formatAddress(nodes[0]!.record.adminAddress)}/releases`, {method: 'POST', body: JSON.stringify(releaseNote)});
	const text = await answer.body.text();
	if (answer.statusCode !== 200) {
		throw new Error(`release refused: ${text}`);
	}
}

async function startGrayFault({backends}: Fleet): Promise<GrayFault> {
	await wait(grayAfterMs);
	const gray = backends.find(({id}) => id === 'node-c-fitting-desk')!;
	await setBackendFaults(gray, {failShare: grayFailShare});
	return {serverId: gray.id, startedAt: Date.now()};
}

async function stopOneNode({nodes}: Fleet): Promise<number | undefined> {
	await wait(stopAfterMs);
	return stopProcess(nodes.at(-1)!.process);
}

async function fetchServers({nodes}: Fleet): Promise<readonly ServerRow[]> {
	const answer = await request(`http://${formatAddress(nodes[0]!.record.adminAddress)}/servers`);
	return await answer.body.json() as readonly ServerRow[];
}

function formatCodes(sent: readonly SentRequest[]): string {
	const failed = sent.filter(({outcome}) => outcome !== 'whole');
	return [...groupItems(failed, ({code}) => code ?? 0)].map(([code, group]) => `${code}: ${group.length}`).join(', ') || 'none';
}

function reportTally(tally: Tally, rows: ReadonlyArray<readonly [string, string | number]>): void {
	const all: ReadonlyArray<readonly [string, string | number]> = [
		['sent', tally.sent],
		['answered whole', tally.whole],
		['refused not run', tally.notRun],
		['unknown', tally.unknown],
		['run twice', tally.runTwice],
		['refused not run, but ran', tally.notRunButRan],
		['answer of another request', tally.foreignAnswers],
		['answered whole, but not run', tally.wholeButNotRun],
		...rows,
	];
	process.stdout.write(`${all.map(([name, value]) => `${name.padEnd(40)} ${value}`).join('\n')}\n`);
}

async function runDemo(): Promise<number> {
	const fleet = await startFleet(hostPlans);
	try {
		await applyRelease(fleet);
		await wait(settleMs);
		const origins = fleet.nodes.map(({record}) => `http://${formatAddress(record.ingressAddress)}`);
		const [sent, gray, stopCode] = await Promise.all([sendWorkload({
			origins, organisation, secret, callers,
		}, {requests, ratePerS, label: 'demo'}), startGrayFault(fleet), stopOneNode(fleet)]);
		const ledgers = await Promise.all(fleet.backends.map(async backend => fetchLedger(backend)));
		const ledger = ledgers.flat();
		const grayRuns = ledger.filter(({serverId, startedAt}) => serverId === gray.serverId && startedAt >= gray.startedAt);
		const servers = await fetchServers(fleet);
		const ejected = servers.filter(({state}) => state === 'ejected' || state === 'probation').map(({id}) => id);
		const falseEjections = ejected.filter(id => id !== gray.serverId).length;
		const lastGrayRun = Math.max(gray.startedAt, ...grayRuns.map(({startedAt}) => startedAt));
		const tally = computeTally(sent, ledger);
		reportTally(tally, [
			['codes of refusals', formatCodes(sent)],
			['gray server ejected', ejected.includes(gray.serverId) ? 'yes' : 'no'],
			['detection time, s', ((lastGrayRun - gray.startedAt) / msPerS).toFixed(2)],
			['requests sent to the gray server', grayRuns.length],
			['false ejections', falseEjections],
			['planned stop ended with code', String(stopCode)],
		]);
		return isSound(tally) && stopCode === 0 ? 0 : 1;
	} finally {
		await stopFleet(fleet);
	}
}

process.exitCode = await runDemo();
