/**
 * Runs a typical workload for some seconds with two nodes in one process during the build, so that the code cache next to the
 * bundle also holds the functions of the request path. On a small host a process serves only a few hundred requests in its
 * lifetime; without this cache it would spend most of its CPU time on compiling the functions that they need.
 */
import {Buffer} from 'node:buffer';
import {
	Agent, createServer, request,
} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';

const hosts = ['127.0.0.1', '127.0.0.2'];
const rounds = 120;
const requestsPerRound = 4;
const readyBoundMs = 5000;
const largeBody = Buffer.alloc(90_000, 'x');
const agent = new Agent({keepAlive: true});

async function listen(server, host) {
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return server.address().port;
}

async function pickPort(host) {
	const server = createServer();
	const port = await listen(server, host);
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

async function send(host, port, path, {method = 'GET', headers = {}, body} = {}) {
	return new Promise(resolve => {
		const message = request({
			host, port, path, method, headers, agent, localAddress: host,
		}, response => {
			response.on('error', () => {
				resolve(0);
			});
			response.resume().on('end', () => {
				resolve(response.statusCode);
			});
		});
		message.on('error', () => {
			resolve(0);
		});
		message.end(body);
	});
}

function createConfiguration(version) {
	return {
		Version: version,
		Services: [{Name: 'desk', HealthPath: '/healthz', MaxConnections: 300}],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 1_048_576, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
		VirtualHosts: [{
			Host: 'shop.example',
			Paths: [
				{
					Name: 'r-read', PathPrefix: '/read/', Kind: 'safe', TimeoutMs: 2000, TargetLatencyMs: 500, Priority: 2, MaxAttempts: 2, WeightedServices: [{Service: 'desk', Weight: 9}, {Service: 'desk', Weight: 1}],
				},
				{
					Name: 'r-order', PathPrefix: '/order/', Kind: 'non_idempotent', TimeoutMs: 2000, TargetLatencyMs: 500, Priority: 1, MaxAttempts: 2, Service: 'desk',
				},
			],
		}],
	};
}

/** Implements the parts of the store's object API that a node uses. */
class RehearsalStore {
	#objects = new Map([['config/main', {rev: 1, spec: createConfiguration(1)}]]);
	#rev = 1;
	#waiting = [];
	#server = createServer(async (message, response) => {
		const chunks = await message.toArray();
		const url = new URL(message.url, 'http://store');
		const [kind, name] = url.pathname.replace('/-/objects/', '').split('/');
		const {status, body} = await this.#answer(message.method, {kind, name, query: url.searchParams}, chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : undefined);
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	});

	async listen() {
		return listen(this.#server, hosts[0]);
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	write(key, spec) {
		this.#rev++;
		this.#objects.set(key, {rev: this.#rev, spec});
		this.#waiting.forEach(resolve => {
			resolve();
		});
		this.#waiting = [];
	}

	#format(key) {
		const {rev, spec} = this.#objects.get(key);
		return {Metadata: {Name: key.slice(key.indexOf('/') + 1), Rev: rev}, Spec: spec, Status: null};
	}

	#list(kind, after) {
		return [...this.#objects].filter(([key, {rev}]) => key.startsWith(`${kind}/`) && rev > after).map(([key]) => this.#format(key));
	}

	async #answer(method, {kind, name, query}, sent) {
		if (method === 'GET' && query.has('Watch')) {
			await this.#waitForChange(kind, Number(query.get('Watch')), Number(query.get('WaitMs')));
			return {status: 200, body: {events: this.#list(kind, Number(query.get('Watch'))).map(object => ({Object: object, Removed: false})), At: this.#rev}};
		}

		if (method === 'GET' && name === undefined) {
			return {status: 200, body: {items: this.#list(kind, 0), HasMore: false, At: this.#rev}};
		}

		const key = `${kind}/${name ?? sent.Metadata.Name}`;
		const isWrite = method === 'PUT' || (method === 'POST' && !this.#objects.has(key));
		if (isWrite) {
			this.write(key, sent.Spec);
		}

		return {status: method === 'POST' && !isWrite ? 409 : 200, body: this.#format(key)};
	}

	async #waitForChange(kind, from, waitMs) {
		if (this.#list(kind, from).length === 0) {
			await Promise.race([wait(waitMs, undefined, {ref: false}), new Promise(resolve => {
				this.#waiting.push(resolve);
			})]);
		}
	}
}

/** Answers as a backend server: normally, or with a fault chosen by the number of the request. */
function answerRequest(message, response, number) {
	const headers = {'Request-Id': message.headers['request-id'] ?? '', 'Server-Signature': 's'};
	const kind = number % 40;
	switch (kind) {
		case 7: {
			response.writeHead(500, headers).end('failed');

			break;
		}

		case 13: {
			response.writeHead(503, {'Not-Executed': '1'}).end();

			break;
		}

		case 19: {
			message.socket.resetAndDestroy();

			break;
		}

		case 23: {
			setTimeout(() => {
				response.writeHead(200, headers).end('late');
			}, 700);

			break;
		}

		case 29: {
			response.writeHead(200, headers).end(largeBody);

			break;
		}

		default: {
			setTimeout(() => {
				response.writeHead(200, {...headers, 'content-length': 5}).end('whole');
			}, 5);
		}
	}
}

/** One host with a backend server and its node. */
class RehearsalHost {
	#program;
	#id;
	#host;
	#settings;
	#node;
	#sequence = 0;
	#runs = 0;
	#server = createServer((message, response) => {
		this.#runs++;
		message.resume();
		answerRequest(message, response, this.#runs);
	});

	constructor(program, host, index) {
		this.#program = program;
		this.#host = host;
		this.#id = `rehearsal-${index}`;
	}

	async start(storePort) {
		const host = this.#host;
		const appPort = await listen(this.#server, host);
		const ports = await Promise.all(Array.from({length: 6}, async () => pickPort(host)));
		const [ingress, readiness, announcements, metrics, link, gossip] = ports.map(port => ({host, port}));
		const text = [
			`NodeName=${this.#id}`,
			`Ip=${host}`,
			'Zone=zone-a',
			'Region=region',
			'Service=desk',
			`AppAddr=${host}:${appPort}`,
			'HeartbeatMs=1500',
			`Listen.Outbound=${host}:${ingress.port}`,
			`Listen.Ready=${host}:${readiness.port}`,
			`Listen.Control=${host}:${announcements.port}`,
			`PortRange=${link.port},${link.port}`,
			`Platform.Address=${hosts[0]}:${storePort}`,
			'Bounds=GraceS=6,RetryBudgetRatio=0.2,BudgetWindowS=10,BudgetSlack=60',
		].join('\n');
		this.#settings = {
			...this.#program.parsePlatformSettings(text).unsafeCoerce(), link, gossip, metrics, lameDuckMs: 50,
		};
		this.#node = await this.#program.startSidecar(this.#settings);
		await this.announce('ready');
	}

	async announce(state) {
		this.#sequence++;
		const {announcements, serverAddress} = this.#settings;
		return send(this.#host, announcements.port, `/-/instances/i-${this.#id}/heartbeat`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({
				Service: 'desk', Address: `${this.#host}:${serverAddress.port}`, Zone: 'zone-a', Version: 'v1', Slots: 3, State: state, ColdLeftMs: 0, Sequence: this.#sequence, born: 1,
			}),
		});
	}

	/** Returns true when the node is ready and has discovered the other one. */
	async isReady() {
		return await send(this.#host, this.#settings.readiness.port, '/-/ready') === 200 && this.#node.listLiveIds().length === hosts.length;
	}

	async readMetrics() {
		return send(this.#host, this.#settings.metrics.port, '/metrics');
	}

	async call(number) {
		const isOrder = number % 2 === 0;
		const body = isOrder ? 'an order of one pair' : undefined;
		return send(this.#host, this.#settings.ingress.port, isOrder ? `/order/${number}` : `/read/${number}?x=1`, {
			method: isOrder ? 'POST' : 'GET',
			headers: {
				host: 'shop.example', 'Request-Id': `rehearsal${number}`, 'Deadline-Ms': '1500', ...(isOrder && number % 4 === 0 ? {'transfer-encoding': 'chunked'} : {}),
			},
			body,
		});
	}

	async stop() {
		await this.#node.stop();
		this.#server.closeAllConnections();
		this.#server.close();
	}
}

async function waitUntilReady(all, boundMs) {
	const ready = await Promise.all(all.map(async host => host.isReady()));
	if (!ready.every(Boolean) && boundMs > 0) {
		await wait(50);
		await waitUntilReady(all, boundMs - 50);
	}
}

/** Exercises the program's request path, configuration changes, draining and planned stop. */
export async function rehearse(program) {
	const store = new RehearsalStore();
	const storePort = await store.listen();
	const all = hosts.map((host, index) => new RehearsalHost(program, host, index));
	await Promise.all(all.map(async host => host.start(storePort)));
	await waitUntilReady(all, readyBoundMs);
	const beats = setInterval(async () => {
		await Promise.all(all.map(async host => host.announce('ready')));
	}, 500);
	await Array.from({length: rounds}).reduce(async (before, _, round) => {
		await before;
		await Promise.all(all.flatMap((host, index) => Array.from({length: requestsPerRound}, async (_value, position) => host.call((((round * requestsPerRound) + position) * 2) + index))));
		if (round % 40 === 20) {
			store.write('config/main', createConfiguration(round));
		}
	}, Promise.resolve());
	clearInterval(beats);
	await Promise.all(all.map(async host => host.readMetrics()));
	await all[0].announce('draining');
	await Promise.all(Array.from({length: requestsPerRound}, async (_, position) => all[1].call(position)));
	await Promise.all(all.map(async host => host.stop()));
	agent.destroy();
	store.close();
}
