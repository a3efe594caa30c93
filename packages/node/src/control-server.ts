/** Answers backend servers, the platform and operators over HTTP: announcements, readiness, metrics. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {EitherAsync, type Either} from 'purify-ts';
import {
	foldResult, type Address, type Failure,
} from '@limpetbarrow/core';
import {createFailureBody} from './http-responses.js';
import {listenServer} from './listen-server.js';
import {readBoundedText} from './read-body.js';

/** A call to the node itself. */
export type ControlCall
	= | {readonly kind: 'announce'; readonly announcement: unknown}
		/** `generation` is the start of the run that leaves, where it is told. */
		| {readonly kind: 'leave'; readonly serverId: string; readonly generation?: number}
		| {readonly kind: 'readiness'}
		| {readonly kind: 'metrics'};

/** Reads calls in the form that a platform makes them. */
export abstract class ControlDialect {
	abstract parseCall(method: string, path: string, body: string): Either<Failure, ControlCall>;
}

/** What becomes of a call. */
export type ControlAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

/** Carries a call out. `remoteHost` is the address of the caller. */
export type HandleControlCall = (call: ControlCall, remoteHost: string) => EitherAsync<Failure, ControlAnswer>;

const maxBodyBytes = 65_536;

/** Listens on the addresses that the platform calls. */
export class ControlServer {
	readonly #dialect: ControlDialect;
	readonly #handleCall: HandleControlCall;
	#servers: readonly Server[] = [];

	constructor(dialect: ControlDialect, handleCall: HandleControlCall) {
		this.#dialect = dialect;
		this.#handleCall = handleCall;
	}

	async listen(address: Address): Promise<Address> {
		const server = createServer((message, response) => {
			void this.#answer(message, response);
		});
		this.#servers = [...this.#servers, server];
		return listenServer(server, address);
	}

	close(): void {
		this.#servers.forEach(server => {
			server.closeAllConnections();
			server.close();
		});
	}

	async #answer(message: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const body = await readBoundedText(message, maxBodyBytes);
			const result = await EitherAsync.liftEither(this.#dialect.parseCall(message.method ?? 'GET', message.url ?? '/', body))
				.chain(call => this.#handleCall(call, message.socket.remoteAddress ?? ''))
				.run();
			const {status, contentType, body: text} = foldResult(result, toAnswer, answer => answer);
			response.writeHead(status, {'content-type': contentType});
			response.end(text);
		} catch {
			// The body did not arrive whole: there is nobody left to answer.
			response.destroy();
		}
	}
}

function toAnswer(failure: Failure): ControlAnswer {
	return {status: failure.status, contentType: 'application/json', body: createFailureBody(failure)};
}
