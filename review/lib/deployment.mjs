/**
 * A small deployment on loopback: the store, and machines that each have a process of the project, started with the command
 * of the deploy file, and a backend. Every machine has an address of its own.
 */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Backend} from './backend.mjs';
import {Relay} from './relay.mjs';
import {Store} from './store.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));
const ports = {
	ready: 8141, store: 8142, control: 8144, app: 8145, inbound: 8146, outbound: 8147, relay: 8150, inner: 7380, metrics: 9464,
};
const maxRunMs = 115_000;
const readinessMs = 20_000;
const restartMs = 1000;
const bounds = 'SeedLagS=3,ReuseDelayS=2,ContactMs=4000,AckTimeoutMs=4000,CatchUpS=4,DrainTimeoutMs=2500,GraceS=6,LossSlackMs=200,ConfigApplyMs=2500,RollbackSlackMs=250,MaxSkewMs=5000,RetryBudgetRatio=0.2,BudgetWindowS=10,BudgetSlack=62,RecoveryS=15,ProbesPerS=3,FloorShare=0.7';

/** True unless the script is called with TROUBLE=0. */
export const isTroubled = process.env.TROUBLE !== '0';

function readCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"$/mv.exec(text).groups.command.split(' ');
}

async function isFree(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds a loopback network in which all ports of the first `count` addresses are free. */
async function findNetwork(count, attempt = 0) {
	const network = `127.${64 + Math.floor(Math.random() * 64)}.${1 + Math.floor(Math.random() * 250)}`;
	const free = await Promise.all(Array.from({length: count}, async (_, index) => Promise.all([...Object.values(ports), ports.inner + 1].map(async port => isFree(`${network}.${index + 1}`, port)))));
	if (free.flat().every(Boolean)) {
		return network;
	}

	if (attempt > 20) {
		throw new Error('no free loopback addresses');
	}

	return findNetwork(count, attempt + 1);
}

function formatSettings({name, ip, zone, region, service}, storeAddress, zones) {
	return [
		`NodeName=${name}`,
		'Role=sidecar',
		'MachineClass=sidecar',
		'Serves=sidecar',
		`Ip=${ip}`,
		`Zone=${zone}`,
		`Region=${region}`,
		...zones.map(({zone: other, region: itsRegion}) => `Zones.${other}=${itsRegion}`),
		`Listen.Inbound=${ip}:${ports.inbound}`,
		`Listen.Outbound=${ip}:${ports.outbound}`,
		`Listen.Ready=${ip}:${ports.ready}`,
		`Listen.Control=${ip}:${ports.control}`,
		`PortRange=${ports.inner},${ports.inner + 15}`,
		'Seeds=',
		'Bootstrap=true',
		'LossCounts=false',
		'Limits.CpuShare=0.54',
		'Limits.Cores=1',
		'Limits.MemoryMb=350',
		'Limits.MaxFds=4100',
		'Limits.LinkMbps=1000.0',
		'Limits.DiskMb=0',
		'Discovery=static',
		'Entry=static',
		'HeartbeatMs=1500',
		'Contracts=base,drain,config,cost,retry,recover,health,platform',
		'FaultTolerance.Machines=2',
		'FaultTolerance.Zones=0',
		'FaultTolerance.Regions=0',
		`Bounds=${bounds}`,
		`AppAddr=${ip}:${ports.app}`,
		`Service=${service}`,
		`Platform.Address=${storeAddress}`,
		'Platform.form=objects',
		'Platform.WritesPerS=400',
		'Platform.ReadsPerS=2000',
		'Platform.HistoryS=20',
		'Platform.ValueBytes=1048576',
		'Platform.TtlMinMs=1000',
		'',
	].join('\n');
}

async function isReady({ip}) {
	return new Promise(resolve => {
		const call = get({
			host: ip, port: ports.ready, path: '/-/ready', timeout: 500, agent: false,
		}, answer => {
			answer.resume();
			resolve(answer.statusCode === 200);
		});
		call.on('error', () => {
			resolve(false);
		});
		call.on('timeout', () => {
			call.destroy();
		});
	});
}

/** Polls a condition until it holds; resolves to whether it did within the time. */
export async function waitUntil(condition, boundMs, from = performance.now()) {
	if (await condition()) {
		return true;
	}

	if (performance.now() - from >= boundMs) {
		return false;
	}

	await wait(50);
	return waitUntil(condition, boundMs, from);
}

/** Creates a configuration as the operator writes it. */
export function createConfiguration(version, services, paths) {
	return {
		Version: version,
		Services: services.map(name => ({
			Name: name, HealthPath: '/healthz', MaxConnections: 390, Protocol: 'h1', Tls: false,
		})),
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 67_108_864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
		BaseVersion: version - 1,
		VirtualHosts: [{Host: 'shop.example', Paths: paths}],
	};
}

/** The machines, the store and the record of one script. */
export class Deployment {
	machines = [];
	store = new Store();
	outboundPort = ports.outbound;
	#folder = mkdtempSync(path.join(tmpdir(), 'limpetbarrow-review-'));
	#children = new Map();
	#lines = [];
	#startedAt = performance.now();
	#recordPath;
	#backends = [];
	#relays = [];
	#isClosing = false;

	constructor(recordPath) {
		this.#recordPath = recordPath;
		process.once('exit', () => {
			this.#endProcesses();
		});
	}

	/** Adds a line to the record, with the seconds since the start. */
	record(line) {
		this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} ${line}`);
	}

	getElapsedMs() {
		return performance.now() - this.#startedAt;
	}

	/**
	 * Starts the store with a configuration, a backend and a process on each machine, and waits until all are ready. With
	 * `hasStoreRelay`, every process reaches the store through a relay of its own.
	 */
	async start(configuration, places, {hasStoreRelay = false} = {}) {
		const network = await findNetwork(places.length + 1);
		const storeIp = `${network}.${places.length + 1}`;
		await this.store.listen(ports.store, storeIp);
		this.store.write('config/main', configuration);
		this.record(`operator: version ${configuration.Version} is acknowledged`);
		this.machines = places.map(({run, slots, ...place}, index) => {
			const ip = `${network}.${index + 1}`;
			const name = `sidecar-${place.zone}-${index + 1}`;
			const backend = new Backend({
				id: `i-${index + 1}`, ip, port: ports.app, controlPort: ports.control, service: place.service, zone: place.zone, slots, run, record: line => {
					this.record(line);
				},
			});
			this.#backends.push(backend);
			return {
				...place, ip, name, backend, instance: `i-${index + 1}`,
			};
		});
		await Promise.all(this.machines.map(async machine => {
			const {name, ip, backend} = machine;
			if (hasStoreRelay) {
				machine.storeRelay = new Relay({host: storeIp, port: ports.store});
				this.#relays.push(machine.storeRelay);
				await machine.storeRelay.listen(ports.relay, ip);
			}

			machine.settingsPath = path.join(this.#folder, `${name}.conf`);
			writeFileSync(machine.settingsPath, formatSettings(machine, hasStoreRelay ? `${ip}:${ports.relay}` : `${storeIp}:${ports.store}`, places));
			this.startProcess(machine);
			await backend.start();
		}));
		if (!await waitUntil(async () => {
			const ready = await Promise.all(this.machines.map(async machine => isReady(machine)));
			return ready.every(Boolean);
		}, readinessMs)) {
			throw new Error('the machines did not become ready');
		}

		// The backends have sent two heartbeats and the nodes have heard of each other.
		await wait(4000);
		this.record('all machines are ready');
	}

	/** Starts the process of a machine with the command of the deploy file. */
	startProcess({name, settingsPath}) {
		const [program, ...parameters] = readCommand();
		const log = openSync(path.join(this.#folder, `${name}.log`), 'a');
		const child = spawn(program, parameters, {cwd: root, env: {PATH: process.env.PATH, LIMPETBARROW_BOOT: settingsPath}, stdio: ['ignore', log, log]});
		this.#children.set(name, child);
		child.once('exit', (code, signal) => {
			if (!this.#isClosing) {
				this.record(`process of ${name} ended: ${code ?? signal}`);
			}
		});
	}

	/** Sends a signal to the process of a machine. */
	signal({name}, signal) {
		this.record(`${signal} to the process of ${name}`);
		this.#children.get(name).kill(signal);
	}

	/** Kills the process of a machine and starts it again a second later, as the platform does. */
	kill(machine) {
		this.signal(machine, 'SIGKILL');
		setTimeout(() => {
			if (!this.#isClosing) {
				this.record(`the process of ${machine.name} is started again`);
				this.startProcess(machine);
			}
		}, restartMs).unref();
	}

	/** Prints the log of a machine; for whoever looks for the cause. */
	readLog({name}) {
		return readFileSync(path.join(this.#folder, `${name}.log`), 'utf8');
	}

	#endProcesses() {
		[...this.#children.values()].forEach(child => {
			child.kill('SIGKILL');
		});
	}

	async close() {
		this.#isClosing = true;
		this.#endProcesses();
		this.#backends.forEach(backend => {
			backend.close();
		});
		this.#relays.forEach(relay => {
			relay.close();
		});
		this.store.close();
		writeFileSync(this.#recordPath, `${this.#lines.join('\n')}\n`);
		if (process.env.KEEP_LOGS !== '1') {
			rmSync(this.#folder, {recursive: true, force: true});
		}
	}
}

/**
 * Runs a case; `play` resolves to the list of what broke the rule. Exits with 1 if the rule was broken, 0 if it held and 2
 * if the case couldn't run.
 */
export async function runCase(folderUrl, play) {
	const deployment = new Deployment(fileURLToPath(new URL('record.txt', folderUrl)));
	const finish = async code => {
		await deployment.close();
		process.exitCode = code;
		setTimeout(() => {
			// eslint-disable-next-line unicorn/no-process-exit
			process.exit(code);
		}, 500).unref();
	};

	['SIGTERM', 'SIGINT'].forEach(signal => {
		process.once(signal, () => {
			deployment.record(`the script was ended by ${signal}`);
			finish(2);
		});
	});
	setTimeout(() => {
		deployment.record('the case took too long');
		finish(2);
	}, maxRunMs).unref();
	try {
		const breaks = await play(deployment);
		breaks.forEach(line => {
			deployment.record(`BROKEN: ${line}`);
			process.stdout.write(`BROKEN: ${line}\n`);
		});
		deployment.record(breaks.length > 0 ? 'the rule is broken' : 'the rule held');
		await finish(breaks.length > 0 ? 1 : 0);
	} catch (error) {
		deployment.record(`the case could not run: ${error.stack}`);
		process.stderr.write(`${error.stack}\n`);
		await finish(2);
	}
}
