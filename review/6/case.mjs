#!/usr/bin/env node
/** LOST: a planned stop resets responses whose clients have sent further requests, while they are still being read. */
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {send} from '../lib-2/client.mjs';
import {createConfiguration, isDisrupted, runCase} from '../lib-2/run-case.mjs';

const service = 'loan-records';
const hosts = ['erie-west-a', 'erie-west-b', 'erie-west-a'].map(zone => ({
	zone, region: 'erie-west', service, slots: 8,
}));
const configuration = createConfiguration([service], [{
	Name: 'r-pdf', PathPrefix: '/pdf/', Kind: 'download', TimeoutMs: 8000, TargetLatencyMs: 2000, Priority: 1, Service: service, MaxAttempts: 2,
}]);
const clients = 6;
const bytes = 1_500_000;
/** Each client reads so much at this distance: the whole response takes less than 4 s, and the grace time is 6 s. */
const readBytes = 30_000;
const readGapMs = 50;
/** Each client sends so many further requests at this distance, the first one a moment after the stop has begun. */
const furtherRequests = 4;
const furtherGapMs = 100;
const furtherFromMs = 400;
const stopAtMs = 250;

const formatRequest = (path, requestId) => `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: 8000\r\n\r\n`;

/** Reads a large response slowly and sends further requests meanwhile. Resolves to what arrived of the first response. */
const download = async (deployment, host, number) => new Promise(resolve => {
	const requestId = `pdf${process.pid}n${number}`;
	const socket = connect(host.outbound.port, host.outbound.host);
	const startedAt = Date.now();
	let text = '';
	let received = 0;
	let error;
	const finish = () => {
		clearInterval(reading);
		clearInterval(sending);
		const headBytes = text.indexOf('\r\n\r\n') + 4;
		const bodyBytes = Math.max(0, received - headBytes);
		socket.destroy();
		const result = {
			requestId, status: text.split('\r\n', 1)[0], bodyBytes: Math.min(bytes, bodyBytes), isWhole: bodyBytes >= bytes, error, ms: Date.now() - startedAt,
		};
		deployment.record('client', result);
		resolve(result);
	};

	const reading = setInterval(() => {
		const part = socket.read(Math.min(readBytes, socket.readableLength));
		if (part) {
			received += part.length;
			text = text === '' ? part.toString('latin1').slice(0, 2000) : text;
		} else {
			socket.read(0);
		}

		if (received > bytes + 2000 || (received >= bytes && received - text.indexOf('\r\n\r\n') - 4 >= bytes)) {
			finish();
		}
	}, readGapMs);
	let sent = 0;
	const sending = setInterval(() => {
		if (sent < furtherRequests && Date.now() - startedAt >= furtherFromMs && !socket.destroyed) {
			sent++;
			socket.write(formatRequest(`/pdf/next${sent}?ms=5`, `${requestId}f${sent}`));
			deployment.record('further', {requestId: `${requestId}f${sent}`});
		}
	}, furtherGapMs);
	socket.pause();
	socket.on('error', ({code}) => {
		error = code;
	});
	socket.once('close', finish);
	socket.write(formatRequest(`/pdf/statement?ms=50&bytes=${bytes}`, requestId));
});

process.exit(await runCase(fileURLToPath(new URL('.', import.meta.url)), {hosts, configuration}, async deployment => {
	const [first] = deployment.hosts;
	const before = await Promise.all(Array.from({length: 6}, async () => send({to: first.outbound, path: '/pdf/small?ms=5'})));
	const downloads = Array.from({length: clients}, async (_, index) => download(deployment, first, index));
	await wait(stopAtMs);
	if (isDisrupted) {
		deployment.signalSidecar(first, 'SIGTERM');
	}

	const results = await Promise.all(downloads);
	const answered = new Set(deployment.events.filter(({event}) => event === 'answered').map(({requestId}) => requestId));
	const lost = results.filter(({isWhole}) => !isWhole);
	return {
		isBroken: lost.length > 0,
		servedBefore: before.filter(({status}) => status === 200).length,
		downloads: results.length,
		cutOff: lost.length,
		completedByBackend: results.filter(({requestId}) => answered.has(requestId)).length,
		bodyBytes: results.map(({bodyBytes}) => bodyBytes),
		ms: results.map(({ms}) => ms),
		errors: [...new Set(lost.map(({error}) => error))],
	};
}));
