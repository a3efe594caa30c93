/** Test fixture: an ingress whose requests the test answers, and one connection of a caller. */
import {Buffer} from 'node:buffer';
import {Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {Right} from 'purify-ts';
import {
	Carrier, createFailure, Exchange, MetricRegistry, SilentLogger, type ExchangeHandler, type RequestHead,
} from '@limpetbarrow/core';
import {ReleaseState, releaseNoteSchema} from '@limpetbarrow/releases';
import {Ingress} from '../callers/ingress.js';

const host = '127.0.0.1';

/** A request that the ingress forwarded. */
export type OpenedExchange = {
	readonly path: string;
	readonly remainingMs: number;
	readonly handler: ExchangeHandler;
};

/** Holds a request that the ingress forwarded until the test answers it. */
class HeldExchange extends Exchange {
	readonly #handleBody: (bytes: number) => void;
	readonly #handleCancel: () => void;
	readonly #handleGrant: (bytes: number) => void;

	constructor(handleBody: (bytes: number) => void, handleCancel: () => void, handleGrant: (bytes: number) => void) {
		super();
		this.#handleBody = handleBody;
		this.#handleCancel = handleCancel;
		this.#handleGrant = handleGrant;
	}

	override writeBody(chunk: Uint8Array): void {
		this.#handleBody(chunk.length);
	}

	override endBody(): void {
		// The test answers the request.
	}

	override grantCredit(bytes: number): void {
		this.#handleGrant(bytes);
	}

	override cancel(): void {
		this.#handleCancel();
	}
}

/** Records the requests that the ingress forwards; the test answers them. */
export class HeldCarrier extends Carrier {
	opened: readonly OpenedExchange[] = [];
	cancelled: readonly string[] = [];
	/** Bytes of all request bodies. */
	bodyBytes = 0;
	/** Bytes of each response for which its backend server has got credit, by path. */
	readonly grantedBytes = new Map<string, number>();

	override openExchange({path, remainingMs}: RequestHead, handler: ExchangeHandler): Exchange {
		this.opened = [...this.opened, {path, remainingMs, handler}];
		return new HeldExchange(bytes => {
			this.bodyBytes += bytes;
			handler.handleCredit(bytes);
		}, () => {
			this.cancelled = [...this.cancelled, path];
		}, bytes => {
			this.grantedBytes.set(path, (this.grantedBytes.get(path) ?? 0) + bytes);
		});
	}

	answer(path: string, body = `answer to ${path};`): void {
		const handler = this.opened.find(one => one.path === path)?.handler;
		handler?.handleHead({status: 200, headers: ['content-length', String(body.length)]});
		handler?.handleData(Buffer.from(body));
		handler?.handleEnd();
	}

	/** Sends the head of a response of that length, and a first part of its body. */
	startAnswer(path: string, bytes: number): void {
		const handler = this.opened.find(one => one.path === path)?.handler;
		handler?.handleHead({status: 200, headers: ['content-length', String(bytes)]});
		handler?.handleData(Buffer.from(`answer to ${path};`));
	}

	/** Sends the rest of a response that was started with that length. */
	finishAnswer(path: string, bytes: number): void {
		const handler = this.opened.find(one => one.path === path)?.handler;
		handler?.handleData(Buffer.alloc(bytes - `answer to ${path};`.length, '.'));
		handler?.handleEnd();
	}

	fail(path: string): void {
		this.opened.find(one => one.path === path)?.handler.handleFailure(createFailure('serverBroke', path));
	}

	listPaths(): readonly string[] {
		return this.opened.map(({path}) => path);
	}
}

/** Creates releases with one route, which has every path. */
export function createReleases(): ReleaseState {
	const releases = new ReleaseState();
	const note = releaseNoteSchema.parse({
		id: 'first', operator: 'test', base: 0, added: {services: [{name: 'desk'}], routes: [{name: 'all', pathPrefix: '/', service: 'desk'}]},
	});
	releases.apply([{number: 1, acceptedAt: 0, note}]);
	return releases;
}

/** Formats a request without a body. */
export function formatRequest(path: string, method = 'GET', header = 'x: y'): string {
	return `${method} ${path} HTTP/1.1\r\nhost: h\r\n${header}\r\n${method === 'POST' ? 'content-length: 0\r\n' : ''}\r\n`;
}

/** Polls until the condition holds, at most `boundMs` milliseconds; resolves to whether it does. */
export async function waitUntil(condition: () => boolean, boundMs = 2000): Promise<boolean> {
	if (condition() || boundMs <= 0) {
		return condition();
	}

	await wait(5);
	return waitUntil(condition, boundMs - 5);
}

/** Starts and stops the ingress and the connection, and reads what the caller receives. */
export class PipelineFixture {
	readonly carrier = new HeldCarrier();
	readonly metrics = new MetricRegistry();
	readonly ingress = new Ingress({
		releases: createReleases(),
		admitRequest: () => Right(undefined),
		selectCarrier: () => Right(this.carrier),
		handleReserved(_message, response) {
			response.end();
		},
		metrics: this.metrics,
		logger: new SilentLogger(),
	});

	readonly socket = new Socket();
	/** Port of the ingress. */
	port = 0;
	/** Bytes that the caller has received, as Latin-1 text. */
	received = '';
	isClosed = false;
	/** True when the connection was reset. */
	isReset = false;

	async start(): Promise<void> {
		const {port} = await this.ingress.listen({host, port: 0});
		this.port = port;
		this.socket.on('data', (chunk: Uint8Array) => {
			this.received += Buffer.from(chunk).toString('latin1');
		});
		this.socket.on('error', () => {
			this.isReset = true;
		});
		// The runtime reports a reset behind unread bytes as a normal end; the address of the other side is gone then.
		this.socket.once('end', () => {
			this.isReset ||= this.socket.remoteAddress === undefined;
		});
		this.socket.once('close', () => {
			this.isClosed = true;
		});
		this.socket.connect(port, host);
	}

	async close(): Promise<void> {
		this.socket.destroy();
		this.ingress.close();
		await wait(0);
	}

	async hasOpened(count: number): Promise<boolean> {
		return waitUntil(() => this.carrier.opened.length >= count);
	}

	listBodies(): readonly string[] {
		return [...this.received.matchAll(/answer to (?<path>\/\w+);/gv)].map(match => match.groups!.path!);
	}

	/** Lists the complete responses: the status, and the path for a success. */
	listAnswers(): readonly string[] {
		const heads = [...this.received.matchAll(/HTTP\/1\.1 (?<status>\d+).*?content-length: (?<length>\d+).*?\r\n\r\n/gisv)];
		return heads
			.map(({index, 0: head, groups}) => ({status: groups!.status!, length: Number(groups!.length), body: this.received.slice(index + head.length).slice(0, Number(groups!.length))}))
			.filter(({body, length}) => body.length === length)
			.map(({status, body}) => status === '200' ? `200 ${/\/\w+/v.exec(body)?.[0] ?? ''}` : status);
	}
}
