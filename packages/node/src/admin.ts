/** The admin API of a node: JSON over HTTP for operators and backend servers. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {EitherAsync, Left, Right} from 'purify-ts';
import {
	createFailure, FailureError, foldResult, type Address, type Failure, type Logger, type MetricRegistry,
} from '@limpetbarrow/core';
import {type Announcements, type MemberTable} from '@limpetbarrow/members';
import {type ReleaseLog, type ReleaseState} from '@limpetbarrow/releases';
import {sendFailure, sendJson} from './answer.js';

/** What the admin API reports on and changes. */
export type AdminOptions = {
	readonly announcements: Announcements;
	readonly table: MemberTable;
	readonly releases: ReleaseState;
	readonly log: ReleaseLog;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
	readonly isStopping: () => boolean;
};

type AdminRequest = {
	readonly message: IncomingMessage;
	readonly url: URL;
	readonly body: unknown;
};

type AdminRoute = (request: AdminRequest) => EitherAsync<Failure, unknown>;

const maxAdminBodyBytes = 16_777_216;

/** Serves the admin API. */
export class Admin {
	readonly #options: AdminOptions;
	readonly #server: Server;
	readonly #routes: ReadonlyMap<string, AdminRoute>;

	constructor(options: AdminOptions) {
		this.#options = options;
		this.#server = createServer((message, response) => {
			void this.#handle(message, response);
		});
		this.#routes = this.#createRoutes();
	}

	async listen({host, port}: Address): Promise<Address> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
		return {host, port: (this.#server.address() as AddressInfo).port};
	}

	close(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	#createRoutes(): ReadonlyMap<string, AdminRoute> {
		const {announcements, table, releases, log, logger, isStopping} = this.#options;
		return new Map<string, AdminRoute>([
			['POST /announce', ({message, body}) => EitherAsync.liftEither(isStopping()
				? Left(createFailure('nodeStopping', 'announce to another node'))
				: announcements.accept(body, message.socket.remoteAddress ?? '').map(({id}) => ({id})))],
			['GET /members', () => EitherAsync.liftEither(Right([...table.store.getState().members.values()]))],
			['GET /servers', () => EitherAsync.liftEither(Right(table.listLive().flatMap(({record}) => record.servers.map(server => ({node: record.id, ...server})))))],
			['GET /status', () => EitherAsync.liftEither(Right(createStatus(table, releases)))],
			['GET /releases', ({url}) => EitherAsync.liftEither(Right(releases.selectAfter(Number(url.searchParams.get('after') ?? 0))))],
			['POST /releases', ({body}) => log.accept(body)
				.ifRight(release => {
					logger.log('releaseAccepted', {release: release.number, operator: release.note.operator});
					releases.apply([release]);
				})
				.ifLeft(failure => {
					logger.log('releaseRefused', {code: failure.code, detail: failure.detail});
				})],
		]);
	}

	async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(message.url ?? '/', 'http://admin');
		if (url.pathname === '/metrics') {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
			response.end(this.#options.metrics.formatReport());
			return;
		}

		const route = this.#routes.get(`${message.method} ${url.pathname}`);
		const result = await EitherAsync<Failure, unknown>(async ({fromPromise, throwE}) => {
			if (!route) {
				return throwE(createFailure('unknownCommand', `${message.method} ${url.pathname}`));
			}

			return fromPromise(route({message, url, body: await readBody(message)}).run());
		}).mapLeft(error => toFailure(error)).run();
		foldResult(
			result,
			failure => {
				sendFailure(message, response, failure);
			},
			value => {
				sendJson(response, 200, value);
			},
		);
	}
}

function createStatus(table: MemberTable, releases: ReleaseState): unknown {
	const nodes = table.listLive().map(({record, status}) => ({node: record.id, status, release: record.release}));
	const release = Math.max(releases.getNumber(), ...nodes.map(node => node.release));
	return {release, nodes, lagging: nodes.filter(node => node.release < release).map(({node}) => node)};
}

function toFailure(error: unknown): Failure {
	return error instanceof FailureError ? error.failure : error as Failure;
}

async function readBody(message: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of message) {
		size += (chunk as Uint8Array).length;
		if (size > maxAdminBodyBytes) {
			throw new FailureError(createFailure('bodyTooLarge', `the admin API takes ${maxAdminBodyBytes} bytes`));
		}

		chunks.push(chunk as Uint8Array);
	}

	const text = Buffer.concat(chunks).toString('utf8');
	try {
		return text === '' ? undefined : JSON.parse(text);
	} catch {
		throw new FailureError(createFailure('malformedRequest', 'the body is not JSON'));
	}
}
