#!/usr/bin/env node
/** GONE: uploads whose clients have closed their connections are run seconds later. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {send} from '../lib-2/client.mjs';
import {createConfiguration, isDisrupted, runCase} from '../lib-2/run-case.mjs';

const service = 'orderbank';
const slots = 7;
const hosts = ['west-a', 'west-b'].map(zone => ({
	zone, region: 'nl-west', service, slots,
}));
const objectiveMs = 3000;
const configuration = createConfiguration([service], [
	{
		Name: 'r-view', PathPrefix: '/view/', Kind: 'safe', TimeoutMs: 12_000, TargetLatencyMs: objectiveMs, Priority: 1, Service: service, MaxAttempts: 2,
	},
	{
		Name: 'r-accept', PathPrefix: '/accept/', Kind: 'non_idempotent', TimeoutMs: 12_000, TargetLatencyMs: objectiveMs, Priority: 0, Service: service, MaxAttempts: 2,
	},
]);
const uploads = 12;
const staying = 40;
/** Clients leave within half the objective; the platform's pages name that as `give_up`. */
const leaveMs = 700;
const busyMs = 2600;
const toleranceMs = 500;
/** "More than a few". */
const few = 5;
const body = Buffer.alloc(300_000, 0x61);

/** Sends an upload on a connection of its own; the client leaves by closing it. Resolves once the connection has closed. */
const upload = async (deployment, host, requestId) => new Promise(resolve => {
	let text = '';
	const socket = connect(host.outbound.port, host.outbound.host);
	const finish = event => {
		deployment.record(event, {requestId, bytesSent: socket.bytesWritten, answer: text.split('\r\n', 1)[0]});
		resolve({requestId, closedAt: event === 'left' ? Date.now() : Number.POSITIVE_INFINITY});
	};

	socket.on('error', () => undefined);
	socket.on('data', data => {
		text += data;
		if (text.includes('\r\n\r\n')) {
			socket.destroy();
			finish('answered');
		}
	});
	socket.write(`POST /accept/upload?ms=20 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: 12000\r\nContent-Length: ${body.length}\r\n\r\n`);
	socket.write(body);
	if (isDisrupted) {
		setTimeout(() => {
			if (!socket.destroyed) {
				socket.destroy();
				finish('left');
			}
		}, leaveMs);
	}
});

process.exit(await runCase(fileURLToPath(new URL('.', import.meta.url)), {hosts, configuration}, async deployment => {
	const [first, second] = deployment.hosts;
	const warmUps = await Promise.all(Array.from({length: 20}, async (_, index) => send({to: (index % 2 === 0 ? first : second).outbound, path: '/view/a?ms=20'})));
	warmUps.forEach(result => deployment.record('client', result));
	const busy = Array.from({length: slots * hosts.length}, async (_, index) => send({to: deployment.hosts[index % 2].outbound, path: `/view/long?ms=${busyMs}`, deadlineMs: 12_000}));
	await wait(200);
	const sent = Array.from({length: uploads}, async (_, index) => upload(deployment, deployment.hosts[index % 2], randomBytes(8).toString('hex')));
	const others = Array.from({length: staying}, async (_, index) => {
		await wait(index * 100);
		return send({
			to: deployment.hosts[index % 2].outbound, method: 'POST', path: '/accept/small?ms=20', body: Buffer.from('accept'), deadlineMs: 12_000,
		});
	});
	const results = await Promise.all(sent);
	const otherResults = await Promise.all([...busy, ...others]);
	otherResults.forEach(result => deployment.record('other', result));
	await wait(4000);
	const closedAt = new Map(results.map(result => [result.requestId, result.closedAt]));
	const late = deployment.events.filter(({event, requestId, at}) => event === 'run' && at - (closedAt.get(requestId) ?? Number.POSITIVE_INFINITY) > toleranceMs);
	return {
		isBroken: late.length > few,
		uploads,
		left: results.filter(result => Number.isFinite(result.closedAt)).length,
		ranAfterClose: late.length,
		msAfterClose: late.map(({requestId, at}) => at - closedAt.get(requestId)),
		others: otherResults.length,
		othersServed: otherResults.filter(({status}) => status === 200).length,
	};
}));
