/**
 * A stand-in for a backend: it runs a request once it has arrived whole, answers with the request's id and its signature,
 * refuses requests for another instance, and sends heartbeats to the node of its machine.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {createServer, request} from 'node:http';

const heartbeatMs = 1500;
const callTimeoutMs = 1000;

export function hashBody(body) {
	return createHash('sha256').update(body).digest('hex').slice(0, 16);
}

/** Sends a whole, signed answer with a length. */
export function answerWhole({id, response}, body = 'ok') {
	response.writeHead(200, {'Request-Id': id, 'Server-Signature': 'signed', 'Content-Length': Buffer.byteLength(body)});
	response.end(body);
}

export class Backend {
	#options;
	#sequence = 0;
	#state = 'ready';
	#born = Date.now();
	#timer;
	#server = createServer((message, response) => {
		this.#handle(message, response);
	});

	/** `run` is called with each request that the backend runs; it answers it. */
	constructor(options) {
		this.#options = options;
	}

	async start() {
		const {ip, port} = this.#options;
		await new Promise(resolve => {
			this.#server.listen(port, ip, resolve);
		});
		this.#timer = setInterval(() => {
			this.sendHeartbeat();
		}, heartbeatMs);
		await this.sendHeartbeat();
	}

	/** Reports that it leaves; resolves to true once that is acknowledged. */
	async drain() {
		this.#state = 'draining';
		return await this.sendHeartbeat() === 200;
	}

	async sendHeartbeat() {
		const {
			id, ip, port, controlPort, service, zone, slots = 8,
		} = this.#options;
		this.#sequence++;
		const body = JSON.stringify({
			Service: service, Address: `${ip}:${port}`, Zone: zone, Version: 'v1', Slots: slots, State: this.#state, ColdLeftMs: 0, Sequence: this.#sequence, born: this.#born,
		});
		return new Promise(resolve => {
			const call = request({
				host: ip, port: controlPort, localAddress: ip, method: 'POST', path: `/-/instances/${id}/heartbeat`, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)}, timeout: callTimeoutMs, agent: false,
			}, answer => {
				answer.resume();
				resolve(answer.statusCode);
			});
			call.on('error', () => {
				resolve(0);
			});
			call.on('timeout', () => {
				call.destroy();
			});
			call.end(body);
		});
	}

	close() {
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #handle(message, response) {
		const {id: instance, run, record} = this.#options;
		const id = String(message.headers['request-id'] ?? '');
		const expected = message.headers['expected-instance'];
		const chunks = await message.toArray().catch(() => undefined);
		if (chunks === undefined) {
			record(`backend ${instance}: request ${id} was broken off, not run`);
			return;
		}

		if (expected !== undefined && expected !== instance) {
			response.writeHead(421, {'Instance-Id': instance, 'content-length': 0});
			response.end();
			return;
		}

		const body = Buffer.concat(chunks);
		record(`backend ${instance}: runs ${id} ${message.method} ${message.url}, body ${body.length} bytes, hash ${hashBody(body)}`);
		run({
			id, instance, message, response, body,
		});
	}
}
