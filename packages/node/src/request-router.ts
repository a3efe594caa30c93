/** Carries requests to backend servers anywhere in the fleet, near ones first. */
import {
	Carrier, type Exchange, type ExchangeHandler, type LoadHint, type Logger, type MetricRegistry, type Placement, type RequestHead,
} from '@limpetbarrow/core';
import {
	chooseNextServer, findTier, PathHealth, type Candidate, type SpilloverChoice, type SpilloverCandidate,
} from '@limpetbarrow/choose';
import {type FindEgress} from './forwarder.js';
import {LoadTracker} from './load-tracker.js';
import {RoutedExchange} from './routed-exchange.js';
import {type RoutedRequest} from './routed-request.js';
import {type ServerDirectory} from './server-directory.js';

/** What a router works with. */
export type RequestRouterOptions = {
	readonly self: {readonly id: string; readonly placement: Placement};
	readonly directory: Pick<ServerDirectory, 'listCandidates'>;
	readonly findEgress: FindEgress;
	/** Load of a backend server of this host, as a request of that rank and route would find it. */
	readonly findLocalLoad: (serverId: string, priority: number | undefined, route: string | undefined) => LoadHint | undefined;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
	/** Random numbers from 0 to below 1. */
	readonly pickRandom?: () => number;
};

/** Longest time a way is avoided before one request tries it again, in milliseconds: a try costs that request a moment. */
const maxPathBackOffMs = 2000;

/** Chooses and watches; each request is an exchange of its own. */
export class RequestRouter extends Carrier {
	readonly #options: RequestRouterOptions;
	readonly #loads = new LoadTracker();
	readonly #paths = new PathHealth(maxPathBackOffMs);
	readonly #pickRandom: () => number;

	constructor(options: RequestRouterOptions) {
		super();
		this.#options = options;
		this.#pickRandom = options.pickRandom ?? Math.random;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		return new RoutedExchange(head, handler, {
			chooseStep: request => this.#chooseStep(request),
			findEgress: this.#options.findEgress,
			loads: this.#loads,
			paths: this.#paths,
			metrics: this.#options.metrics,
			logger: this.#options.logger,
			pickRandom: this.#pickRandom,
		});
	}

	#chooseStep(request: RoutedRequest): SpilloverChoice | undefined {
		const {directory} = this.#options;
		const {head} = request;
		const now = performance.now();
		const candidates = directory.listCandidates(head.service)
			.filter(({server}) => server.state !== 'leaving' && request.isOpenTo(server.id));
		const views = this.#selectReachable(candidates, now).map(candidate => this.#createView(candidate, request));
		const objectiveMs = head.objectiveMs ?? head.remainingMs;
		return chooseNextServer(views, {
			isRetryable: head.isRepeatable && request.hasAttemptAfterNext(), objectiveMs, objectiveLeftMs: objectiveMs - request.getElapsedMs(now),
		}, this.#pickRandom);
	}

	/** A node that is cut off has its own host only; where every way has failed lately, any is as good as another. */
	#selectReachable(candidates: readonly Candidate[], now: number): readonly Candidate[] {
		if (this.#paths.isIsolated(now)) {
			return candidates.filter(({nodeId}) => nodeId === this.#options.self.id);
		}

		const reachable = candidates.filter(({nodeId}) => !this.#paths.isAvoided(nodeId, now));
		return reachable.length > 0 ? reachable : candidates;
	}

	#createView(candidate: Candidate, request: RoutedRequest): SpilloverCandidate {
		const {server} = candidate;
		const {priority, route} = request.head;
		const tier = findTier(this.#options.self, candidate);
		const hint = tier === 'host' ? this.#options.findLocalLoad(server.id, priority, route) : this.#loads.getHint(server.id);
		const inFlight = this.#loads.countInFlight(server.id);
		const workMs = hint?.workMs;
		const crowdedMs = Math.max(0, inFlight + 1 - server.slots) * (workMs ?? 0) / server.slots;
		return {
			candidate,
			tier,
			waitMs: hint?.waitMs === undefined && crowdedMs === 0 ? undefined : Math.max(hint?.waitMs ?? 0, crowdedMs),
			workMs,
			isUnwell: hint?.isUnwell ?? false,
			isShedding: hint?.isShedding ?? false,
			refusals: request.countRefusals(server.id),
		};
	}
}
