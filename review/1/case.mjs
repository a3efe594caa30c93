/** Uploads in chunks while the backend next to the clients is emptied: the requests go to the other machines. */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {randomBytes} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {answerWhole, hashBody} from '../lib/backend.mjs';
import {createConfiguration, isTroubled, runCase} from '../lib/deployment.mjs';

const requests = 6;
const chunkBytes = 10_000;
const chunks = 20;

await runCase(new URL('.', import.meta.url), async deployment => {
	const runs = new Map();
	const run = context => {
		runs.set(context.id, {hash: hashBody(context.body), bytes: context.body.length});
		setTimeout(() => {
			answerWhole(context);
		}, 20);
	};

	const places = ['a', 'b', 'c', 'd'].flatMap(letter => [1, 2].map(() => ({
		zone: `zone-${letter}`, region: 'region-a', service: 'desk', run,
	})));
	await deployment.start(createConfiguration(7, ['desk'], [{
		Name: 'r-order', PathPrefix: '/order/', Kind: 'non_idempotent', TimeoutMs: 4000, TargetLatencyMs: 1000, Priority: 1, Service: 'desk', MaxAttempts: 2,
	}]), places);
	const [machine] = deployment.machines;
	const send = async index => {
		const id = `upload-${String(index).padStart(4, '0')}`;
		const body = randomBytes(chunkBytes * chunks);
		deployment.record(`client on ${machine.name}: sends ${id}, body ${body.length} bytes in chunks, hash ${hashBody(body)}`);
		const answer = await new Promise(resolve => {
			const call = request({
				host: machine.ip, port: deployment.outboundPort, method: 'POST', path: `/order/${index}`, headers: {
					Host: 'shop.example', 'Request-Id': id, 'Deadline-Ms': '4000', 'Transfer-Encoding': 'chunked',
				}, agent: false,
			}, response => {
				response.resume();
				response.on('close', () => {
					resolve(response.statusCode);
				});
			});
			call.on('error', error => {
				resolve(error.code);
			});
			Array.from({length: chunks}, (_, part) => body.subarray(part * chunkBytes, (part + 1) * chunkBytes)).forEach(chunk => {
				call.write(Buffer.from(chunk));
			});
			call.end();
		});
		deployment.record(`client on ${machine.name}: ${id} is answered ${answer}`);
		return {id, hash: hashBody(body), bytes: body.length};
	};

	if (isTroubled) {
		const isAcknowledged = await machine.backend.drain();
		deployment.record(`backend ${machine.instance} reports draining, acknowledged: ${isAcknowledged}`);
	}

	const sent = [];
	for (const index of Array.from({length: requests}).keys()) {
		// One after the other, as a single client does.
		// eslint-disable-next-line no-await-in-loop
		sent.push(await send(index));
		// eslint-disable-next-line no-await-in-loop
		await wait(100);
	}

	return sent
		.filter(({id, hash}) => runs.has(id) && runs.get(id).hash !== hash)
		.map(({id, bytes}) => `UNASKED: ${id} was sent with ${bytes} bytes and run with ${runs.get(id).bytes} bytes`);
});
