/**
 * A fleet without a network, for tests of policies under a load: the real router on each host, and backend servers that fail
 * for spells behind the real admission control. Time is the paused clock's.
 */
import {MetricRegistry, SilentLogger} from '@limpetbarrow/core';
import {RequestRouter} from '../index.js';
import {ModelServer, type FleetModelOptions} from './model-server.js';

/** What became of the requests of a model. */
export type FleetModelResult = {
	readonly sent: number;
	readonly served: number;
	/** Requests that were answered with a server error. */
	readonly failed: number;
	readonly refused: number;
};

const randomFactor = 48_271;
const randomModulus = 2_147_483_647;

/** Sends requests from the hosts of a fleet and counts what becomes of them. The clock must be paused. */
export class FleetModel {
	readonly #options: FleetModelOptions;
	readonly #servers: readonly ModelServer[];
	readonly #routers: readonly RequestRouter[];
	#randomState: number;
	#result: FleetModelResult = {
		sent: 0, served: 0, failed: 0, refused: 0,
	};

	constructor(options: FleetModelOptions) {
		this.#options = options;
		this.#randomState = options.seed;
		this.#servers = Array.from({length: options.serverCount}, (_, index) => new ModelServer(index, options, () => this.#pickRandom()));
		const candidates = this.#servers.map(({candidate}) => candidate);
		const serversByNode = new Map(this.#servers.map(server => [server.candidate.nodeId, server]));
		this.#routers = candidates.map(({nodeId, placement}) => new RequestRouter({
			self: {id: nodeId, placement},
			directory: {listCandidates: () => candidates},
			findEgress: id => serversByNode.get(id),
			findLocalLoad: () => undefined,
			metrics: new MetricRegistry(),
			logger: new SilentLogger(),
			pickRandom: () => this.#pickRandom(),
		}));
	}

	/** Sends one request from a random host. */
	send(isRepeatable: boolean): void {
		const router = this.#routers[Math.floor(this.#pickRandom() * this.#routers.length)]!;
		const {objectiveMs, timeoutMs} = this.#options;
		let status = 0;
		this.#count('sent');
		router.openExchange({
			requestId: String(this.#result.sent), target: {kind: 'egress', serverId: ''}, service: 'bank', method: 'GET', path: '/', headers: [], remainingMs: timeoutMs,
			isRepeatable, organisation: '', objectiveMs, maxAttempts: 2,
		}, {
			handleHead(head) {
				status = head.status;
			},
			handleData() {
				// Responses have no body.
			},
			handleCredit() {
				// Requests have no body.
			},
			handleEnd: () => {
				this.#count(status === 200 ? 'served' : 'failed');
			},
			handleFailure: () => {
				this.#count('refused');
			},
		}).endBody();
	}

	getResult(): FleetModelResult {
		return this.#result;
	}

	countRetries(): number {
		return this.#servers.reduce((sum, {retryCount}) => sum + retryCount, 0);
	}

	/** Number of failures at backend servers that were known to be failing. */
	countLastResortFailures(): number {
		return this.#servers.reduce((sum, {lastResortFailures}) => sum + lastResortFailures, 0);
	}

	#count(name: keyof FleetModelResult): void {
		this.#result = {...this.#result, [name]: this.#result[name] + 1};
	}

	#pickRandom(): number {
		this.#randomState = (this.#randomState * randomFactor) % randomModulus;
		return this.#randomState / randomModulus;
	}
}
