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

/** Faults of the server's real work. Its health endpoint keeps saying that all is well. */
export type BackendFaults = {
	/** Share of requests that fail with status 500, from 0 to 1. */
	readonly failShare: number;
	/** Time a run takes, in milliseconds. */
	readonly workMs: number;
	/** Paths that crash the process. */
	readonly crashPath: string;
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
	/** Called in place of ending the process when the crash path is run. */
	readonly crash?: () => void;
};

const defaultRenewMs = 1000;
const defaultWorkMs = 5;
const announceTimeoutMs = 1000;

/** Runs one backend server. */
export class BackendStandIn {
	readonly #options: BackendOptions;
	readonly #server: Server;
	#faults: BackendFaults;
	#ledger: readonly LedgerEntry[] = [];
	#nodeIndex = 0;
	#generation = 1;
	#address: Address = {host: '127.0.0.1', port: 0};
	#renewal: NodeJS.Timeout | undefined;

	constructor(options: BackendOptions) {
		this.#options = options;
		this.#faults = {failShare: 0, workMs: options.workMs ?? defaultWorkMs, crashPath: ''};
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
		await this.announce();
		this.#renewal = setInterval(() => {
			void this.announce();
		}, this.#options.renewMs ?? defaultRenewMs);
		return this.#address;
	}

	/** Ends at once, as a crash would. */
	async crash(): Promise<void> {
		clearInterval(this.#renewal);
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	/** Says that it leaves, waits for what runs, then ends. */
	async leave(): Promise<void> {
		clearInterval(this.#renewal);
		await this.#sendAnnouncement(true);
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
		});
	}

	/** Announces to the preferred node, moving on to the next when it does not answer or is stopping. */
	async announce(): Promise<void> {
		const isAccepted = await this.#sendAnnouncement(false);
		if (!isAccepted) {
			this.#nodeIndex = (this.#nodeIndex + 1) % this.#options.nodes.length;
			this.#generation++;
			await this.#sendAnnouncement(false);
		}
	}

	setFaults(faults: Partial<BackendFaults>): void {
		this.#faults = {...this.#faults, ...faults};
	}

	/** Every run so far, oldest first. */
	getLedger(): readonly LedgerEntry[] {
		return this.#ledger;
	}

	async #sendAnnouncement(isLeaving: boolean): Promise<boolean> {
		const node = this.#options.nodes[this.#nodeIndex];
		if (!node) {
			return false;
		}

		const {id, service, slots} = this.#options;
		const body = JSON.stringify({
			id, service, slots, address: formatAddress(this.#address), generation: this.#generation, isLeaving,
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

		this.#ledger = [...this.#ledger, {
			serverId: this.#options.id, tag: readTag(request), method: request.method ?? '', path, startedAt: Date.now(),
		}];
		if (this.#faults.crashPath !== '' && path.startsWith(this.#faults.crashPath)) {
			(this.#options.crash ?? process.exit)();
			request.socket.destroy();
			return;
		}

		const chunks = await request.toArray() as Uint8Array[];
		await wait(this.#faults.workMs);
		const isFailing = Math.random() < this.#faults.failShare;
		response.writeHead(isFailing ? 500 : 200, {'content-type': 'application/json', 'x-server': this.#options.id});
		response.end(JSON.stringify({
			server: this.#options.id, path, tag: readTag(request), received: Buffer.concat(chunks).length,
		}));
	}

	async #handleControl(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const text = Buffer.concat(await request.toArray() as Uint8Array[]).toString('utf8');
		if (path === '/stand-in/faults') {
			this.setFaults(JSON.parse(text) as Partial<BackendFaults>);
		}

		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify(path === '/stand-in/ledger' ? this.#ledger : {healthy: true}));
	}
}

function readTag(request: IncomingMessage): string {
	return String(request.headers['x-request-tag'] ?? request.headers['idempotency-key'] ?? '');
}
