/** `echo-servers NODE SERVICE COUNT`: backend servers for benchmarks, several in one process, each with its own port. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {request} from 'undici';

const answerBytes = 512;
const slots = 3;
const renewMs = 1000;
const body = Buffer.alloc(answerBytes, 'x');

async function listen(): Promise<number> {
	const server = createServer({noDelay: true}, (message, response) => {
		message.resume();
		message.once('end', () => {
			response.writeHead(200, {'content-type': 'text/plain', 'content-length': answerBytes});
			response.end(body);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return (server.address() as AddressInfo).port;
}

async function announce(origin: string, service: string, port: number): Promise<void> {
	const announcement = {
		id: `${service}-${port}`, service, slots, address: `127.0.0.1:${port}`, generation: 1, isLeaving: false,
	};
	const answer = await request(`${origin}/announce`, {method: 'POST', body: JSON.stringify(announcement)});
	await answer.body.dump();
}

const [origin = '', service = '', count = '1'] = process.argv.slice(2);
const ports = await Promise.all(Array.from({length: Number(count)}, async () => listen()));
await Promise.all(ports.map(async port => announce(origin, service, port)));
setInterval(() => {
	ports.forEach(port => {
		announce(origin, service, port).catch(() => undefined);
	});
}, renewMs);
process.stdout.write(`${JSON.stringify({ready: true, ports})}\n`);
