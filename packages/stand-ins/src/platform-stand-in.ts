/** A stand-in for the platform's object API, with faults that tests switch on. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Address, Subject} from '@limpetbarrow/core';
import {type ObjectEvent, type StoredObject} from '@limpetbarrow/object-store';
import {ObjectHistory} from './object-history.js';

/** Faults of the platform. All are off at first. */
export type PlatformFaults = {
	/** Refuses every call. */
	readonly isDown: boolean;
	/** Delay before each answer, in milliseconds. */
	readonly delayMs: number;
	/** Number of changes to come that take effect and whose answer is lost. */
	readonly lostAnswers: number;
	/** Number of reads to come that see the state as it was at `staleVersion`. */
	readonly staleReads: number;
	readonly staleVersion: number;
	/** Ends every watch with an error. */
	readonly breaksWatches: boolean;
	/** Answers watches without the changes they waited for. */
	readonly dropsEvents: boolean;
	/** Answers with text that is not JSON. */
	readonly garblesAnswers: boolean;
};

const noFaults: PlatformFaults = {
	isDown: false, delayMs: 0, lostAnswers: 0, staleReads: 0, staleVersion: 0, breaksWatches: false, dropsEvents: false, garblesAnswers: false,
};
const maxBodyBytes = 1_048_576;

type Answer = {
	readonly status: number;
	readonly body?: unknown;
};

/** Keeps the objects and their whole history in memory and serves them over HTTP. */
export class PlatformStandIn {
	#faults: PlatformFaults = noFaults;
	readonly #history = new ObjectHistory();
	#callCount = 0;
	readonly #writes = new Subject<ObjectEvent>();
	readonly #server: Server;

	constructor() {
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
		});
	}

	/** Listens; port 0 picks a free one. */
	async listen(port = 0, host = '127.0.0.1'): Promise<Address> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, host, resolve);
		});
		return {host, port: (this.#server.address() as AddressInfo).port};
	}

	async close(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	/** Switches faults on or off; those not named stay as they are. */
	setFaults(faults: Partial<PlatformFaults>): void {
		this.#faults = {...this.#faults, ...faults};
		if (this.#faults.isDown) {
			this.#server.closeAllConnections();
		}
	}

	/** Calls received so far, of any kind. */
	getCallCount(): number {
		return this.#callCount;
	}

	/** All changes so far, oldest first. */
	getHistory(): readonly ObjectEvent[] {
		return this.#history.selectEvents('', 0);
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request);
		if (request.url === '/faults') {
			this.setFaults(JSON.parse(body) as Partial<PlatformFaults>);
			response.end('{}');
			return;
		}

		this.#callCount++;
		if (this.#faults.delayMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, this.#faults.delayMs);
			});
		}

		if (this.#faults.isDown) {
			request.socket.destroy();
			return;
		}

		const answer = await this.#answer(request, body);
		if (answer === undefined) {
			request.socket.destroy();
			return;
		}

		response.writeHead(answer.status, {'content-type': 'application/json'});
		response.end(this.#faults.garblesAnswers ? '<html>' : JSON.stringify(answer.body) ?? '');
	}

	async #answer(request: IncomingMessage, body: string): Promise<Answer | undefined> {
		const url = new URL(request.url ?? '/', 'http://platform');
		if (url.pathname === '/watch') {
			return this.#watch(url);
		}

		if (url.pathname === '/objects') {
			return this.#list(url.searchParams.get('prefix') ?? '');
		}

		const key = decodeURIComponent(url.pathname.slice('/objects/'.length));
		if (request.method === 'GET') {
			const object = this.#get(key);
			return object ? {status: 200, body: object} : {status: 404};
		}

		const answer = this.#write(key, request, body);
		if (answer.status === 200 && this.#faults.lostAnswers > 0) {
			this.setFaults({lostAnswers: this.#faults.lostAnswers - 1});
			return undefined;
		}

		return answer;
	}

	#get(key: string): StoredObject | undefined {
		return this.#takeStaleRead() ? this.#history.findObjectAt(key, this.#faults.staleVersion) : this.#history.findObject(key);
	}

	#list(prefix: string): Answer {
		return {status: 200, body: this.#takeStaleRead() ? this.#history.listAt(prefix, this.#faults.staleVersion) : this.#history.list(prefix)};
	}

	#takeStaleRead(): boolean {
		const isStale = this.#faults.staleReads > 0;
		if (isStale) {
			this.setFaults({staleReads: this.#faults.staleReads - 1});
		}

		return isStale;
	}

	#write(key: string, request: IncomingMessage, body: string): Answer {
		if (Buffer.byteLength(body) > maxBodyBytes) {
			return {status: 413};
		}

		const expected = request.headers['if-none-match'] === '*' ? 0 : Number(request.headers['if-match']);
		const isDelete = request.method === 'DELETE';
		const event = this.#history.write(key, expected, isDelete ? undefined : body);
		if (!event) {
			return {status: 409, body: this.#history.findObject(key)};
		}

		this.#writes.publish(event);
		return {status: 200, body: isDelete ? null : event};
	}

	async #watch(url: URL): Promise<Answer | undefined> {
		const prefix = url.searchParams.get('prefix') ?? '';
		const from = Number(url.searchParams.get('from'));
		const waitMs = Number(url.searchParams.get('wait') ?? 0);
		if (this.#faults.breaksWatches) {
			return undefined;
		}

		if (this.#history.selectEvents(prefix, from).length === 0) {
			await this.#waitForWrite(prefix, waitMs);
		}

		return this.#faults.breaksWatches
			? undefined
			: {status: 200, body: {events: this.#faults.dropsEvents ? [] : this.#history.selectEvents(prefix, from), version: this.#history.getVersion()}};
	}

	async #waitForWrite(prefix: string, waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = (): void => {
				clearTimeout(timer);
				unregister();
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			timer.unref();
			const unregister = this.#writes.registerListener(({key}) => {
				if (key.startsWith(prefix)) {
					finish();
				}
			});
		});
	}
}

async function readBody(request: IncomingMessage): Promise<string> {
	const chunks = await request.toArray() as Uint8Array[];
	return Buffer.concat(chunks).toString('utf8');
}
