/** A process is killed while it passes on an answer without a length. */
import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import {answerWhole} from '../lib/backend.mjs';
import {
	createConfiguration, isTroubled, runCase, waitUntil,
} from '../lib/deployment.mjs';
import {formatRequest, RawClient} from '../lib/raw-client.mjs';

const partBytes = 50_000;
const parts = 20;
const partMs = 100;
const bodyBytes = partBytes * parts;
/** Requests whose answers have a length; with the one without, its share stays below one in twenty. */
const framedRequests = 40;

/** Sends a signed answer without a length, which ends with its connection. */
async function answerUnframed({id, message}, deployment) {
	const {socket} = message;
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Signature: signed\r\nConnection: close\r\n\r\n`);
	for (const part of Array.from({length: parts}).keys()) {
		socket.write(Buffer.alloc(partBytes, 'x'));
		if (part < parts - 1) {
			// eslint-disable-next-line no-await-in-loop
			await wait(partMs);
		}
	}

	socket.end();
	deployment.record(`backend: has sent all ${bodyBytes} bytes of the answer to ${id}`);
}

await runCase(new URL('.', import.meta.url), async deployment => {
	const run = context => {
		if (context.message.url.startsWith('/pack/unframed')) {
			answerUnframed(context, deployment);
		} else {
			answerWhole(context);
		}
	};

	const places = ['a', 'b', 'c', 'd', 'e'].flatMap(letter => ['desk', 'archive'].map(service => ({
		zone: `zone-${letter}`, region: 'region-a', service, run,
	})));
	await deployment.start(createConfiguration(7, ['desk', 'archive'], [{
		Name: 'r-pack', PathPrefix: '/pack/', Kind: 'download', TimeoutMs: 8000, TargetLatencyMs: 2000, Priority: 2, Service: 'archive', MaxAttempts: 2,
	}]), places);
	const [machine] = deployment.machines;
	const framed = Array.from({length: framedRequests}, (_, index) => {
		const client = new RawClient(machine.ip, deployment.outboundPort);
		client.send(formatRequest(`framed-${index}`, `/pack/${index}`, 10_000));
		return client;
	});
	await wait(1000);
	deployment.record(`clients on ${machine.name}: ${framed.filter(client => client.readAnswers().answers.length === 1).length} of ${framedRequests} requests are answered with a length`);
	framed.forEach(client => {
		client.close();
	});
	const id = 'unframed';
	const client = new RawClient(machine.ip, deployment.outboundPort, state => {
		deployment.record(`client on ${machine.name}: its connection is ${state}`);
	});
	deployment.record(`client on ${machine.name}: sends ${id}`);
	client.send(formatRequest(id, '/pack/unframed', 10_000));
	if (!await waitUntil(() => client.countBytes() > bodyBytes / 2, 10_000)) {
		throw new Error('the answer did not arrive');
	}

	if (isTroubled) {
		deployment.kill(machine);
	}

	await waitUntil(() => client.state !== 'open', 10_000);
	const {answers: [answer], partial} = client.readAnswers();
	deployment.record(answer
		? `client on ${machine.name}: a complete answer ${answer.status}, signature ${answer.headers.get('server-signature')}, ${answer.isUnframed ? 'ended by its connection' : 'framed'}, ${answer.bodyBytes} of ${bodyBytes} bytes`
		: `client on ${machine.name}: no complete answer, ${partial?.received ?? 0} bytes of a body`);
	client.close();
	return answer?.status === 200 && answer.bodyBytes !== bodyBytes
		? [`MIXED: the connection has ended in the normal way, and ${id} looks complete with ${answer.bodyBytes} of ${bodyBytes} bytes`]
		: [];
});
