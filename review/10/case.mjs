#!/usr/bin/env node
/** BUDGET: a rolling restart forgets which request crashes backend servers, so that it crashes more of them. */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {send} from '../lib-2/client.mjs';
import {createConfiguration, isDisrupted, runCase} from '../lib-2/run-case.mjs';

const service = 'desk';
const crashText = 'crash-the-backend';
const contactMs = 4000;
const maxRetries = 3;
const rolls = 4;
const sendsAfterRoll = 5;
const hosts = ['marmara-a', 'marmara-b', 'marmara-a', 'marmara-b'].map(zone => ({zone, region: 'marmara', service}));
const configuration = createConfiguration([service], [{
	Name: 'r-order', PathPrefix: '/order/', Kind: 'non_idempotent', TimeoutMs: 4000, TargetLatencyMs: 1000, Priority: 1, Service: service, MaxAttempts: 2,
}]);
/** The request that comes again: the same path, caller and body each time. */
const body = Buffer.from(crashText);

process.exit(await runCase(fileURLToPath(new URL('.', import.meta.url)), {hosts, configuration, backend: {crashesOn: crashText}}, async deployment => {
	deployment.hosts.forEach(host => {
		host.handleBackendExit = () => {
			setTimeout(() => deployment.startBackend(host), 2000);
		};
	});
	const ids = [];
	const others = [];
	const sendAgain = async (number = 0) => {
		// Orders of other clients, which are at work when the request arrives.
		others.push(...deployment.hosts.map(async host => send({
			to: host.outbound, method: 'POST', path: '/order/other?ms=260', body: Buffer.from(`order ${others.length}`), deadlineMs: 4000,
		})));
		await wait(100);
		const result = await send({
			to: deployment.hosts[number % deployment.hosts.length].outbound, method: 'POST', path: '/order/7', body, deadlineMs: 4000,
		});
		deployment.record('client', result);
		ids.push(result.requestId);
		await wait(600);
		if (number + 1 < sendsAfterRoll) {
			await sendAgain(number + 1);
		}
	};

	const restart = async ([host, ...others]) => {
		if (host) {
			await deployment.restartSidecar(host);
			await restart(others);
		}
	};

	const play = async number => {
		await sendAgain();
		deployment.record('crashes', {roll: number, crashes: deployment.events.filter(({event}) => event === 'crash').length});
		if (number < rolls) {
			if (isDisrupted) {
				await restart(deployment.hosts);
			}

			// All machines are in touch again.
			await wait(contactMs + 500);
			await play(number + 1);
		}
	};

	await play(0);
	const results = await Promise.all(others);
	results.forEach(result => deployment.record('other', result));
	const ranIds = new Set(deployment.events.filter(({event}) => event === 'run').map(({requestId}) => requestId));
	const crashes = deployment.events.filter(({event}) => event === 'crash');
	const thirdAt = crashes[2]?.at ?? Number.POSITIVE_INFINITY;
	const late = deployment.events.filter(({event, requestId, at}) => event === 'run' && ids.includes(requestId) && at > thirdAt + contactMs);
	return {
		isBroken: late.length > maxRetries,
		sends: ids.length,
		crashes: crashes.length,
		retriesThatReachedBackends: late.length,
		otherOrders: results.length,
		otherOrdersThatRanAndFailed: results.filter(({status, requestId}) => status !== 200 && ranIds.has(requestId)).length,
	};
}));
