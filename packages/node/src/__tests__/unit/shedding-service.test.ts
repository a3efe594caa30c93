/** The load: a whole service sheds over half of its work, as under a broken limiter, for longer than a retry window. */
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {AdmissionController} from '@limpetbarrow/admission';
import {
	chooseNextServer, findTier, WindowedRetryBudget, type Candidate, type SpilloverCandidate,
} from '@limpetbarrow/choose';
import {createFailure, type Failure, type RequestHead} from '@limpetbarrow/core';
import {RoutedRequest} from '../../routed-request.js';

const serverCount = 15;
const slots = 3;
const workMs = 200;
const objectiveMs = 800;
const periodMs = 20;
const loadMs = 100_000;
const shedShare = 0.55;
const retryWindow = {windowMs: 10_000, ratio: 0.17, allowance: 24};
const randomFactor = 48_271;
const randomModulus = 2_147_483_647;

type Host = {
	readonly candidate: Candidate;
	readonly gate: AdmissionController;
	readonly retries: WindowedRetryBudget;
};

/** One request as one backend server is asked for it. */
type Ask = {
	readonly request: RoutedRequest;
	readonly earlier: number;
	readonly isRetryable: boolean;
	readonly isLastResort: boolean;
};

/** What became of the load, each as a share of the requests. */
type Result = {
	readonly served: number;
	/** Hand-overs that left the failure domain, for each request. */
	readonly distantAsks: number;
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

/** Gates, choice and retry budget of a service as the fleet has them, with every slot free: only the shedding is in the way. */
class SheddingService {
	readonly #hosts = Array.from({length: serverCount}, (_, index) => createHost(index));
	#random = 1;
	#sent = 0;
	#served = 0;
	#distant = 0;
	#retried = 0;

	send(isRepeatable: boolean): void {
		this.#sent++;
		const self = this.#hosts[Math.floor(this.#pickRandom() * serverCount)]!;
		const head: RequestHead = {
			requestId: String(this.#sent),
			target: {kind: 'egress', serverId: ''},
			service: 'ledger',
			method: 'GET', path: '/', headers: [], remainingMs: 2000, isRepeatable, organisation: '', objectiveMs, maxAttempts: 2,
		};
		this.#continue(new RoutedRequest(head, performance.now()), self);
	}

	getResult(): Result {
		return {served: this.#served / this.#sent, distantAsks: this.#distant / this.#sent, retries: this.#retried / this.#sent};
	}

	#pickRandom(): number {
		this.#random = (this.#random * randomFactor) % randomModulus;
		return this.#random / randomModulus;
	}

	#continue(request: RoutedRequest, self: Host): void {
		const now = performance.now();
		const views = this.#hosts.filter(({candidate}) => request.isOpenTo(candidate.server.id)).map(host => this.#createView(host, self, request));
		const isRetryable = request.head.isRepeatable && request.hasAttemptAfterNext();
		const step = chooseNextServer(views, {isRetryable, objectiveMs, objectiveLeftMs: objectiveMs}, () => this.#pickRandom());
		if (!step || !request.hasStep(step.isLastResort)) {
			return;
		}

		const host = this.#hosts.find(({candidate}) => candidate === step.candidate)!;
		this.#distant += Number(step.tier === 'region' || step.tier === 'remote');
		const earlier = request.countHanded();
		request.recordStep(step.candidate.server.id, step.tier, step.isLastResort);
		const failure = this.#run(host, {
			request, earlier, isRetryable, isLastResort: step.isLastResort,
		});
		if (!failure) {
			this.#served++;
			return;
		}

		request.recordFailure(step.candidate.server.id, failure, now);
		if (failure.name !== 'serverShed' || request.hasAttempt()) {
			this.#continue(request, self);
		}
	}

	#run({gate, retries}: Host, {request, earlier, isRetryable, isLastResort}: Ask): Failure | undefined {
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

		if (earlier > 0 && !retries.takeRetry(true, now)) {
			return createFailure('retriesSpent', '');
		}

		if (earlier === 0) {
			retries.recordRequest();
		} else {
			this.#retried++;
		}

		const isShed = this.#pickRandom() < shedShare;
		gate.recordOutcome(isShed ? 'shed' : 'well', now);
		return isShed ? createFailure('serverShed', '') : undefined;
	}

	/** A sender knows what its own host's gate says, and of others only what they told it lately: nothing, here. */
	#createView({candidate, gate}: Host, self: Host, request: RoutedRequest): SpilloverCandidate {
		const now = performance.now();
		const tier = findTier({id: self.candidate.nodeId, placement: self.candidate.placement}, candidate);
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
		const service = new SheddingService();
		Array.from({length: loadMs / periodMs}).forEach((_, index) => {
			clock.tick(periodMs);
			service.send(index % 3 === 0);
		});
		result = service.getResult();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('gives each request its try and spends the retry budget: more is not to be had', () => {
		const budgetShare = retryWindow.ratio + (retryWindow.allowance * periodMs / retryWindow.windowMs);
		const most = (1 - shedShare) * (1 + budgetShare);
		expect(result.served).to.be.above(most * 0.95);
	});

	it('stays within the budget', () => {
		expect(result.retries).to.be.at.most(retryWindow.ratio + (2 * retryWindow.allowance * periodMs / retryWindow.windowMs));
	});

	it('goes further with retries at most: a tour of other regions finds no better', () => {
		expect(result.distantAsks).to.be.at.most(result.retries);
	});
});
