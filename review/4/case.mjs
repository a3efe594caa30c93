/** A backend answers the first of several pipelined requests without a length. */
import {setTimeout as wait} from 'node:timers/promises';
import {answerWhole} from '../lib/backend.mjs';
import {createConfiguration, isTroubled, runCase} from '../lib/deployment.mjs';
import {formatRequest, RawClient} from '../lib/raw-client.mjs';

const workMs = 200;
const followers = 8;
const framedPerMachine = 8;

/** Sends a whole, signed answer without a length, which ends with its connection. */
function answerUnframed({id, message}) {
	message.socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Signature: signed\r\nConnection: close\r\n\r\nok`);
}

await runCase(new URL('.', import.meta.url), async deployment => {
	const runs = new Set();
	const run = context => {
		runs.add(context.id);
		setTimeout(() => {
			if (isTroubled && context.message.url.startsWith('/view/first')) {
				answerUnframed(context);
			} else {
				answerWhole(context);
			}
		}, workMs);
	};

	const places = ['a', 'b', 'c', 'd'].map(letter => ({
		zone: `zone-${letter}`, region: 'region-a', service: 'desk', run,
	}));
	await deployment.start(createConfiguration(7, ['desk'], [{
		Name: 'r-view', PathPrefix: '/view/', Kind: 'safe', TimeoutMs: 3000, TargetLatencyMs: 2500, Priority: 2, Service: 'desk', MaxAttempts: 2,
	}]), places);
	const [machine] = deployment.machines;
	// Requests whose answers have a length; with the one without, its share stays below one in twenty.
	const others = deployment.machines.flatMap(({ip}, index) => Array.from({length: framedPerMachine}, (_, number) => {
		const client = new RawClient(ip, deployment.outboundPort);
		client.send(formatRequest(`other-${index}-${number}`, `/view/other/${number}`, 8000));
		return client;
	}));
	const client = new RawClient(machine.ip, deployment.outboundPort, state => {
		deployment.record(`client on ${machine.name}: its connection is ${state}`);
	});
	client.send(formatRequest('before', '/view/before', 8000));
	await wait(1500);
	deployment.record(`${others.filter(other => other.readAnswers().answers.length === 1).length} of ${others.length} other requests are answered with a length`);
	others.forEach(other => {
		other.close();
	});
	const requests = [{id: 'first', path: '/view/first'}, ...Array.from({length: followers}, (_, number) => ({id: `next-${number}`, path: `/view/${number}`}))];
	deployment.record(`client on ${machine.name}: sends ${requests.map(({id}) => id).join(', ')} on its kept connection`);
	client.send(requests.map(({id, path}) => formatRequest(id, path, 8000)).join(''));
	await wait(3500);
	const {answers} = client.readAnswers();
	deployment.record(`client on ${machine.name}: the connection is ${client.state}; answers: ${answers.map(({status, headers, isUnframed}) => `${headers.get('request-id')} ${status}${isUnframed ? ' without a length' : ''}`).join(', ')}`);
	client.close();
	const answered = new Set(answers.map(({headers}) => headers.get('request-id')));
	const lost = client.state === 'open' ? [] : requests.map(({id}) => id).filter(id => runs.has(id) && !answered.has(id));
	return lost.length > 3 ? [`LOST: ${lost.length} requests were passed on to sound backends and their connection closed without an answer: ${lost.join(', ')}`] : [];
});
