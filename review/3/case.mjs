/**
 * The process that passes on a large answer is killed, while that answer waits behind an earlier one on the connection of a
 * client that pipelines. The client is on another machine.
 */
import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import {answerWhole} from '../lib/backend.mjs';
import {
	createConfiguration, isTroubled, runCase, waitUntil,
} from '../lib/deployment.mjs';
import {formatRequest, RawClient} from '../lib/raw-client.mjs';

const timeoutMs = 3000;
const graceMs = 500;
const deadlineMs = 8000;
const slowMs = 1500;
const partBytes = 20_000;
const parts = 10;
const partMs = 100;
const partsBeforeKill = 5;
const followers = 10;

await runCase(new URL('.', import.meta.url), async deployment => {
	/** Machine and number of parts of the large answer that has begun. */
	const large = {machine: undefined, sentParts: 0};
	const answerLarge = async ({id, instance, response}) => {
		large.machine = deployment.machines.find(machine => machine.instance === instance);
		response.writeHead(200, {'Request-Id': id, 'Server-Signature': 'signed', 'Content-Length': partBytes * parts});
		while (large.sentParts < parts && !response.destroyed) {
			response.write(Buffer.alloc(partBytes, 'x'));
			large.sentParts++;
			// eslint-disable-next-line no-await-in-loop
			await wait(partMs);
		}

		deployment.record(`backend ${instance}: has sent ${large.sentParts} of ${parts} parts of the answer to ${id}`);
		response.end();
	};

	const run = context => {
		if (context.message.url.startsWith('/pack/')) {
			answerLarge(context);
		} else if (context.message.url.startsWith('/view/slow')) {
			setTimeout(() => {
				answerWhole(context);
			}, slowMs);
		} else {
			answerWhole(context);
		}
	};

	const places = ['a', 'b', 'c'].flatMap(letter => ['desk', 'archive'].map(service => ({
		zone: `zone-${letter}`, region: 'region-a', service, run,
	})));
	const route = {
		Kind: 'safe', TimeoutMs: timeoutMs, TargetLatencyMs: 2500, Priority: 2, MaxAttempts: 2,
	};
	await deployment.start(createConfiguration(7, ['desk', 'archive'], [{
		...route, Name: 'r-view', PathPrefix: '/view/', Service: 'desk',
	}, {
		...route, Name: 'r-pack', PathPrefix: '/pack/', Service: 'archive',
	}]), places);
	const [machine] = deployment.machines;
	const client = new RawClient(machine.ip, deployment.outboundPort, state => {
		deployment.record(`client on ${machine.name}: its connection is ${state}`);
	});
	const requests = [{id: 'slow', path: '/view/slow'}, {id: 'large', path: '/pack/large'}, ...Array.from({length: followers}, (_, number) => ({id: `next-${number}`, path: `/view/${number}`}))];
	deployment.record(`client on ${machine.name}: sends ${requests.map(({id}) => id).join(', ')} on one connection`);
	client.send(requests.map(({id, path}) => formatRequest(id, path, deadlineMs)).join(''));
	const sentAt = performance.now();
	const listOpen = () => client.state === 'open' ? requests.slice(client.readAnswers().answers.length).map(({id}) => id) : [];
	if (!await waitUntil(() => large.sentParts >= partsBeforeKill, 1000)) {
		throw new Error('the large answer did not begin in time');
	}

	if (isTroubled) {
		deployment.kill(large.machine);
	}

	await wait(sentAt + timeoutMs - performance.now());
	const openAtTimeout = listOpen();
	await wait(graceMs);
	const openLater = listOpen();
	const {answers, partial} = client.readAnswers();
	deployment.record(`client on ${machine.name}: ${graceMs} ms after the timeout the connection is ${client.state}; answers: ${answers.map(({headers, status}) => `${headers.get('request-id')} ${status}`).join(', ')}; ${partial?.received ?? 0} bytes of another body`);
	await wait(sentAt + deadlineMs - 200 - performance.now());
	deployment.record(`client on ${machine.name}: just before the deadline the connection is ${client.state}, without an answer are ${listOpen().join(', ')}`);
	client.close();
	return openLater.length >= 8 && openLater.length > openAtTimeout.length / 2
		? [`CONFIG: of ${openAtTimeout.length} requests that are unanswered at their route's timeout, ${openLater.length} have no answer ${graceMs} ms later: ${openLater.join(', ')}`]
		: [];
});
