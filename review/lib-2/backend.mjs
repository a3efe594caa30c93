#!/usr/bin/env node
/**
 * A backend server as the users' pages describe it: one process that runs `slots` requests at a time and queues a few more,
 * checks `Expected-Instance`, echoes `Request-Id`, signs its responses and sends heartbeats. It prints one JSON line for each
 * request that it begins to run, finishes or drops.
 *
 * The query of a request says what it costs: `ms` is the work, `bytes` the size of the body, `end` text at the end of the body,
 * `calls` the number of its calls, each after `every` ms. It fails if a call fails. With the setting `keepsWork` it goes on with
 * a request whose connection has closed, as some backend servers do.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {createServer, request} from 'node:http';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';

const settings = JSON.parse(process.argv[2]);
const {id, service, zone, host, port, control, slots, heartbeatMs} = settings;
const maxQueued = 24;
const born = Date.now();
const waiting = [];
let sequence = 0;
let running = 0;

const print = event => {
	process.stdout.write(`${JSON.stringify({at: Date.now(), id, ...event})}\n`);
};

const say = verb => {
	const [controlHost, controlPort] = control.split(':');
	const body = JSON.stringify({
		Service: service, Address: `${host}:${port}`, Zone: zone, Version: 'v1', Slots: slots, State: 'ready', ColdLeftMs: 0, Sequence: ++sequence, born,
	});
	const call = request({
		host: controlHost,
		port: controlPort,
		localAddress: host,
		method: 'POST',
		path: `/-/instances/${id}/${verb}`,
		headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
		timeout: 1000,
	}, response => {
		response.resume();
	});
	call.on('error', () => undefined);
	call.end(body);
};

const reject = (response, requestId, status) => {
	response.writeHead(status, {
		'request-id': requestId, 'not-executed': '1', 'instance-id': id, 'content-length': 0,
	});
	response.end();
};

const finish = () => {
	running--;
	waiting.shift()?.();
};

/** Sends one call of this backend server through its own host; resolves to the status, 0 without a complete answer. */
const call = async ({path, callId, deadlineMs}) => new Promise(resolve => {
	const attempt = request({
		host, port: settings.outboundPort, localAddress: host, path, headers: {host: 'shop.example', 'request-id': callId, 'deadline-ms': String(deadlineMs)},
	}, response => {
		response.resume();
		response.once('close', () => {
			resolve(response.complete ? response.statusCode : 0);
		});
	});
	attempt.on('error', () => {
		resolve(0);
	});
	attempt.end();
});

/** Makes the calls that a request needs, one after another; resolves to the first status that is no success, else 200. */
const makeCalls = async (url, requestId, endsAt, number = 0) => {
	if (number >= Number(url.searchParams.get('calls') ?? 0)) {
		return 200;
	}

	await wait(Number(url.searchParams.get('every') ?? 0));
	const callId = settings.areCallIdsOwn ? randomBytes(8).toString('hex') : `${requestId}.${number}`;
	const status = await call({path: '/inner/box', callId, deadlineMs: Math.max(1, endsAt - Date.now())});
	print({
		event: 'call', requestId, callId, status,
	});
	return status === 200 ? makeCalls(url, requestId, endsAt, number + 1) : status;
};

const createContent = url => {
	const bytes = Number(url.searchParams.get('bytes') ?? 16);
	const end = url.searchParams.get('end') ?? '';
	return Buffer.concat([Buffer.alloc(Math.max(0, bytes - end.length), 0x61), Buffer.from(end)]);
};

const run = async ({url, requestId, deadlineMs, body, response}) => {
	if (response.destroyed) {
		waiting.shift()?.();
		return;
	}

	running++;
	print({event: 'run', requestId, path: url.pathname});
	if (settings.crashesOn !== undefined && body.includes(settings.crashesOn)) {
		print({event: 'crash', requestId});
		process.exit(70);
	}

	const isOver = () => response.closed && !settings.keepsWork;
	const end = () => {
		print({event: response.writableFinished ? 'answered' : 'dropped', requestId});
		finish();
	};

	response.once('close', () => {
		if (!settings.keepsWork) {
			end();
		}
	});
	const status = await makeCalls(url, requestId, Date.now() + deadlineMs);
	await wait(Number(url.searchParams.get('ms') ?? 20));
	if (isOver()) {
		return;
	}

	const content = createContent(url);
	response.writeHead(status === 200 ? 200 : 500, {'request-id': requestId, 'server-signature': `${id}.${content.length}`, 'content-length': content.length});
	response.end(content);
	if (settings.keepsWork) {
		end();
	}
};

const server = createServer(async (message, response) => {
	const requestId = String(message.headers['request-id'] ?? '');
	const url = new URL(message.url, 'http://backend');
	const parts = [];
	message.on('error', () => undefined);
	try {
		for await (const part of message) {
			parts.push(part);
		}
	} catch {
		return;
	}

	if (url.pathname === '/healthz') {
		response.writeHead(200, {'instance-id': id, 'content-length': 0});
		response.end();
	} else if (requestId === '') {
		reject(response, requestId, 400);
	} else if (message.headers['expected-instance'] !== undefined && message.headers['expected-instance'] !== id) {
		reject(response, requestId, 421);
	} else if (running >= slots && waiting.length >= maxQueued) {
		reject(response, requestId, 503);
	} else {
		const job = {
			url, requestId, deadlineMs: Number(message.headers['deadline-ms'] ?? 0), body: Buffer.concat(parts), response,
		};
		if (running < slots) {
			run(job);
		} else {
			waiting.push(() => {
				run(job);
			});
		}
	}
});
server.keepAliveTimeout = 10_000;
server.listen(port, host, () => {
	print({event: 'started'});
	say('heartbeat');
	setInterval(() => {
		say('heartbeat');
	}, heartbeatMs);
});
