/** The admin API of a node: JSON over HTTP for operators, backend servers and other nodes. */
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	createFailure, FailureError, foldResult, type Address, type Failure, type Logger, type MetricRegistry,
} from '@limpetbarrow/core';
import {EitherAsync} from 'purify-ts';
import {type Announcements, type MemberTable} from '@limpetbarrow/members';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {type ReleaseState} from '@limpetbarrow/releases';
import {formatRawFailure, sendFailure, sendJson} from '../callers/http-responses.js';
import {createFleetRoutes} from './admin-fleet.js';
import {ReleaseRoutes} from './admin-releases.js';
import {type AdminRoute} from './admin-route.js';
import {parseJsonBody, readBoundedText} from './read-body.js';
import {createSequentialServer} from './sequential-server.js';

/** Dependencies of the admin API. */
export type AdminServerOptions = {
	readonly announcements: Announcements;
	readonly table: MemberTable;
	readonly releases: ReleaseState;
	readonly platform: ObjectStore;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
	readonly isStopping: () => boolean;
};

const requestTimeoutMs = 30_000;
const maxConnections = 256;

function toFailure(error: unknown): Failure {
	return error instanceof FailureError ? error.failure : createFailure('internalError', String(error));
}

/** Serves the admin API, and the metrics at `/metrics`. */
export class AdminServer {
	readonly #options: AdminServerOptions;
	readonly #server: Server;
	readonly #routes: readonly AdminRoute[];

	constructor(options: AdminServerOptions) {
		this.#options = options;
		this.#routes = [
			...createFleetRoutes(options),
			...new ReleaseRoutes(options.platform, options.releases, options.logger).list(),
		];
		this.#server = createSequentialServer({
			name: 'admin', maxConnections, requestTimeoutMs, metrics: options.metrics, logger: options.logger,
		}, (message, response) => {
			void this.#handleRequest(message, response);
		});
		this.#server.on('clientError', (error, socket) => {
			if (socket.writable) {
				socket.end(formatRawFailure(createFailure('malformedRequest', error.message)));
			}
		});
	}

	/** Listens on an address and resolves to the bound one; port 0 picks a free port. */
	async listen({host, port}: Address): Promise<Address> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
		return {host, port: (this.#server.address() as AddressInfo).port};
	}

	/** Stops listening and closes all connections at once. */
	close(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		response.on('error', () => {
			response.destroy();
		});
		const path = message.url?.split('?', 1)[0];
		if (path === '/metrics') {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
			response.end(this.#options.metrics.formatReport());
			return;
		}

		foldResult(
			await this.#answerRequest(message).run(),
			failure => {
				sendFailure(message, response, failure);
			},
			value => {
				sendJson(response, 200, value);
			},
		);
	}

	#answerRequest(message: IncomingMessage): EitherAsync<Failure, unknown> {
		return EitherAsync<Failure, unknown>(async ({fromPromise, throwE}) => {
			try {
				const url = new URL(`http://admin${message.url ?? '/'}`);
				const route = this.#findRoute(message.method ?? 'GET', url.pathname);
				const body = parseJsonBody(await readBoundedText(message, route.maxBodyBytes));
				return await fromPromise(route.answer({query: url.searchParams, body, remoteHost: message.socket.remoteAddress ?? ''}).run());
			} catch (error) {
				return throwE(isFailure(error) ? error : toFailure(error));
			}
		});
	}

	#findRoute(method: string, path: string): AdminRoute {
		const candidates = this.#routes.filter(route => route.path === path);
		const route = candidates.find(candidate => candidate.method === method);
		if (route) {
			return route;
		}

		throw new FailureError(candidates.length > 0
			? createFailure('methodNotAllowed', `${path} takes ${candidates.map(candidate => candidate.method).join(' and ')}`)
			: createFailure('unknownCommand', path));
	}
}

function isFailure(error: unknown): error is Failure {
	return typeof error === 'object' && error !== null && 'code' in error && 'resend' in error;
}
