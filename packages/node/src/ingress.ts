/** The HTTP server for callers' requests. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as TcpServer, type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, createRandomId, findHeader, idempotencyHeader, maxHeaderBytes, reservedPathPrefix,
	type Address, type Carrier, type Failure, type Logger, type MetricRegistry, type RequestCause, type RequestHead,
} from '@limpetbarrow/core';
import {isRepeatable, pickService, RouteTable} from '@limpetbarrow/choose';
import {type Terms} from '@limpetbarrow/limits';
import {type Configuration, type ReleaseState, type Route} from '@limpetbarrow/releases';
import {CallerMemory} from './caller-memory.js';
import {ConnectionLimit, type LimitedConnection} from './connection-limit.js';
import {HeldBytes} from './held-bytes.js';
import {formatRawFailure, sendFailure} from './http-responses.js';
import {CallerConnection} from './caller-connection.js';
import {IngressExchange} from './ingress-exchange.js';
import {
	defaultCallerProtocol, parseIngressRequest, type CallerProtocol, type IngressRequest,
} from './ingress-request.js';
import {replaceUnprovenFailure} from './keyed-request.js';
import {listenServer} from './listen-server.js';
import {PacedConnection} from './paced-connection.js';
import {replaceConnections} from './paced-server.js';
import {computeResourceLimits, type ResourceLimits} from './resource-limits.js';

/** Checks a request against the caller's terms; returns undefined terms when the caller has none. */
export type AdmitRequest = (request: IngressRequest) => Either<Failure, Terms | undefined>;

/** Selects the carrier of a request: the home node of its key, or the forwarder. */
export type SelectCarrier = (request: IngressRequest, terms: Terms | undefined) => Either<Failure, Carrier>;

/** Answers a request for a path that the node serves itself. */
export type HandleReserved = (message: IncomingMessage, response: ServerResponse) => void;

/** Dependencies of an ingress. */
export type IngressOptions = {
	readonly releases: ReleaseState;
	readonly admitRequest: AdmitRequest;
	readonly selectCarrier: SelectCarrier;
	readonly handleReserved: HandleReserved;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
	readonly protocol?: CallerProtocol;
	/** Bounds of what is held for callers; by default, those of the process's heap. */
	readonly limits?: ResourceLimits;
	/** Service that runs on this host, which is reported to backend servers as the calling service. */
	readonly getCallerService?: () => string;
	/** Finds by id the request that caused a call from this host's backend server; undefined for requests of callers. */
	readonly findCause?: (requestId: string) => RequestCause | undefined;
};

type ReceivedRequest = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	readonly connection: CallerConnection;
};

type AdmittedRequest = {
	readonly request: IngressRequest;
	readonly route: Route;
	readonly terms: Terms | undefined;
};

const usPerMs = 1000;
/** Time that an idle connection is kept open beyond the idle timeout announced to callers, in milliseconds. */
const keepAliveMarginMs = 1000;
/** Time between two checks for heads that take too long, in milliseconds. */
const connectionsCheckPeriodMs = 1000;

/** Accepts callers' requests, routes them and sends the responses. */
export class Ingress {
	readonly #options: IngressOptions;
	readonly #protocol: CallerProtocol;
	readonly #server: Server;
	#routes = new RouteTable({
		release: 0, services: new Map(), routes: new Map(), terms: new Map(), organisations: new Map(),
	});

	readonly #exchanges = new Set<IngressExchange>();
	#configuration: Configuration | undefined;
	readonly #heldBytes: HeldBytes;
	readonly #connections = new Map<Duplex, CallerConnection>();
	readonly #memory: CallerMemory;
	readonly #connectionLimit: ConnectionLimit;
	#requestsInProgress = 0;
	#isStopping = false;

	constructor(options: IngressOptions) {
		this.#options = options;
		this.#protocol = options.protocol ?? defaultCallerProtocol;
		const {metrics, logger, limits = computeResourceLimits()} = options;
		this.#heldBytes = new HeldBytes(metrics);
		this.#memory = new CallerMemory({limits: {totalBytes: limits.callerMemoryBytes, connectionBytes: limits.connectionMemoryBytes}, metrics, logger});
		this.#connectionLimit = new ConnectionLimit({
			name: 'ingress', maxConnections: limits.maxCallerConnections, metrics, logger,
		});
		this.#server = createServer({
			maxHeaderSize: maxHeaderBytes, noDelay: true, requireHostHeader: false, connectionsCheckingInterval: connectionsCheckPeriodMs,
		}, (message, response) => {
			this.#handleRequest(message, response);
		});
		// By default, Node's `http` drops the lines behind the first 1,000. The size of the head bounds their number.
		this.#server.maxHeadersCount = 0;
		replaceConnections(this.#server, socket => this.#acceptSocket(socket));
		this.#server.on('checkContinue', (message, response) => {
			this.#handleRequest(message, response);
		});
		this.#server.on('checkExpectation', (message, response) => {
			if (this.#acceptRequest(message, response)) {
				this.#refuse(message, response, createFailure('malformedRequest', '100-continue is the only supported expectation'));
			}
		});
		this.#server.on('connect', (_message, socket) => {
			this.#refuseSocket(socket as Socket, createFailure('malformedRequest', 'CONNECT is not supported'));
		});
		this.#server.on('clientError', (error: Error & {readonly code?: string}, socket) => {
			this.#handleClientError(error, socket as Socket);
		});
	}

	async listen(address: Address): Promise<Address> {
		return listenServer(this.#server, address);
	}

	/** Makes the last response of each connection close it from now on, so that callers move to other nodes. */
	startStopping(): void {
		this.#isStopping = true;
	}

	/** Stops accepting connections and closes idle ones; requests in progress and unsent responses continue. */
	stopListening(): void {
		// The HTTP server's own `close` also destroys connections whose last response has ended but is not sent yet.
		TcpServer.prototype.close.call(this.#server);
		this.#connections.forEach(connection => {
			connection.closeIfIdle();
		});
	}

	/** Number of open connections of callers. */
	countConnections(): number {
		return this.#connections.size;
	}

	/** Ends the requests in progress. Any of them may have run. */
	failRequests(): void {
		[...this.#exchanges].forEach(exchange => {
			exchange.fail(createFailure('answerTimeout', 'the node stops'));
		});
	}

	/** Closes all connections at once, whatever is in progress on them. */
	close(): void {
		this.#connections.forEach(connection => {
			connection.closeAtOnce();
		});
		this.#server.close();
	}

	/** Number of requests in progress. */
	countRequests(): number {
		return this.#requestsInProgress;
	}

	/** Creates the connection of a new socket, or refuses the socket if there are too many. */
	#acceptSocket(socket: Socket): PacedConnection | undefined {
		const limited: LimitedConnection = {
			isBusy: () => connection.hasPendingResponses(),
			close() {
				paced.destroy();
			},
			getPeer: () => `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`,
		};
		if (!this.#connectionLimit.add(limited)) {
			socket.destroy();
			return undefined;
		}

		const paced: PacedConnection = new PacedConnection(socket, {
			server: this.#server,
			isFeedable: () => connection.isFeedable(),
			handleBacklog(change) {
				memory.addBytes(change);
			},
		});
		const memory = this.#memory.openShare({
			closeConnection() {
				paced.destroy();
			},
			getPeer: limited.getPeer,
		});
		const connection: CallerConnection = new CallerConnection(paced, memory, {
			isStopping: () => this.#isStopping,
			recordActivity: () => {
				this.#connectionLimit.recordActivity(limited);
			},
		});
		this.#connections.set(paced, connection);
		paced.once('close', () => {
			this.#connections.delete(paced);
			this.#connectionLimit.remove(limited);
		});
		this.#applyLimits(this.#options.releases.getConfiguration());
		return paced;
	}

	/** Returns false if the request is left unread, as its connection closes after an earlier one. */
	#acceptRequest(message: IncomingMessage, response: ServerResponse): boolean {
		const isAccepted = this.#connections.get(message.socket)?.acceptRequest(response) === true;
		this.#options.metrics.addCount('ingress_unread_requests_total', Number(!isAccepted));
		return isAccepted;
	}

	#handleRequest(message: IncomingMessage, response: ServerResponse): void {
		const connection = this.#connections.get(message.socket);
		if (!this.#acceptRequest(message, response) || connection === undefined) {
			return;
		}

		const startedAt = performance.now();
		this.#requestsInProgress++;
		response.once('close', () => {
			this.#requestsInProgress--;
			this.#options.metrics.recordDuration('request_duration_us', (performance.now() - startedAt) * usPerMs);
		});
		if (message.url?.startsWith(reservedPathPrefix)) {
			this.#updateKeepAlive(message, response);
			this.#options.handleReserved(message, response);
			return;
		}

		connection.waitToForward(response, () => {
			this.#forwardRequest({message, response, connection}, Math.round(performance.now() - startedAt));
		});
	}

	/** Forwards or refuses a request that has waited so many milliseconds for the responses before it. */
	#forwardRequest(received: ReceivedRequest, waitedMs: number): void {
		const {message, response} = received;
		this.#options.metrics.addCount('ingress_requests_total');
		this.#options.metrics.addCount('ingress_delayed_requests_total', Number(waitedMs > 0));
		checkBodyReadable(received)
			.chain(() => parseIngressRequest(message, this.#protocol))
			.chain(request => this.#admit(request))
			.chain(admitted => this.#openExchange(admitted, received, waitedMs))
			.ifLeft(failure => {
				this.#refuse(message, response, findHeader(message.rawHeaders, idempotencyHeader) === undefined ? failure : replaceUnprovenFailure(message.rawHeaders, failure));
			});
	}

	#admit(request: IngressRequest): Either<Failure, AdmittedRequest> {
		const configuration = this.#options.releases.getConfiguration();
		if (configuration.release === 0) {
			return Left(createFailure('noRelease', 'no release has been loaded yet'));
		}

		if (configuration !== this.#configuration) {
			this.#configuration = configuration;
			this.#routes = new RouteTable(configuration);
			this.#applyLimits(configuration);
		}

		return this.#routes.findRoute(request)
			.chain(route => checkBodySize(request, route))
			.chain(route => this.#options.admitRequest(request).map(terms => ({request, route, terms})));
	}

	/** Keeps idle connections open slightly longer than callers may reuse them, so that none is closed while a request arrives. */
	#applyLimits({callerLimits}: Configuration): void {
		if (callerLimits) {
			this.#server.headersTimeout = callerLimits.headerTimeoutMs;
			this.#server.keepAliveTimeout = callerLimits.idleTimeoutMs + keepAliveMarginMs;
		}
	}

	#openExchange(admitted: AdmittedRequest, {message, response, connection}: ReceivedRequest, waitedMs: number): Either<Failure, Carrier> {
		const {request, route, terms} = admitted;
		const head = createRequestHead(admitted, waitedMs, this.#options);
		if (head.remainingMs <= 0) {
			return Left(createFailure('deadlinePassed', 'an earlier response on the connection took too long'));
		}

		return this.#options.selectCarrier(request, terms).ifRight(carrier => {
			const exchange = new IngressExchange(message, response, {
				connection,
				heldBytes: this.#heldBytes,
				maxBodyBytes: route.maxBodyBytes,
				hasFractionalRetryAfter: this.#protocol.hasFractionalRetryAfter,
				recordFailure: failure => {
					this.#recordFailure(failure);
				},
			});
			this.#exchanges.add(exchange);
			response.once('close', () => {
				this.#exchanges.delete(exchange);
			});
			exchange.open(carrier, head);
			if (findHeader(message.rawHeaders, 'expect') !== undefined) {
				response.writeContinue();
			}
		});
	}

	#refuse(message: IncomingMessage, response: ServerResponse, failure: Failure): void {
		this.#recordFailure(failure);
		this.#updateKeepAlive(message, response);
		sendFailure(message, response, failure, this.#protocol.hasFractionalRetryAfter);
	}

	#updateKeepAlive({socket}: IncomingMessage, response: ServerResponse): void {
		this.#connections.get(socket)?.updateKeepAlive(response);
	}

	#recordFailure(failure: Failure): void {
		this.#options.metrics.addCount('ingress_failures_total', 1, {code: String(failure.code)});
		this.#options.logger.log('requestFailed', {code: failure.code, detail: failure.detail});
	}

	/** Handles a parse error, after which nothing more can be read from the connection. */
	#handleClientError(error: Error & {readonly code?: string}, socket: Socket): void {
		const failure = createFailure('bodyBroken', error.message);
		this.#connections.get(socket)?.recordReadFailure(failure);
		[...this.#exchanges].filter(exchange => exchange.isOnSocket(socket)).forEach(exchange => {
			exchange.failIncompleteBody(failure);
		});
		this.#refuseSocket(socket, createFailure(error.code === 'HPE_HEADER_OVERFLOW' ? 'headersTooLarge' : 'malformedRequest', error.message));
	}

	/**
	 * Refuses bytes for which there is no `ServerResponse`, and closes the connection. While responses are pending they end it
	 * instead: the caller would take the refusal, which says "not run", for the response to its first pending request.
	 */
	#refuseSocket(socket: Socket, failure: Failure): void {
		const connection = this.#connections.get(socket);
		if (connection?.hasPendingResponses() === true) {
			connection.closeAfterLastResponse();
			return;
		}

		this.#recordFailure(failure);
		if (!socket.writable) {
			socket.destroy();
			return;
		}

		socket.end(formatRawFailure(failure));
	}
}

function checkBodySize({contentLength}: IngressRequest, route: Route): Either<Failure, Route> {
	return contentLength !== undefined && contentLength > route.maxBodyBytes
		? Left(createFailure('bodyTooLarge', `the body has ${contentLength} bytes, the route accepts at most ${route.maxBodyBytes}`))
		: Right(route);
}

/** Fails when the body can't be completed any more, as the rest of the connection could not be read. */
function checkBodyReadable({message, connection}: ReceivedRequest): Either<Failure, IncomingMessage> {
	const failure = connection.getReadFailure();
	return failure && !message.complete ? Left(failure) : Right(message);
}

function createRequestHead({request, route, terms}: AdmittedRequest, waitedMs: number, {getCallerService, findCause}: Pick<IngressOptions, 'getCallerService' | 'findCause'>): RequestHead {
	const callerService = getCallerService?.();
	const cause = request.requestId === undefined ? undefined : findCause?.(request.requestId);
	const timeoutsMs = [request.timeoutMs, terms?.timeoutMs, route.timeoutMs].filter(bound => bound !== undefined);
	return {
		requestId: request.requestId ?? createRandomId(),
		target: request.idempotencyKey === undefined ? {kind: 'egress', serverId: ''} : {kind: 'sequencer'},
		service: pickService(route, Math.random()),
		method: request.method,
		path: request.path,
		headers: request.headers,
		remainingMs: Math.min(...timeoutsMs) - waitedMs,
		isRepeatable: isRepeatable(route, request.method),
		organisation: terms?.organisation ?? '',
		route: route.name,
		...(route.priority !== undefined && {priority: route.priority}),
		...(route.maxAttempts !== undefined && {maxAttempts: route.maxAttempts}),
		...(route.objectiveMs !== undefined && {objectiveMs: route.objectiveMs}),
		...(callerService !== undefined && {callerService}),
		...(cause !== undefined && {cause}),
		...(request.idempotencyKey !== undefined && {idempotencyKey: request.idempotencyKey}),
	};
}
