/** `npm run demo`: both workloads on a small fleet. */
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {Caller, type CallerAnswer} from '@limpetbarrow/caller';
import {formatAddress} from '@limpetbarrow/core';
import {request} from 'undici';
import {
	startFleet, stopFleet, type Fleet, type HostPlan,
} from './fleet.js';

const serviceNames = ['fitting-desk', 'catalogue', 'harvest-ledger', 'fleet-desk'] as const;
const settleMs = 4000;

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
		services: serviceNames.map(name => ({name, floor: 2, detection: name === 'fitting-desk' || name === 'catalogue' ? 'fast' : 'cautious'})),
		routes: serviceNames.map(name => ({
			name, host: '*', pathPrefix: `/${name}`, service: name,
		})),
	},
};

async function applyRelease({nodes}: Fleet): Promise<void> {
	const answer = await request(`http://${formatAddress(nodes[0]!.record.adminAddress)}/releases`, {method: 'POST', body: JSON.stringify(releaseNote)});
	const text = await answer.body.text();
	if (answer.statusCode !== 200) {
		throw new Error(`release refused: ${text}`);
	}
}

async function sendWorkloads(caller: Caller): Promise<readonly CallerAnswer[]> {
	return Promise.all(Array.from({length: 200}, async (_, index) => {
		await wait(index * 5);
		const service = serviceNames[index % serviceNames.length]!;
		const isOrder = index % 3 === 0;
		return caller.send({
			method: isOrder ? 'POST' : 'GET',
			path: `/${service}/${isOrder ? 'orders' : 'fittings'}/${index}`,
			...(isOrder && {body: JSON.stringify({shoe: index})}),
			headers: {'x-request-tag': `demo-${index}`},
		}, index);
	}));
}

async function runDemo(): Promise<number> {
	const fleet = await startFleet(hostPlans);
	try {
		await applyRelease(fleet);
		await wait(settleMs);
		const caller = new Caller(fleet.nodes.map(({record}) => `http://${formatAddress(record.ingressAddress)}`));
		const answers = await sendWorkloads(caller);
		const whole = answers.filter(({ran}) => ran === 'ran').length;
		const notRun = answers.filter(({ran}) => ran === 'not-run').length;
		process.stdout.write(`sent ${answers.length}, answered whole ${whole}, refused not run ${notRun}, unknown ${answers.length - whole - notRun}\n`);
		return whole === answers.length ? 0 : 1;
	} finally {
		await stopFleet(fleet);
	}
}

process.exitCode = await runDemo();
