#!/usr/bin/env node
/** LOST: a complete response whose body ends with the name of a protocol version never reaches its client. */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createAgent, send} from '../lib-2/client.mjs';
import {createConfiguration, isDisrupted, runCase} from '../lib-2/run-case.mjs';

const service = 'stalenkast';
const hosts = ['west-a', 'west-b', 'west-a', 'west-b'].map(zone => ({
	zone, region: 'nl-west', service, slots: 7,
}));
const configuration = createConfiguration([service], [
	{
		Name: 'r-pack', PathPrefix: '/pack/', Kind: 'download', TimeoutMs: 6000, TargetLatencyMs: 2000, Priority: 1, Service: service, MaxAttempts: 2,
	},
	{
		Name: 'r-order', PathPrefix: '/order/', Kind: 'non_idempotent', TimeoutMs: 6000, TargetLatencyMs: 3000, Priority: 0, Service: service, MaxAttempts: 2,
	},
]);
/** The last bytes of the bodies: an access log that ends without a line break, and one of the same length that ends with one. */
const end = encodeURIComponent(isDisrupted ? 'GET /swatch/17 HTTP/1.1' : 'GET /swatch/17 HTTP/1.1\n');
const bytes = 200_000;
const maxLost = 3;
const connections = 6;

/** Sends two requests on one connection: the first shows that it is kept, the second is the one that counts. */
const sendOnKeptConnection = async (deployment, host, method, path) => {
	const agent = createAgent();
	const body = method === 'POST' ? Buffer.from('order') : undefined;
	const first = await send({
		to: host.outbound, method, path: `${path}?bytes=100`, body, agent,
	});
	const second = await send({
		to: host.outbound, method, path: `${path}?bytes=${bytes}&end=${end}`, body, agent,
	});
	deployment.record('client', first);
	deployment.record('client', second);
	agent.destroy();
	return first.status === 200 && second.isReused ? [second] : [];
};

process.exit(await runCase(fileURLToPath(new URL('.', import.meta.url)), {hosts, configuration}, async deployment => {
	const answers = [];
	for (const index of Array.from({length: connections}).keys()) {
		const host = deployment.hosts[index % deployment.hosts.length];
		// eslint-disable-next-line no-await-in-loop -- one connection at a time
		answers.push(...await sendOnKeptConnection(deployment, host, 'GET', '/pack/log'), ...await sendOnKeptConnection(deployment, host, 'POST', '/order/log'));
	}

	const ranIds = new Set(deployment.events.filter(({event}) => event === 'answered').map(({requestId}) => requestId));
	const lost = answers.filter(({status, requestId}) => status === 0 && ranIds.has(requestId));
	return {
		isBroken: lost.length > maxLost,
		sent: answers.length,
		answeredByBackend: answers.filter(({requestId}) => ranIds.has(requestId)).length,
		endedWithoutAnswer: lost.length,
		ordersAmongThem: lost.filter(({method}) => method === 'POST').length,
	};
}));
