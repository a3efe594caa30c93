/** Routes requests to backend servers anywhere in the fleet, preferring near ones. */
import {
	Carrier, type Exchange, type ExchangeHandler, type LoadHint, type Logger, type MetricRegistry, type Placement, type RequestHead, type RequestTarget, type ResponseHead, type ServerRecord,
} from '@limpetbarrow/core';
import {
	chooseNextServer, findTier, PathHealth, type Candidate, type SpilloverChoice, type SpilloverCandidate,
} from '@limpetbarrow/choose';
import {type NamedLimit} from '../backend/server-protocol.js';
import {type FindEgress} from './forwarder.js';
import {HeardDepartures} from './heard-departures.js';
import {KnownLimits} from './known-limits.js';
import {getRank, LoadTracker} from './load-tracker.js';
import {PausedRequests} from './paused-requests.js';
import {RequestTimeLimits} from './request-time-limits.js';
import {RoutedExchange} from './routed-exchange.js';
import {type RoutedRequest} from './routed-request.js';
import {type ServerDirectory} from './server-directory.js';

/** Dependencies of a request router. */
export type RequestRouterOptions = {
	readonly self: {readonly id: string; readonly placement: Placement};
	readonly directory: Pick<ServerDirectory, 'listCandidates'>;
	readonly findEgress: FindEgress;
	/** Returns the load that a request would meet at a backend server on this host. */
	readonly findLocalLoad: (serverId: string, head: RequestHead) => LoadHint | undefined;
	/** Called when the backend server of this host begins a call, and when the call has ended. */
	readonly recordCallStart?: (requestId: string) => void;
	readonly recordCallEnd?: (requestId: string, isServed: boolean) => void;
	/** Returns the limit that a response names; undefined if backend servers name none. */
	readonly findLimit?: (head: ResponseHead) => NamedLimit | undefined;
	/** True when a response says that its backend server leaves. */
	readonly isLeaving?: (head: ResponseHead) => boolean;
	/** Returns the number of nodes that send requests to the backend servers. */
	readonly countNodes?: () => number;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
	/** Returns a random number from 0 to below 1. */
	readonly pickRandom?: () => number;
};

/**
 * Maximum time that a failed path is avoided before one request probes it, in milliseconds; the probe delays that request
 * slightly.
 */
const maxPathBackOffMs = 2000;
/** Time from its start in which a node may lack the records of other nodes, in milliseconds. */
const joiningMs = 3000;

/** Chooses backend servers and tracks load and path health across requests; each request is a `RoutedExchange`. */
export class RequestRouter extends Carrier {
	readonly #options: RequestRouterOptions;
	readonly #loadTracker = new LoadTracker();
	readonly #knownLimits = new KnownLimits();
	readonly #departures = new HeardDepartures();
	readonly #pathHealth = new PathHealth(maxPathBackOffMs);
	readonly #pausedRequests: PausedRequests;
	readonly #pickRandom: () => number;
	readonly #startedAt = performance.now();
	readonly #openExchanges = new Set<RoutedExchange>();
	readonly #timeLimits = new RequestTimeLimits();

	constructor(options: RequestRouterOptions) {
		super();
		this.#options = options;
		this.#pausedRequests = new PausedRequests(options.metrics);
		this.#pickRandom = options.pickRandom ?? Math.random;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const exchange: RoutedExchange = new RoutedExchange(head, handler, {
			chooseNextStep: request => this.#chooseNextStep(request),
			hasCandidate: request => this.#hasCandidate(request),
			createTarget: serverId => this.#createTarget(serverId),
			recordResponseHead: (server, responseHead) => {
				this.#recordResponseHead(server, responseHead);
			},
			timeLimits: this.#timeLimits,
			findEgress: this.#options.findEgress,
			loadTracker: this.#loadTracker,
			pathHealth: this.#pathHealth,
			pausedRequests: this.#pausedRequests,
			metrics: this.#options.metrics,
			logger: this.#options.logger,
			pickRandom: this.#pickRandom,
			handleFinished: isServed => {
				this.#openExchanges.delete(exchange);
				if (head.cause !== undefined) {
					this.#options.recordCallEnd?.(head.requestId, isServed);
				}
			},
		});
		this.#openExchanges.add(exchange);
		if (head.cause !== undefined) {
			this.#options.recordCallStart?.(head.requestId);
		}

		return exchange;
	}

	/**
	 * Limits all requests to the time until `lastAnswerAt` (monotonic time, in milliseconds), and refuses those that can't be
	 * answered by then instead of passing them on.
	 */
	startStopping(lastAnswerAt: number): void {
		this.#timeLimits.startStopping(lastAnswerAt);
	}

	/** Ends the requests in progress at once, each with a failure that says whether it may have run. */
	failRequests(): void {
		[...this.#openExchanges].forEach(exchange => {
			exchange.failForStop();
		});
	}

	#chooseNextStep(request: RoutedRequest): SpilloverChoice | undefined {
		const {head} = request;
		const now = performance.now();
		const eligible = this.#listCandidates(request).filter(({server}) => request.isEligible(server.id));
		const views = this.#selectWithinLimits(this.#selectReachable(eligible, now), request, now).map(candidate => this.#createSpillView(candidate, request));
		const objectiveMs = head.objectiveMs ?? head.remainingMs;
		// A late call is worth as much as one in time: the request that waits for it is lost without it.
		const objectiveLeftMs = head.cause === undefined ? objectiveMs - request.getElapsedMs(now) : request.getRemainingMs(now);
		return chooseNextServer(views, {
			isRetryable: head.isRepeatable && request.hasAttemptLeftAfterNext(), objectiveMs, objectiveLeftMs,
		}, this.#pickRandom);
	}

	/** Lists the backend servers of the service that aren't leaving, also those that can't be reached now. */
	#listCandidates({head}: RoutedRequest): readonly Candidate[] {
		return this.#options.directory.listCandidates(head.service).filter(({server}) => server.state !== 'leaving' && !this.#departures.hasLeft(server));
	}

	/** True when a backend server may take the request later. A young node may lack the records of the nodes that have one. */
	#hasCandidate(request: RoutedRequest): boolean {
		const candidates = this.#listCandidates(request);
		const isJoining = candidates.length === 0 && performance.now() - this.#startedAt < joiningMs;
		return isJoining || candidates.some(({server}) => !request.hasAttempted(server.id));
	}

	/**
	 * Selects the candidates on healthy paths. An isolated node uses only its own host; if all paths have failed recently, no
	 * candidate is excluded, as none is better than another.
	 */
	#selectReachable(candidates: readonly Candidate[], now: number): readonly Candidate[] {
		if (this.#pathHealth.isIsolated(now)) {
			return candidates.filter(({nodeId}) => nodeId === this.#options.self.id);
		}

		const reachable = candidates.filter(({nodeId}) => !this.#pathHealth.isAvoided(nodeId, now));
		return reachable.length > 0 ? reachable : candidates;
	}

	/** Selects the candidates for which this node's share of their limit has room now; the request learns of the others. */
	#selectWithinLimits(candidates: readonly Candidate[], request: RoutedRequest, now: number): readonly Candidate[] {
		const {priority = Number.POSITIVE_INFINITY, cause} = request.head;
		const isRepeat = request.countAttempts() > 0 || cause === 'repeatedCall';
		const waits = candidates.map(candidate => this.#knownLimits.computeWait(candidate.server.id, {priority, isRepeat}, now));
		const open = candidates.filter((_, index) => waits[index] === 0);
		if (open.length === 0 && candidates.length > 0) {
			request.recordLimits(Math.min(...waits));
		}

		return open;
	}

	#createTarget(serverId: string): RequestTarget {
		const now = performance.now();
		const knownLimit = this.#knownLimits.findToldLimit(serverId, now);
		this.#knownLimits.recordSend(serverId, now);
		return {kind: 'egress', serverId, ...(knownLimit !== undefined && {knownLimit})};
	}

	#recordResponseHead({id: serverId, generation}: ServerRecord, head: ResponseHead): void {
		if (this.#options.isLeaving?.(head) === true && this.#departures.recordDeparture({id: serverId, generation})) {
			this.#options.logger.log('departureHeard', {server: serverId, generation});
		}

		const limit = this.#options.findLimit?.(head);
		if (limit) {
			const report = {
				serverId, limit, load: head.load, nodes: this.#options.countNodes?.() ?? 1,
			};
			this.#knownLimits.recordResponse(report, performance.now());
		}
	}

	#createSpillView(candidate: Candidate, request: RoutedRequest): SpilloverCandidate {
		const {server} = candidate;
		const tier = findTier(this.#options.self, candidate);
		const hint = tier === 'host' ? this.#options.findLocalLoad(server.id, request.head) : this.#loadTracker.getHint(server.id, getRank(request.head));
		const inFlight = this.#loadTracker.countInFlight(server.id);
		const workMs = hint?.workMs;
		const estimatedQueueMs = Math.max(0, inFlight + 1 - server.slots) * (workMs ?? 0) / server.slots;
		return {
			candidate,
			tier,
			waitMs: hint?.waitMs === undefined && estimatedQueueMs === 0 ? undefined : Math.max(hint?.waitMs ?? 0, estimatedQueueMs),
			workMs,
			isUnwell: hint?.isUnwell ?? false,
			isShedding: hint?.isShedding ?? false,
			refusals: request.countRefusals(server.id),
		};
	}
}
