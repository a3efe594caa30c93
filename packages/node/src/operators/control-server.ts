/** Serves announcements, readiness checks and metrics to backend servers, the platform and operators over HTTP. */
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {EitherAsync, type Either} from 'purify-ts';
import {
	foldResult, type Address, type Failure, type Logger, type MetricRegistry,
} from '@limpetbarrow/core';
import {createFailureBody} from '../callers/http-responses.js';
import {listenServer} from './listen-server.js';
import {readBoundedText} from './read-body.js';
import {createSequentialServer} from './sequential-server.js';

/** A request that is addressed to the node itself. */
export type ControlCall
	= | {readonly kind: 'announce'; readonly announcement: unknown}
		/** `generation` is the start time of the backend server process that leaves, if the request names it. */
		| {readonly kind: 'leave'; readonly serverId: string; readonly generation?: number}
		| {readonly kind: 'readiness'}
		| {readonly kind: 'metrics'};

/** Parses control calls from the HTTP requests that a particular platform sends. */
export abstract class ControlProtocol {
	abstract parseCall(method: string, path: string, body: string): Either<Failure, ControlCall>;
}

/** The HTTP response to a control call. */
export type ControlAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

/** Executes a control call; `remoteHost` is the IP address that it came from. */
export type HandleControlCall = (call: ControlCall, remoteHost: string) => EitherAsync<Failure, ControlAnswer>;

/** Dependencies of a control server. */
export type ControlServerOptions = {
	readonly protocol: ControlProtocol;
	/** Largest number of connections to one address. */
	readonly maxControlConnections: number;
	readonly handleCall: HandleControlCall;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
};

const maxBodyBytes = 65_536;

/** Listens on the addresses for control calls. */
export class ControlServer {
	readonly #options: ControlServerOptions;
	#servers: readonly Server[] = [];

	constructor(options: ControlServerOptions) {
		this.#options = options;
	}

	/** Listens on one more address, named in metrics and logs, and resolves to the bound one; port 0 picks a free port. */
	async listen(name: string, address: Address): Promise<Address> {
		const {maxControlConnections: maxConnections, metrics, logger} = this.#options;
		const server = createSequentialServer({
			name, maxConnections, metrics, logger,
		}, (message, response) => {
			void this.#answer(message, response);
		});
		this.#servers = [...this.#servers, server];
		return listenServer(server, address);
	}

	/** Stops listening and closes all connections at once. */
	close(): void {
		this.#servers.forEach(server => {
			server.closeAllConnections();
			server.close();
		});
	}

	async #answer(message: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const body = await readBoundedText(message, maxBodyBytes);
			const result = await EitherAsync.liftEither(this.#options.protocol.parseCall(message.method ?? 'GET', message.url ?? '/', body))
				.chain(call => this.#options.handleCall(call, message.socket.remoteAddress ?? ''))
				.run();
			const {status, contentType, body: text} = foldResult(result, toAnswer, answer => answer);
			response.writeHead(status, {'content-type': contentType});
			response.end(text);
		} catch {
			// The body did not arrive whole, so nobody is left to answer, or it exceeds its limit.
			response.destroy();
		}
	}
}

function toAnswer(failure: Failure): ControlAnswer {
	return {status: failure.status, contentType: 'application/json', body: createFailureBody(failure)};
}
