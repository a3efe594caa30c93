/** Chooses a backend server for each request, forwards it there and retries it on others when that is safe. */
import {
	Carrier, type Exchange, type ExchangeHandler, type MetricRegistry, type Placement, type RequestHead,
} from '@limpetbarrow/core';
import {
	PathHealth, RetryBudget, ServerSelection, type Candidate, type Chooser, type RetryPolicy,
} from '@limpetbarrow/choose';
import {type ReleaseState} from '@limpetbarrow/releases';
import {ForwardedExchange} from './forwarded-exchange.js';
import {LoadTracker} from './load-tracker.js';
import {RequestTimeLimits} from './request-time-limits.js';
import {type ServerDirectory} from './server-directory.js';

/** Finds the carrier to a node's egress; undefined when the node is no longer known. */
export type FindEgress = (nodeId: string) => Carrier | undefined;

/** Dependencies of a forwarder. */
export type ForwarderOptions = {
	readonly self: {readonly id: string; readonly placement: Placement};
	readonly directory: Pick<ServerDirectory, 'listCandidates'>;
	readonly releases: Pick<ReleaseState, 'getConfiguration'>;
	readonly chooser: Chooser;
	readonly findEgress: FindEgress;
	readonly metrics: MetricRegistry;
	/** Returns a random number from 0 to below 1, used to select trial requests for servers on probation. */
	readonly pickRandom?: () => number;
};

const maxRetryBudgets = 1024;

/** Forwards requests to backend servers anywhere in the fleet. */
export class Forwarder extends Carrier {
	readonly #options: ForwarderOptions;
	readonly #loadTracker = new LoadTracker();
	readonly #pathHealth = new PathHealth();
	readonly #serverSelection: ServerSelection;
	readonly #retryBudgets = new Map<string, RetryPolicy>();
	readonly #timeLimits = new RequestTimeLimits();

	constructor(options: ForwarderOptions) {
		super();
		this.#options = options;
		this.#serverSelection = new ServerSelection(options.self, this.#pathHealth);
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const retryPolicy = this.#getRetryBudget(head.service);
		retryPolicy.recordRequest();
		const exchange = new ForwardedExchange(head, handler, {
			chooseCandidate: (request, triedServerIds) => this.#chooseCandidate(request, triedServerIds),
			findEgress: this.#options.findEgress,
			loadTracker: this.#loadTracker,
			pathHealth: this.#pathHealth,
			retryPolicy,
			timeLimits: this.#timeLimits,
			recordRetry: () => {
				this.#options.metrics.addCount('ingress_retries_total');
			},
		});
		exchange.openAttempt(undefined);
		return exchange;
	}

	/** Refuses requests that can't be answered by `lastAnswerAt` (monotonic time, in milliseconds) instead of forwarding them. */
	startStopping(lastAnswerAt: number): void {
		this.#timeLimits.startStopping(lastAnswerAt);
	}

	#chooseCandidate({service, isRepeatable}: RequestHead, triedServerIds: readonly string[]): Candidate | undefined {
		const {directory, releases, chooser} = this.#options;
		const floor = releases.getConfiguration().services.get(service)?.floor ?? 0;
		const {serving, trials} = this.#serverSelection.selectServers(service, directory.listCandidates(service), floor, performance.now());
		const trial = isRepeatable && triedServerIds.length === 0 ? this.#pickTrial(trials, serving.length) : undefined;
		return trial ?? chooser.choose(serving.filter(({server}) => !triedServerIds.includes(server.id)), this.#loadTracker);
	}

	/**
	 * Picks a server on probation with the same probability as a serving one, and only if it has no request in flight from
	 * this node.
	 */
	#pickTrial(trials: readonly Candidate[], servingCount: number): Candidate | undefined {
		const {pickRandom = Math.random} = this.#options;
		const position = Math.floor(pickRandom() * (trials.length + servingCount));
		const candidate = trials[position];
		return candidate && this.#loadTracker.countInFlight(candidate.server.id) === 0 ? candidate : undefined;
	}

	#getRetryBudget(service: string): RetryPolicy {
		const known = this.#retryBudgets.get(service);
		if (known) {
			return known;
		}

		const budget = new RetryBudget();
		this.#retryBudgets.set(service, budget);
		const [oldest] = this.#retryBudgets.keys();
		if (this.#retryBudgets.size > maxRetryBudgets && oldest !== undefined) {
			this.#retryBudgets.delete(oldest);
		}

		return budget;
	}
}
