/** A process is told to stop while a pipelining client reads a long answer, behind which others are ready. */
import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import {answerWhole} from '../lib/backend.mjs';
import {createConfiguration, isTroubled, runCase} from '../lib/deployment.mjs';
import {formatRequest, RawClient} from '../lib/raw-client.mjs';

const partBytes = 20_000;
const parts = 62;
const partMs = 100;
const followers = 6;

await runCase(new URL('.', import.meta.url), async deployment => {
	const runs = new Set();
	const answerLong = async ({id, instance, response}) => {
		response.writeHead(200, {'Request-Id': id, 'Server-Signature': 'signed', 'Content-Length': partBytes * parts});
		for (const part of Array.from({length: parts}).keys()) {
			if (part > 0) {
				// eslint-disable-next-line no-await-in-loop
				await wait(partMs);
			}

			response.write(Buffer.alloc(partBytes, 'x'));
		}

		deployment.record(`backend ${instance}: has sent the answer to ${id}`);
		response.end();
	};

	const run = context => {
		runs.add(context.id);
		if (context.message.url.startsWith('/view/long')) {
			answerLong(context);
		} else {
			answerWhole(context);
		}
	};

	const places = ['a', 'b', 'c', 'd'].map(letter => ({
		zone: `zone-${letter}`, region: 'region-a', service: 'desk', run,
	}));
	await deployment.start(createConfiguration(7, ['desk'], [{
		Name: 'r-view', PathPrefix: '/view/', Kind: 'safe', TimeoutMs: 8000, TargetLatencyMs: 3000, Priority: 2, Service: 'desk', MaxAttempts: 2,
	}]), places);
	const [machine] = deployment.machines;
	const client = new RawClient(machine.ip, deployment.outboundPort, state => {
		deployment.record(`client on ${machine.name}: its connection is ${state}`);
	});
	const requests = [{id: 'long', path: '/view/long'}, ...Array.from({length: followers}, (_, number) => ({id: `next-${number}`, path: `/view/${number}`}))];
	deployment.record(`client on ${machine.name}: sends ${requests.map(({id}) => id).join(', ')} on one connection`);
	client.send(requests.map(({id, path}) => formatRequest(id, path, 15_000)).join(''));
	await wait(300);
	if (isTroubled) {
		deployment.signal(machine, 'SIGTERM');
	}

	await wait(7500);
	const {answers} = client.readAnswers();
	deployment.record(`client on ${machine.name}: the connection is ${client.state}; answers: ${answers.map(({status, headers}) => `${headers.get('request-id')} ${status}`).join(', ')}`);
	client.close();
	const answered = new Set(answers.map(({headers}) => headers.get('request-id')));
	const lost = client.state === 'open' ? [] : requests.slice(1).map(({id}) => id).filter(id => runs.has(id) && !answered.has(id));
	return lost.length > 0 ? [`LOST: the connection ended, and ${lost.length} requests that were passed on and run have no answer: ${lost.join(', ')}`] : [];
});
