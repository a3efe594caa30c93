/** A fleet without a network whose only backend server names a limit: real routers, and the real limit at its egress. */
import {
	Carrier, createFailure, Exchange, MetricRegistry, SilentLogger, type ExchangeHandler, type Failure, type RequestHead,
} from '@limpetbarrow/core';
import {type Candidate} from '@limpetbarrow/choose';
import {RequestRouter, VerifyingServerProtocol} from '../index.js';
import {ServerLimit} from '../backend/server-limit.js';
import {testServerHeaders} from './raw-backend.js';

/** A request that reached the backend server. */
export type Arrival = {
	readonly at: number;
	/** Index of the host on which the request began. */
	readonly origin: number;
};

const workMs = 50;
const linkMs = 5;
const serverId = 'server-1';
const nodeId = 'node-0';
const idleLoad = {serverId, freeSlots: 1, queued: 0};
const protocol = new VerifyingServerProtocol(testServerHeaders);

class ModelExchange extends Exchange {
	readonly #handleBodyEnd: () => void;

	constructor(handleBodyEnd: () => void) {
		super();
		this.#handleBodyEnd = handleBodyEnd;
	}

	override writeBody(): void {
		// Requests have no body.
	}

	override endBody(): void {
		this.#handleBodyEnd();
	}

	override grantCredit(): void {
		// Responses have no body.
	}

	override cancel(): void {
		// Requests are not cancelled.
	}
}

/** The egress beside the backend server; `isOlderBuild` makes it one that knows no limits. */
class LimitedEgress {
	isOlderBuild = false;
	isCutOff = false;
	/** Rate that the backend server names, in requests a second; undefined for none. */
	limit: number | undefined;
	arrivals: readonly Arrival[] = [];
	#serverLimit = this.#createLimit();

	/** Starts the process anew, which knows nothing of before. */
	replaceProcess(): void {
		this.#serverLimit = this.#createLimit();
	}

	openExchange(head: RequestHead, handler: ExchangeHandler, origin: number): Exchange {
		const limit = this.#serverLimit;
		limit.recordRequest(head);
		const waitMs = this.isOlderBuild ? 0 : limit.computeWait(head);
		const refusal = this.isCutOff ? createFailure('linkUnreachable', 'cut off') : (waitMs > 0 ? createFailure('queueFull', 'no room', waitMs) : undefined);
		setTimeout(() => {
			if (refusal) {
				handler.handleFailure(refusal);
			} else {
				handler.handleAccepted?.();
			}
		}, linkMs);
		return new ModelExchange(() => {
			if (!refusal) {
				this.#run(limit, handler, origin);
			}
		});
	}

	#run(limit: ServerLimit, handler: ExchangeHandler, origin: number): void {
		limit.recordSend();
		this.arrivals = [...this.arrivals, {at: performance.now(), origin}];
		setTimeout(() => {
			const named = {headers: this.limit === undefined ? [] : [testServerHeaders.limit, String(this.limit)]};
			limit.applyNamedLimit(protocol.findLimit(named)!);
			const load = this.isOlderBuild ? {} : {load: {...idleLoad, ...limit.createHint()}};
			handler.handleHead({...named, ...load, status: 200});
			handler.handleEnd();
		}, workMs);
	}

	#createLimit(): ServerLimit {
		return new ServerLimit(() => undefined);
	}
}

class EgressLink extends Carrier {
	readonly #egress: LimitedEgress;
	readonly #origin: number;

	constructor(egress: LimitedEgress, origin: number) {
		super();
		this.#egress = egress;
		this.#origin = origin;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		return this.#egress.openExchange(head, handler, this.#origin);
	}
}

/** Hosts that send requests to one backend server. The clock must be paused. */
export class LimitedFleet {
	readonly egress = new LimitedEgress();
	failures: readonly Failure[] = [];
	servedCount = 0;
	readonly #routers: readonly RequestRouter[];

	constructor(hosts: number) {
		const candidate: Candidate = {
			nodeId,
			placement: {region: 'r', failureDomain: 'a'},
			server: {
				id: serverId, service: 'desk', slots: 3, state: 'ready', generation: 1, badness: 0,
			},
		};
		this.#routers = Array.from({length: hosts}, (_, index) => {
			const link = new EgressLink(this.egress, index);
			return new RequestRouter({
				self: {id: `node-${index + 1}`, placement: {region: 'r', failureDomain: 'b'}},
				directory: {listCandidates: () => [candidate]},
				findEgress: () => link,
				findLocalLoad: () => undefined,
				findLimit: head => protocol.findLimit(head),
				countNodes: () => hosts,
				metrics: new MetricRegistry(),
				logger: new SilentLogger(),
				pickRandom: () => 0.5,
			});
		});
	}

	/** Sends one request from a host. */
	send(host: number, fields: Partial<RequestHead> = {}): void {
		this.#routers[host % this.#routers.length]!.openExchange({
			requestId: 'r', target: {kind: 'egress', serverId: ''}, service: 'desk', method: 'GET', path: '/', headers: [], remainingMs: 2000, objectiveMs: 800,
			maxAttempts: 2, isRepeatable: true, organisation: '', ...fields,
		}, {
			handleHead() {
				// The end is counted.
			},
			handleData() {
				// Responses have no body.
			},
			handleCredit() {
				// Requests have no body.
			},
			handleEnd: () => {
				this.servedCount++;
			},
			handleFailure: failure => {
				this.failures = [...this.failures, failure];
			},
		}).endBody();
	}
}
