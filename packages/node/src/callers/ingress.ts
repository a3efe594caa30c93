/** The HTTP server for callers' requests. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as TcpServer, type Socket} from 'node:net';
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, findHeader, idempotencyHeader, maxHeaderBytes, reservedPathPrefix,
	type Address, type Carrier, type Failure, type LogFields, type Logger, type MetricRegistry, type ResultName,
} from '@limpetbarrow/core';
import {RouteTable} from '@limpetbarrow/choose';
import {type Terms} from '@limpetbarrow/limits';
import {type Configuration, type ReleaseState, type Route} from '@limpetbarrow/releases';
import {replaceUnprovenFailure} from '../terms/keyed-request.js';
import {listenServer} from '../operators/listen-server.js';
import {type CallerIdentifier, type CallerIdentity} from './caller-identity.js';
import {type CallerConnection} from './caller-connection.js';
import {CallerConnections} from './caller-connections.js';
import {HeldBytes} from './held-bytes.js';
import {formatRawFailure, sendFailure} from './http-responses.js';
import {createRequestHead, type AdmittedRequest, type RequestOrigin} from './ingress-head.js';
import {IngressExchange} from './ingress-exchange.js';
import {
	defaultCallerProtocol, parseIngressRequest, type CallerProtocol, type IngressRequest,
} from './ingress-request.js';
import {type HandlePermit, type OrganisationQuotas} from './organisation-quotas.js';
import {computeResourceLimits, type ResourceLimits} from './resource-limits.js';

/** Checks a request against the caller's terms; returns undefined terms when the caller has none. */
export type AdmitRequest = (request: IngressRequest) => Either<Failure, Terms | undefined>;

/** Selects the carrier of a request: the home node of its key, or the forwarder. */
export type SelectCarrier = (request: IngressRequest, terms: Terms | undefined) => Either<Failure, Carrier>;

/** Answers a request for a path that the node serves itself. */
export type HandleReserved = (message: IncomingMessage, response: ServerResponse) => void;

/** Dependencies of an ingress. */
export type IngressOptions = RequestOrigin & {
	readonly releases: ReleaseState;
	readonly admitRequest: AdmitRequest;
	readonly selectCarrier: SelectCarrier;
	readonly handleReserved: HandleReserved;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
	readonly protocol?: CallerProtocol;
	/** Identifies callers by their keys; without it, requests carry none. */
	readonly identifier?: CallerIdentifier;
	/** Holds requests to the quotas of their organisations; without it, there are none. */
	readonly quotas?: OrganisationQuotas;
	/** Returns what this node knows of how current its configuration is, for the log lines of requests that it doesn't know. */
	readonly getKnowledge?: () => LogFields;
	/** True while a newer configuration than the one in force may exist; without it, that is never known. */
	readonly isOutdated?: () => boolean;
	/** Bounds of what is held for callers; by default, those of the process's heap. */
	readonly limits?: ResourceLimits;
};

type ReceivedRequest = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	readonly connection: CallerConnection;
	/** Monotonic time, in milliseconds. */
	readonly receivedAt: number;
};

const usPerMs = 1000;
/** Time that an idle connection is kept open beyond the idle timeout announced to callers, in milliseconds. */
const keepAliveMarginMs = 1000;
/** Time between two checks for heads that take too long, in milliseconds. */
const connectionsCheckPeriodMs = 1000;

/** Failures of requests that a newer configuration may allow. */
const unknownRequestNames: ReadonlySet<ResultName> = new Set(['unknownRoute', 'keyInvalid']);
/** Least time between two log lines about such requests, in milliseconds. */
const unknownLogPeriodMs = 100;
/** Time after which a request may come again that a newer configuration may allow, in milliseconds: most changes are in force everywhere by then. */
const outdatedRetryMs = 1000;

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
	readonly #connections: CallerConnections;
	#requestsInProgress = 0;
	#unknownLoggedAt = Number.NEGATIVE_INFINITY;
	#isStopping = false;

	constructor(options: IngressOptions) {
		this.#options = options;
		this.#protocol = options.protocol ?? defaultCallerProtocol;
		const {metrics, logger, limits = computeResourceLimits()} = options;
		this.#heldBytes = new HeldBytes(metrics);
		this.#server = createServer({
			maxHeaderSize: maxHeaderBytes, noDelay: true, requireHostHeader: false, connectionsCheckingInterval: connectionsCheckPeriodMs,
		}, (message, response) => {
			this.#handleRequest(message, response);
		});
		// By default, Node's `http` drops the lines behind the first 1,000. The size of the head bounds their number.
		this.#server.maxHeadersCount = 0;
		this.#connections = new CallerConnections({
			server: this.#server, limits, isStopping: () => this.#isStopping, metrics, logger,
		});
		this.#server.on('connection', () => {
			this.#applyLimits(options.releases.getConfiguration());
		});
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
			// Nothing else reads a connection that the HTTP server has handed over, and its end would go unnoticed.
			socket.resume();
		});
		// Without a listener, the HTTP server closes idle connections at once, whether their last response has arrived or not.
		this.#server.on('timeout', (socket: Socket) => {
			this.#connections.findConnection(socket)?.closeIfIdle();
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
		this.#connections.closeIdle();
	}

	/** Number of open connections of callers. */
	countConnections(): number {
		return this.#connections.countConnections();
	}

	/** Number of connections that are being closed and whose callers may still be reading the last response. */
	countDelivering(): number {
		return this.#connections.countDelivering();
	}

	/** Ends the requests in progress. Any of them may have run. */
	failRequests(): void {
		[...this.#exchanges].forEach(exchange => {
			exchange.fail(createFailure('answerTimeout', 'the node stops'));
		});
	}

	/** Closes all connections at once, whatever is in progress on them. */
	close(): void {
		this.#connections.close();
		this.#server.close();
	}

	/** Number of requests in progress. */
	countRequests(): number {
		return this.#requestsInProgress;
	}

	/** Returns false if the request is left unread, as its connection closes after an earlier one. */
	#acceptRequest(message: IncomingMessage, response: ServerResponse): boolean {
		const isAccepted = this.#connections.findConnection(message.socket)?.acceptRequest(response) === true;
		this.#options.metrics.addCount('ingress_unread_requests_total', Number(!isAccepted));
		return isAccepted;
	}

	#handleRequest(message: IncomingMessage, response: ServerResponse): void {
		const connection = this.#connections.findConnection(message.socket);
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
			this.#forwardRequest({
				message, response, connection, receivedAt: startedAt,
			});
		});
	}

	/** Forwards or refuses a request whose turn it is. */
	#forwardRequest(received: ReceivedRequest): void {
		const {message, response} = received;
		const refuse = (failure: Failure): void => {
			this.#refuse(message, response, findHeader(message.rawHeaders, idempotencyHeader) === undefined ? failure : replaceUnprovenFailure(message.rawHeaders, failure));
		};

		this.#options.metrics.addCount('ingress_requests_total');
		this.#options.metrics.addCount('ingress_delayed_requests_total', Number(computeWaitedMs(received) > 0));
		checkBodyReadable(received)
			.chain(() => parseIngressRequest(message, this.#protocol))
			.chain(request => this.#admit(request))
			.ifRight(admitted => {
				this.#takePermit(admitted, response, permit => {
					permit.chain(() => this.#openExchange(admitted, received)).ifLeft(refuse);
				});
			})
			.ifLeft(refuse);
	}

	/** Takes a permit from the quota of the request's organisation, if it has one. A caller that leaves meanwhile takes none. */
	#takePermit({identity}: AdmittedRequest, response: ServerResponse, handlePermit: HandlePermit): void {
		const {quotas} = this.#options;
		const organisation = identity?.organisation;
		if (!quotas || organisation?.ratePerSecond === undefined) {
			handlePermit(Right(undefined));
			return;
		}

		response.once('close', quotas.takePermit(organisation, handlePermit));
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
			.chain(route => this.#findIdentity(request, route, configuration).map(identity => ({route, identity})))
			.mapLeft(failure => this.#replaceUnknown(failure))
			.chain(({route, identity}) => this.#options.admitRequest(request).map(terms => ({
				request, route, terms, identity,
			})));
	}

	/** Replaces the final refusal of an unknown route or key while a newer configuration may have it. */
	#replaceUnknown(failure: Failure): Failure {
		return unknownRequestNames.has(failure.name) && this.#options.isOutdated?.() === true
			? createFailure('releaseBehind', `${failure.detail} in the configuration in force, which may not be the newest`, outdatedRetryMs)
			: failure;
	}

	#findIdentity(request: IngressRequest, route: Route, configuration: Configuration): Either<Failure, CallerIdentity | undefined> {
		return this.#options.identifier?.findIdentity(request, route, configuration) ?? Right(undefined);
	}

	/** Keeps idle connections open slightly longer than callers may reuse them, so that none is closed while a request arrives. */
	#applyLimits({callerLimits}: Configuration): void {
		if (callerLimits) {
			this.#server.headersTimeout = callerLimits.headerTimeoutMs;
			this.#server.keepAliveTimeout = callerLimits.idleTimeoutMs + keepAliveMarginMs;
		}
	}

	#openExchange(admitted: AdmittedRequest, received: ReceivedRequest): Either<Failure, Carrier> {
		const {message, response, connection} = received;
		const {request, route, terms, identity} = admitted;
		const head = createRequestHead(admitted, computeWaitedMs(received), this.#options);
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
					this.#releasePermit(identity, failure);
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

	/** Gives back the permit of a request that has not run. */
	#releasePermit(identity: CallerIdentity | undefined, {ran}: Failure): void {
		if (ran === 'not-run' && identity?.organisation?.ratePerSecond !== undefined) {
			this.#options.quotas?.releasePermit(identity.organisation);
		}
	}

	#refuse(message: IncomingMessage, response: ServerResponse, failure: Failure): void {
		this.#recordFailure(failure);
		this.#updateKeepAlive(message, response);
		sendFailure(message, response, failure, this.#protocol.hasFractionalRetryAfter);
	}

	#updateKeepAlive({socket}: IncomingMessage, response: ServerResponse): void {
		this.#connections.findConnection(socket)?.updateKeepAlive(response);
	}

	#recordFailure(failure: Failure): void {
		this.#options.metrics.addCount('ingress_failures_total', 1, {code: String(failure.code)});
		this.#options.logger.log('requestFailed', {code: failure.code, detail: failure.detail});
		if (unknownRequestNames.has(failure.name) || failure.name === 'releaseBehind') {
			this.#logUnknownRequest(failure, performance.now());
		}
	}

	/** Logs an unknown request without what its sender wrote, and not each one of many: anyone can send them. */
	#logUnknownRequest({code}: Failure, now: number): void {
		if (now - this.#unknownLoggedAt >= unknownLogPeriodMs) {
			this.#unknownLoggedAt = now;
			this.#options.logger.log('requestUnknown', {code, ...this.#options.getKnowledge?.()});
		}
	}

	/** Handles a parse error, after which nothing more can be read from the connection. */
	#handleClientError(error: Error & {readonly code?: string}, socket: Socket): void {
		const failure = createFailure('bodyBroken', error.message);
		this.#connections.findConnection(socket)?.recordReadFailure(failure);
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
		const connection = this.#connections.findConnection(socket);
		if (connection?.hasPendingResponses() === true) {
			connection.closeAfterLastResponse();
			return;
		}

		this.#recordFailure(failure);
		if (connection) {
			connection.closeWith(formatRawFailure(failure));
		} else {
			socket.destroy();
		}
	}
}

/** Time since the request was received, in milliseconds: it may have waited for earlier responses and for a permit. */
function computeWaitedMs({receivedAt}: ReceivedRequest): number {
	return Math.round(performance.now() - receivedAt);
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
