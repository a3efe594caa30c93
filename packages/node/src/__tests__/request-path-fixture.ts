/**
 * The whole request path in one process: caller's socket, ingress, link, egress and a scripted backend server that records
 * the requests it receives.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {Right} from 'purify-ts';
import {
	Carrier, Exchange, MetricRegistry, SilentLogger, type Address, type ExchangeHandler, type RequestHead,
} from '@limpetbarrow/core';
import {LinkPool, LinkServer} from '@limpetbarrow/link';
import {type AnnouncedServer} from '@limpetbarrow/members';
import {ReleaseState, releaseNoteSchema} from '@limpetbarrow/releases';
import {TcpRelay} from '@limpetbarrow/stand-ins';
import {sendFailure} from '../callers/http-responses.js';
import {BackendServer} from '../backend/backend-server.js';
import {Ingress} from '../callers/ingress.js';

/** Handles a request that the scripted backend server received. */
export type BackendHandler = (request: IncomingMessage, response: ServerResponse) => void;

const host = '127.0.0.1';
const identity = {id: 'two', incarnation: 1};
const slots = 2;
const queueLimit = 2;

/** Counts the body bytes of an exchange that were sent and for which no new credit has been granted yet. */
class CountingExchange extends Exchange {
	readonly #inner: Exchange;
	readonly #owner: CountingCarrier;

	constructor(inner: Exchange, owner: CountingCarrier) {
		super();
		this.#inner = inner;
		this.#owner = owner;
	}

	override writeBody(chunk: Uint8Array): void {
		this.#owner.addRequestBytes(chunk.length);
		this.#inner.writeBody(chunk);
	}

	override endBody(): void {
		this.#inner.endBody();
	}

	override grantCredit(bytes: number): void {
		this.#owner.addResponseBytes(-bytes);
		this.#inner.grantCredit(bytes);
	}

	override cancel(): void {
		this.#inner.cancel();
	}
}

/** Forwards requests to the backend server and counts the body bytes in flight in both directions. */
class CountingCarrier extends Carrier {
	requestBytesInFlight = 0;
	maxRequestBytesInFlight = 0;
	responseBytesInFlight = 0;
	maxResponseBytesInFlight = 0;
	requestBytesTotal = 0;
	responseBytesTotal = 0;
	readonly #findBackend: () => BackendServer;

	constructor(findBackend: () => BackendServer) {
		super();
		this.#findBackend = findBackend;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		return new CountingExchange(this.#findBackend().openExchange(head, {
			...handler,
			handleData: chunk => {
				this.addResponseBytes(chunk.length);
				handler.handleData(chunk);
			},
			handleCredit: bytes => {
				this.addRequestBytes(-bytes);
				handler.handleCredit(bytes);
			},
		}, queueLimit), this);
	}

	addRequestBytes(bytes: number): void {
		this.requestBytesTotal += Math.max(0, bytes);
		this.requestBytesInFlight += bytes;
		this.maxRequestBytesInFlight = Math.max(this.maxRequestBytesInFlight, this.requestBytesInFlight);
	}

	addResponseBytes(bytes: number): void {
		this.responseBytesTotal += Math.max(0, bytes);
		this.responseBytesInFlight += bytes;
		this.maxResponseBytesInFlight = Math.max(this.maxResponseBytesInFlight, this.responseBytesInFlight);
	}
}

function createReleases(): ReleaseState {
	const releases = new ReleaseState();
	const note = releaseNoteSchema.parse({
		id: 'first',
		operator: 'test',
		base: 0,
		added: {
			services: [{name: 'fitting-desk'}],
			routes: [
				{
					name: 'small', pathPrefix: '/small', service: 'fitting-desk', maxBodyBytes: 1000,
				},
				{
					name: 'desk', pathPrefix: '/desk', service: 'fitting-desk', maxBodyBytes: 67_108_864, methods: ['GET', 'HEAD', 'POST', 'OPTIONS'],
				},
			],
		},
	});
	releases.apply([{number: 1, acceptedAt: 0, note}]);
	return releases;
}

async function listen(server: Server): Promise<Address> {
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	return {host, port: (server.address() as AddressInfo).port};
}

/** Starts and stops the request path. */
export class RequestPathFixture {
	/** Requests that the backend server started to run, as method and path. */
	readonly receivedRequests: string[] = [];
	readonly metrics = new MetricRegistry();
	readonly carrier = new CountingCarrier(() => this.backend);
	readonly #sockets = new Set<Socket>();
	readonly #links = new LinkPool({id: 'one', incarnation: 1});
	readonly #linkServer = new LinkServer(identity, () => this.carrier, new SilentLogger());
	readonly #server = createServer({keepAliveTimeout: 60_000}, (request, response) => {
		this.receivedRequests.push(`${request.method ?? ''} ${request.url ?? ''}`);
		this.handleBackendRequest(request, response);
	});

	#announced: AnnouncedServer | undefined;
	#backend: BackendServer | undefined;
	#relay: TcpRelay | undefined;
	#ingress: Ingress | undefined;
	#address: Address | undefined;

	handleBackendRequest: BackendHandler = (_request, response) => {
		response.end('ok');
	};

	get backend(): BackendServer {
		return this.#backend!;
	}

	/** TCP relay between the egress and the backend server. */
	get relay(): TcpRelay {
		return this.#relay!;
	}

	async start(): Promise<void> {
		this.#relay = new TcpRelay(await listen(this.#server));
		this.#announced = {
			id: 's1', service: 'fitting-desk', address: await this.#relay.listen(), slots, generation: 1, isLeaving: false, maxConnections: 400, expiresAt: Infinity,
		};
		this.#backend = new BackendServer(this.#announced, {
			recordOutcome() {
				// These tests don't check the recorded outcomes.
			},
			reportExcess() {
				// Nor what arrives beyond a response.
			},
			reportEnd() {
				// Nor how the end of a response was judged.
			},
		});
		const address = await this.#linkServer.listen({host, port: 0});
		this.#ingress = new Ingress({
			releases: createReleases(),
			admitRequest: () => Right(undefined),
			selectCarrier: () => Right(this.#links.getLink({identity, address})),
			handleReserved(message, response) {
				sendFailure(message, response, {
					name: 'unknownRoute', code: 1004, status: 404, ran: 'not-run', resend: 'never', detail: '',
				});
			},
			metrics: this.metrics,
			logger: new SilentLogger(),
		});
		this.#address = await this.#ingress.listen({host, port: 0});
	}

	/** Announces the backend server again with changed fields. */
	announce(changes: Partial<AnnouncedServer>): void {
		this.#announced = {...this.#announced!, ...changes};
		this.backend.applyAnnouncement(this.#announced);
	}

	async stop(): Promise<void> {
		this.#sockets.forEach(socket => {
			socket.destroy();
		});
		this.#ingress?.close();
		this.#links.close();
		await this.#linkServer.close();
		await this.backend.close();
		await this.relay.close();
		this.closeBackend();
	}

	closeBackend(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	closeIdleBackendConnections(): void {
		this.#server.closeIdleConnections();
	}

	getUrl(path: string): string {
		return `http://${host}:${this.#address!.port}${path}`;
	}

	/** Opens a caller's connection. */
	connect(): Socket {
		const socket = connect(this.#address!.port, host);
		this.#sockets.add(socket);
		socket.on('error', () => {
			// Tests check the bytes received, not socket errors.
		});
		return socket;
	}

	/** Sends raw bytes and returns everything received until the connection closes. */
	async sendRaw(text: string): Promise<string> {
		const socket = this.connect();
		const chunks: Uint8Array[] = [];
		socket.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		socket.write(text, 'latin1');
		await new Promise<void>(resolve => {
			socket.once('close', () => {
				resolve();
			});
		});
		return Buffer.concat(chunks).toString('latin1');
	}
}

/** Joins lines with CRLF. */
export function formatLines(...lines: readonly string[]): string {
	return lines.join('\r\n');
}
