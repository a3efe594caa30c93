/** A stand-in for a backend server: slots, faults, a ledger of every run, announcements to a node. */
import process from 'node:process';
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {request as sendRequest} from 'undici';
import {formatAddress, type Address} from '@limpetbarrow/core';
import {
	createRunPlan, createSeededRandom, isFaulty, noFaults, type BackendFaults,
} from './backend-faults.js';
import {HealthHistory, type HealthReport} from './health-history.js';

/** One run of a request, as the ledger keeps it. */
export type LedgerEntry = {
	readonly serverId: string;
	/** Value of the `x-request-tag` header, or the idempotency key. */
	readonly tag: string;
	readonly method: string;
	readonly path: string;
	/** Unix milliseconds at the start of the run. */
	readonly startedAt: number;
};

/** What the server announces and where. */
export type BackendOptions = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	/** Admin addresses of nodes in order of preference; the server's own host's node first. */
	readonly nodes: readonly Address[];
	readonly renewMs?: number;
	readonly workMs?: number;
	/** Seed of the random numbers that faults with a share use. */
	readonly seed?: number;
	/** Called in place of ending the process when the crash path is run. */
	readonly crash?: () => void;
};

const defaultRenewMs = 1000;
const announceTimeoutMs = 1000;
const healthSampleMs = 250;
const failedStatus = 500;

/** Runs one backend server. */
export class BackendStandIn {
	readonly #options: BackendOptions;
	readonly #server: Server;
	readonly #ledger: LedgerEntry[] = [];
	readonly #history = new HealthHistory();
	readonly #pickNext: () => number;
	readonly #startedAt = performance.now();
	#faults: BackendFaults;
	#faultsSetAt = performance.now();
	#nodeIndex = 0;
	#generation = 1;
	#isLeaving = false;
	#running = 0;
	#address: Address = {host: '127.0.0.1', port: 0};
	#renewal: NodeJS.Timeout | undefined;
	#sampling: NodeJS.Timeout | undefined;

	constructor(options: BackendOptions) {
		this.#options = options;
		this.#pickNext = createSeededRandom(options.seed ?? 1);
		this.#faults = {...noFaults, workMs: options.workMs ?? noFaults.workMs};
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
		});
	}

	/** Listens and announces. */
	async start(port = 0, host = '127.0.0.1'): Promise<Address> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, host, resolve);
		});
		this.#address = {host, port: (this.#server.address() as AddressInfo).port};
		this.#sampling = setInterval(() => {
			this.#history.record(this.#createHealth());
		}, healthSampleMs);
		await this.announce();
		this.#renewal = setInterval(() => {
			void this.announce();
		}, this.#options.renewMs ?? defaultRenewMs);
		return this.#address;
	}

	/** Ends at once, as a crash would. */
	async crash(): Promise<void> {
		this.#stopTimers();
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	/** Says that it leaves, waits for what runs, then ends. */
	async leave(): Promise<void> {
		await this.drain();
		this.#stopTimers();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
		});
	}

	/** Says that it leaves and goes on running what still comes; renewals keep saying so. */
	async drain(): Promise<void> {
		this.#isLeaving = true;
		await this.announce();
	}

	/** Takes work again after `drain`, under a higher generation. */
	async resume(): Promise<void> {
		this.#isLeaving = false;
		this.#generation++;
		await this.announce();
	}

	/** Announces to the preferred node, moving on to the next when it does not answer or is stopping. */
	async announce(): Promise<void> {
		const isAccepted = await this.#sendAnnouncement();
		if (!isAccepted) {
			this.#nodeIndex = (this.#nodeIndex + 1) % Math.max(1, this.#options.nodes.length);
			this.#generation++;
			await this.#sendAnnouncement();
		}
	}

	setFaults(faults: Partial<BackendFaults>): void {
		this.#faults = {...this.#faults, ...faults};
		this.#faultsSetAt = performance.now();
	}

	/** Every run so far, oldest first. */
	getLedger(): readonly LedgerEntry[] {
		return this.#ledger;
	}

	/** Requests running. */
	countRunning(): number {
		return this.#running;
	}

	#stopTimers(): void {
		clearInterval(this.#renewal);
		clearInterval(this.#sampling);
	}

	async #sendAnnouncement(): Promise<boolean> {
		const node = this.#options.nodes[this.#nodeIndex];
		if (!node) {
			return false;
		}

		const {id, service, slots} = this.#options;
		const body = JSON.stringify({
			id, service, slots, address: formatAddress(this.#address), generation: this.#generation, isLeaving: this.#isLeaving,
		});
		try {
			const answer = await sendRequest(`http://${formatAddress(node)}/announce`, {
				method: 'POST', body, headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(announceTimeoutMs),
			});
			await answer.body.dump();
			return answer.statusCode === 200;
		} catch {
			return false;
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = request.url ?? '/';
		if (path.startsWith('/stand-in/')) {
			await this.#handleControl(path, request, response);
			return;
		}

		this.#ledger.push({
			serverId: this.#options.id, tag: readTag(request), method: request.method ?? '', path, startedAt: Date.now(),
		});
		if (this.#faults.crashPath !== '' && path.startsWith(this.#faults.crashPath)) {
			(this.#options.crash ?? process.exit)();
			request.socket.destroy();
			return;
		}

		this.#running++;
		response.once('close', () => {
			this.#running--;
		});
		await this.#run(path, request, response);
	}

	async #run(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const now = performance.now();
		const plan = createRunPlan(this.#faults, now - this.#faultsSetAt, now - this.#startedAt, this.#pickNext);
		const chunks = await request.toArray().catch(() => []) as Uint8Array[];
		await wait(plan.workMs);
		const {answerBytes} = this.#faults;
		const status = plan.isFailing ? failedStatus : 200;
		if (answerBytes > 0) {
			response.writeHead(status, {'content-type': 'application/octet-stream', 'content-length': answerBytes, 'x-server': this.#options.id});
			await this.#writeChunks(response, answerBytes);
			return;
		}

		response.writeHead(status, {'content-type': 'application/json', 'x-server': this.#options.id});
		response.end(JSON.stringify({
			server: this.#options.id, path, tag: readTag(request), received: Buffer.concat(chunks).length,
		}));
	}

	async #writeChunks(response: ServerResponse, left: number): Promise<void> {
		if (response.destroyed) {
			return;
		}

		const {chunkBytes, chunkMs} = this.#faults;
		const size = Math.min(left, chunkBytes);
		const isTaken = response.write(Buffer.alloc(size, this.#options.id));
		if (left === size) {
			response.end();
			return;
		}

		await (isTaken ? wait(chunkMs) : waitForDrain(response));
		await this.#writeChunks(response, left - size);
	}

	#createHealth(): HealthReport {
		const isNow = isFaulty(this.#faults, performance.now() - this.#faultsSetAt);
		return {healthy: !isNow || (this.#faults.failShare === 0 && this.#faults.slowShare === 0), running: this.#running};
	}

	async #handleControl(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const text = Buffer.concat(await request.toArray() as Uint8Array[]).toString('utf8');
		switch (path) {
			case '/stand-in/faults': {
				this.setFaults(JSON.parse(text) as Partial<BackendFaults>);

				break;
			}

			case '/stand-in/leave': {
				await this.drain();

				break;
			}

			case '/stand-in/resume': {
				await this.resume();

				break;
			}
		// No default
		}

		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify(path === '/stand-in/ledger' ? this.#ledger : this.#history.createReport(this.#faults, this.#createHealth())));
	}
}

async function waitForDrain(response: ServerResponse): Promise<void> {
	await new Promise<void>(resolve => {
		response.once('drain', resolve);
		response.once('close', resolve);
	});
}

function readTag(request: IncomingMessage): string {
	return String(request.headers['x-request-tag'] ?? request.headers['idempotency-key'] ?? '');
}
