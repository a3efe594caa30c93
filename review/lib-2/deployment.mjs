/** A small deployment on loopback addresses: the store, sidecars as the deploy file runs them, and a backend server beside each. */
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Relay} from './relay.mjs';
import {Store} from './store.mjs';

const repository = fileURLToPath(new URL('../..', import.meta.url));
const bounds = [
	'SeedLagS=3',
	'ReuseDelayS=2',
	'ContactMs=4000',
	'AckTimeoutMs=4000',
	'CatchUpS=4',
	'DrainTimeoutMs=2500',
	'GraceS=6',
	'LossSlackMs=200',
	'ConfigApplyMs=2500',
	'RollbackSlackMs=250',
	'MaxSkewMs=5000',
	'RetryBudgetRatio=0.2',
	'BudgetWindowS=10',
	'BudgetSlack=62',
	'RecoveryS=15',
	'ProbesPerS=3',
	'FloorShare=0.7',
].join(',');
const ports = {
	store: 8142, inbound: 8146, outbound: 8147, ready: 8141, control: 8144, app: 8145, firstPeer: 7380, relay: 7390, lastPeer: 7395, metrics: 9464,
};

const isFree = async (host, port) => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => resolve(false));
	server.listen(port, host, () => {
		server.close(() => resolve(true));
	});
});

/** Picks a network of loopback addresses on which the ports of all hosts are free. */
const pickNetwork = async hosts => {
	const network = `127.${64 + Math.floor(Math.random() * 180)}.${Math.floor(Math.random() * 250)}`;
	const checks = Array.from({length: hosts + 1}, (_, index) => Object.values(ports).map(port => isFree(`${network}.${index + 1}`, port))).flat();
	const results = await Promise.all(checks);
	return results.every(Boolean) ? network : pickNetwork(hosts);
};

const readRunLine = () => /^run = "(?<run>.*)"$/mv.exec(readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8')).groups.run.split(' ');

export class Deployment {
	/** Starts the store, then all sidecars and backend servers. `hosts` lists `{zone, region, service, slots}`. */
	static async start({hosts, configuration, recordPath, backend = {}, extraBounds = '', hasRelays = false}) {
		const deployment = new Deployment(recordPath, await pickNetwork(hosts.length), extraBounds);
		deployment.#hasRelays = hasRelays;
		await deployment.#start(hosts, configuration, backend);
		return deployment;
	}

	store = new Store();
	hosts = [];
	#recordPath;
	#bounds;
	#hasRelays = false;
	#network;
	#folder = mkdtempSync(path.join(tmpdir(), 'limpetbarrow-review-'));
	#children = new Set();
	#startedAt = Date.now();
	#isClosed = false;
	/** Events that backend servers printed. */
	events = [];

	constructor(recordPath, network, extraBounds) {
		this.#bounds = `${bounds}${extraBounds}`;
		this.#recordPath = recordPath;
		this.#network = network;
		writeFileSync(recordPath, '');
		process.once('exit', () => this.close());
		['SIGINT', 'SIGTERM'].forEach(signal => process.once(signal, () => process.exit(2)));
	}

	/** Writes a line to the record. */
	record(kind, fields) {
		appendFileSync(this.#recordPath, `${((Date.now() - this.#startedAt) / 1000).toFixed(3)} ${kind} ${JSON.stringify(fields)}\n`);
	}

	/** Sends a signal to the sidecar of a host. */
	signalSidecar(host, signal) {
		this.record('signal', {node: host.name, signal});
		host.sidecar.kill(signal);
	}

	/** Stops a sidecar by SIGTERM, by SIGKILL after the grace time, and starts it again. */
	async restartSidecar(host) {
		const exit = new Promise(resolve => {
			host.sidecar.once('exit', resolve);
		});
		this.signalSidecar(host, 'SIGTERM');
		const timer = setTimeout(() => this.signalSidecar(host, 'SIGKILL'), 6000);
		await exit;
		clearTimeout(timer);
		this.#startSidecar(host);
		await this.waitUntilReady([host]);
	}

	/** Starts the sidecar of a host again after it was killed. */
	async restartOnly(host) {
		this.#startSidecar(host);
		await this.waitUntilReady([host]);
	}

	/** Starts a backend server beside a sidecar, as a new run with an id of its own. */
	startBackend(host, changes = {}) {
		if (this.#isClosed) {
			return;
		}

		host.backendSettings = {...host.backendSettings, id: `i-${Math.random().toString(16).slice(2, 12)}`, ...changes};
		const child = this.#spawn(process.execPath, [fileURLToPath(new URL('backend.mjs', import.meta.url)), JSON.stringify(host.backendSettings)], {});
		host.backend = child;
		createInterface({input: child.stdout}).on('line', line => {
			const event = JSON.parse(line);
			this.events.push(event);
			this.record('backend', event);
		});
		child.once('exit', code => {
			if (!this.#isClosed) {
				this.record('backendExit', {id: host.backendSettings.id, code});
				host.handleBackendExit?.(code);
			}
		});
	}

	async waitUntilReady(hosts = this.hosts) {
		const results = await Promise.all(hosts.map(async ({ip}) => {
			try {
				const response = await fetch(`http://${ip}:${ports.ready}/-/ready`);
				return response.status === 200;
			} catch {
				return false;
			}
		}));
		if (!results.every(Boolean)) {
			await wait(100);
			await this.waitUntilReady(hosts);
		}
	}

	/** Ends all processes that were started. */
	close() {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#children.forEach(child => child.kill('SIGKILL'));
		this.hosts.forEach(host => host.relay?.close());
		this.store.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}

	async #start(hosts, configuration, backend) {
		await this.store.listen(`${this.#network}.1`, ports.store);
		this.store.put('config', 'main', configuration);
		this.hosts = hosts.map((host, index) => ({...host, name: `sidecar-${host.zone}-${index + 1}`, ip: `${this.#network}.${index + 2}`}));
		await Promise.all(this.hosts.filter(() => this.#hasRelays).map(async host => {
			host.relay = new Relay({target: {host: host.ip, port: ports.firstPeer}});
			await host.relay.listen(host.ip, ports.relay);
		}));
		this.hosts.forEach(host => {
			host.outbound = {host: host.ip, port: ports.outbound};
			host.backendSettings = {
				service: host.service,
				zone: host.zone,
				host: host.ip,
				port: ports.app,
				control: `${host.ip}:${ports.control}`,
				outboundPort: ports.outbound,
				slots: host.slots ?? 3,
				heartbeatMs: 1500,
				...backend,
			};
			this.#startSidecar(host);
			this.startBackend(host);
		});
		await this.waitUntilReady();
		// All machines are in touch once their processes have run for `ContactMs`.
		await wait(5000);
	}

	#startSidecar(host) {
		const settingsPath = path.join(this.#folder, `${host.name}.conf`);
		writeFileSync(settingsPath, this.#formatSettings(host));
		const [program, ...parameters] = readRunLine();
		const {PATH, HOME, LANG} = process.env;
		host.sidecar = this.#spawn(program === 'node' ? process.execPath : program, parameters, {
			PATH, HOME, LANG, LIMPETBARROW_BOOT: settingsPath, ...(host.relay && {LIMPETBARROW_ADVERTISED_LINK: `${host.ip}:${ports.relay}`}),
		});
		host.sidecar.stdout.on('data', data => {
			host.log = `${host.log ?? ''}${data}`;
		});
		host.sidecar.once('exit', (code, signal) => {
			if (!this.#isClosed) {
				this.record('sidecarExit', {node: host.name, code, signal});
			}
		});
	}

	#spawn(program, parameters, environment) {
		const child = spawn(program, parameters, {cwd: repository, env: environment, stdio: ['ignore', 'pipe', 'pipe']});
		this.#children.add(child);
		child.once('exit', () => this.#children.delete(child));
		child.stderr.on('data', data => this.record('stderr', {pid: child.pid, text: String(data).slice(0, 2000)}));
		return child;
	}

	#formatSettings({name, ip, zone, region, service}) {
		const zones = new Map(this.hosts.map(host => [host.zone, host.region]));
		return [
			`NodeName=${name}`,
			'Role=sidecar',
			'MachineClass=sidecar',
			'Serves=sidecar',
			`Ip=${ip}`,
			`Zone=${zone}`,
			`Region=${region}`,
			...[...zones].map(([other, itsRegion]) => `Zones.${other}=${itsRegion}`),
			`Listen.Inbound=${ip}:${ports.inbound}`,
			`Listen.Outbound=${ip}:${ports.outbound}`,
			`Listen.Ready=${ip}:${ports.ready}`,
			`Listen.Control=${ip}:${ports.control}`,
			`PortRange=${ports.firstPeer},${ports.lastPeer}`,
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
			`Bounds=${this.#bounds}`,
			`AppAddr=${ip}:${ports.app}`,
			`Service=${service}`,
			`Platform.Address=${this.#network}.1:${ports.store}`,
			'Platform.form=objects',
			'Platform.WritesPerS=400',
			'Platform.ReadsPerS=2000',
			'Platform.HistoryS=20',
			'Platform.ValueBytes=1048576',
			'Platform.TtlMinMs=1000',
			'',
		].join('\n');
	}
}
