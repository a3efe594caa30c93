/**
 * Guards against a retry storm and lost requests while all backend servers of a service reject over half of their work, as
 * they do with a faulty rate limiter, for longer than a retry window.
 */
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {AdmissionController} from '@limpetbarrow/admission';
import {
	chooseNextServer, findTier, WindowedRetryBudget, type Candidate, type SpilloverCandidate,
} from '@limpetbarrow/choose';
import {createFailure, type Failure, type RequestHead} from '@limpetbarrow/core';
import {RequestTimeLimits} from '../../routing/request-time-limits.js';
import {RoutedRequest} from '../../routing/routed-request.js';

const serverCount = 15;
const slots = 3;
const workMs = 200;
const objectiveMs = 800;
const sendIntervalMs = 20;
const loadDurationMs = 100_000;
const sheddingShare = 0.55;
const retryWindow = {windowMs: 10_000, ratio: 0.17, allowance: 24};
const randomFactor = 48_271;
const randomModulus = 2_147_483_647;

type Host = {
	readonly candidate: Candidate;
	readonly gate: AdmissionController;
	readonly retries: WindowedRetryBudget;
};

/** One attempt of a request at one backend server. */
type Attempt = {
	readonly request: RoutedRequest;
	readonly earlierAttempts: number;
	readonly isRetryable: boolean;
	readonly isLastResort: boolean;
};

/** Results of the load, each as a share of the requests. */
type Result = {
	readonly served: number;
	/** Attempts outside of the sender's failure domain. */
	readonly distantAttempts: number;
	readonly retries: number;
};

function createHost(index: number): Host {
	const region = `region-${index % 3}`;
	return {
		candidate: {
			nodeId: `node-${index}`,
			placement: {region, failureDomain: `${region}-${index % 2}`},
			server: {
				id: `server-${index}`, service: 'ledger', slots, state: 'ready', generation: 1, badness: 0,
			},
		},
		gate: new AdmissionController(0),
		retries: new WindowedRetryBudget(retryWindow, () => serverCount),
	};
}

/**
 * Combines the gates, the choice of backend servers and the retry budgets as the fleet does. Every slot is free, so requests
 * fail only because backend servers shed them.
 */
class SheddingServiceModel {
	readonly #hosts = Array.from({length: serverCount}, (_, index) => createHost(index));
	#randomState = 1;
	#sentCount = 0;
	#servedCount = 0;
	#distantAttemptCount = 0;
	#retryCount = 0;

	send(isRepeatable: boolean): void {
		this.#sentCount++;
		const origin = this.#hosts[Math.floor(this.#pickRandom() * serverCount)]!;
		const head: RequestHead = {
			requestId: String(this.#sentCount),
			target: {kind: 'egress', serverId: ''},
			service: 'ledger',
			method: 'GET', path: '/', headers: [], remainingMs: 2000, isRepeatable, organisation: '', objectiveMs, maxAttempts: 2,
		};
		this.#continueRequest(new RoutedRequest(head, performance.now(), new RequestTimeLimits()), origin);
	}

	getResult(): Result {
		return {served: this.#servedCount / this.#sentCount, distantAttempts: this.#distantAttemptCount / this.#sentCount, retries: this.#retryCount / this.#sentCount};
	}

	#pickRandom(): number {
		this.#randomState = (this.#randomState * randomFactor) % randomModulus;
		return this.#randomState / randomModulus;
	}

	#continueRequest(request: RoutedRequest, origin: Host): void {
		const now = performance.now();
		const views = this.#hosts.filter(({candidate}) => request.isEligible(candidate.server.id)).map(host => this.#createSpillView(host, origin, request));
		const isRetryable = request.head.isRepeatable && request.hasAttemptLeftAfterNext();
		const step = chooseNextServer(views, {isRetryable, objectiveMs, objectiveLeftMs: objectiveMs}, () => this.#pickRandom());
		if (!step || !request.hasStepLeft(step.isLastResort)) {
			return;
		}

		const host = this.#hosts.find(({candidate}) => candidate === step.candidate)!;
		this.#distantAttemptCount += Number(step.tier === 'region' || step.tier === 'remote');
		const earlierAttempts = request.countAttempts();
		request.recordStep(step.candidate.server.id, step, performance.now());
		const failure = this.#runAttempt(host, {
			request, earlierAttempts, isRetryable, isLastResort: step.isLastResort,
		});
		if (!failure) {
			this.#servedCount++;
			return;
		}

		request.recordFailure(step.candidate.server.id, failure, now);
		if (failure.name !== 'serverShed' || request.hasAttemptLeft()) {
			this.#continueRequest(request, origin);
		}
	}

	#runAttempt({gate, retries}: Host, {request, earlierAttempts, isRetryable, isLastResort}: Attempt): Failure | undefined {
		const now = performance.now();
		const load = {
			slots, running: [], ahead: [], waitingCount: 0,
		};
		const refusal = gate.findRefusal({
			route: 'r', priority: 1, isRetryable, remainingMs: request.getRemainingMs(now), objectiveMs, patienceMs: objectiveMs, isLastResort,
		}, load, now);
		if (refusal) {
			return refusal;
		}

		if (earlierAttempts > 0 && !retries.takeRetry(true, now)) {
			return createFailure('retriesSpent', '');
		}

		if (earlierAttempts === 0) {
			retries.recordRequest();
		} else {
			this.#retryCount++;
		}

		const isShed = this.#pickRandom() < sheddingShare;
		gate.recordOutcome(isShed ? 'shed' : 'well', now);
		return isShed ? createFailure('serverShed', '') : undefined;
	}

	/** A sender knows the gate of its own host, and of other hosts only what they reported lately: in this test, nothing. */
	#createSpillView({candidate, gate}: Host, origin: Host, request: RoutedRequest): SpilloverCandidate {
		const now = performance.now();
		const tier = findTier({id: origin.candidate.nodeId, placement: origin.candidate.placement}, candidate);
		const isKnown = tier === 'host';
		return {
			candidate, tier, waitMs: isKnown ? 0 : undefined, workMs: isKnown ? workMs : undefined, isUnwell: isKnown && gate.isUnwell(now), isShedding: isKnown && gate.isShedding(now), refusals: request.countRefusals(candidate.server.id),
		};
	}
}

describe('a service whose backend servers all shed over half of their work', () => {
	let clock: Clock;
	let result: Result;

	beforeEach(() => {
		clock = install();
		const service = new SheddingServiceModel();
		Array.from({length: loadDurationMs / sendIntervalMs}).forEach((_, index) => {
			clock.tick(sendIntervalMs);
			service.send(index % 3 === 0);
		});
		result = service.getResult();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('serves at least 95 % of what one attempt for each request and the whole retry budget can serve', () => {
		const budgetShare = retryWindow.ratio + (retryWindow.allowance * sendIntervalMs / retryWindow.windowMs);
		const maxServedShare = (1 - sheddingShare) * (1 + budgetShare);
		expect(result.served).to.be.above(maxServedShare * 0.95);
	});

	it('keeps retries within the budget', () => {
		expect(result.retries).to.be.at.most(retryWindow.ratio + (2 * retryWindow.allowance * sendIntervalMs / retryWindow.windowMs));
	});

	it('sends no more attempts out of the failure domain than there are retries, as other domains shed too', () => {
		expect(result.distantAttempts).to.be.at.most(result.retries);
	});
});
