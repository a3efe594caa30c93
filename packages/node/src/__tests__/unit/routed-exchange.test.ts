import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	Carrier, createFailure, Exchange, MetricRegistry, SilentLogger, type ExchangeHandler, type Failure, type RequestHead, type ServerRecord,
} from '@limpetbarrow/core';
import {type Candidate} from '@limpetbarrow/choose';
import {RequestRouter} from '../../index.js';

/** One hand-over as another node would see it. */
class FakeAttempt extends Exchange {
	isEnded = false;
	isCancelled = false;
	readonly head: RequestHead;
	readonly handler: ExchangeHandler;

	constructor(head: RequestHead, handler: ExchangeHandler) {
		super();
		this.head = head;
		this.handler = handler;
	}

	override writeBody(): void {
		// Bodies are empty here.
	}

	override endBody(): void {
		this.isEnded = true;
	}

	override grantCredit(): void {
		// Answers are small here.
	}

	override cancel(): void {
		this.isCancelled = true;
	}

	accept(): void {
		this.handler.handleAccepted?.();
	}

	answer(status = 200): void {
		this.handler.handleHead({status, headers: []});
		this.handler.handleEnd();
	}
}

class FakeEgress extends Carrier {
	attempts: readonly FakeAttempt[] = [];
	/** What each request is refused with; nothing is refused without it. */
	refusal: Failure | undefined;

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const attempt = new FakeAttempt(head, handler);
		this.attempts = [...this.attempts, attempt];
		const {refusal} = this;
		if (refusal) {
			queueMicrotask(() => {
				handler.handleFailure(refusal);
			});
		}

		return attempt;
	}
}

const self = {id: 'own', placement: {region: 'r', failureDomain: 'a'}};

function createCandidate(id: string, failureDomain: string, state: ServerRecord['state'] = 'ready'): Candidate {
	return {
		nodeId: `node-${id}`,
		placement: {region: 'r', failureDomain},
		server: {
			id, service: 'desk', slots: 3, state, generation: 1, badness: 0,
		},
	};
}

describe('routed exchange', () => {
	let clock: Clock;
	let egresses: ReadonlyMap<string, FakeEgress>;
	let router: RequestRouter;
	let outcomes: readonly string[];
	let failure: Failure | undefined;

	beforeEach(() => {
		clock = install();
		outcomes = [];
		failure = undefined;
		egresses = new Map(['near', 'far'].map(id => [`node-${id}`, new FakeEgress()]));
		const candidates = [createCandidate('near', 'a'), createCandidate('far', 'b'), createCandidate('gone', 'a', 'leaving')];
		router = new RequestRouter({
			self,
			directory: {listCandidates: () => candidates},
			findEgress: nodeId => egresses.get(nodeId),
			findLocalLoad: () => undefined,
			metrics: new MetricRegistry(),
			logger: new SilentLogger(),
			pickRandom: () => 0.5,
		});
	});

	afterEach(() => {
		clock.uninstall();
	});

	function openRequest(fields: Partial<RequestHead> = {}): Exchange {
		const exchange = router.openExchange({
			requestId: 'r-1',
			target: {kind: 'egress', serverId: ''},
			service: 'desk',
			method: 'GET',
			path: '/',
			headers: [],
			remainingMs: 2000,
			objectiveMs: 800,
			maxAttempts: 2,
			isRepeatable: true,
			organisation: '',
			...fields,
		}, {
			handleHead({status}) {
				outcomes = [...outcomes, String(status)];
			},
			handleData() {
				// Only heads matter here.
			},
			handleCredit() {
				// Bodies are empty here.
			},
			handleEnd() {
				outcomes = [...outcomes, 'end'];
			},
			handleFailure(last) {
				failure = last;
				outcomes = [...outcomes, last.name];
			},
		});
		exchange.endBody();
		return exchange;
	}

	function getAttempts(id: string): readonly FakeAttempt[] {
		return egresses.get(`node-${id}`)!.attempts;
	}

	describe('over a way that is cut', () => {
		it('sends nothing that could run before the other node has a place, and goes elsewhere in time', () => {
			openRequest({isRepeatable: false});
			const [first] = getAttempts('near');
			expect(first!.isEnded).to.equal(false);
			clock.tick(151);
			expect(first).to.include({isEnded: false, isCancelled: true});
			const [second] = getAttempts('far');
			second!.accept();
			second!.answer();
			expect(outcomes).to.deep.equal(['200', 'end']);
		});

		it('avoids it for the next request', () => {
			openRequest();
			clock.tick(151);
			openRequest();
			expect(getAttempts('near').length).to.equal(1);
			expect(getAttempts('far').length).to.equal(2);
		});

		it('takes an acceptance that comes too late for nothing', () => {
			openRequest({isRepeatable: false});
			const [first] = getAttempts('near');
			clock.tick(151);
			first!.accept();
			expect(first!.isEnded).to.equal(false);
		});
	});

	describe('after the hand-over', () => {
		it('never hands a request that may not be repeated to a second backend server when it may have run', async () => {
			openRequest({isRepeatable: false});
			const [first] = getAttempts('near');
			first!.accept();
			first!.handler.handleFailure(createFailure('linkLost', 'cut'));
			await clock.tickAsync(1);
			expect(getAttempts('far').length).to.equal(0);
			expect(failure).to.include({name: 'linkLost', ran: 'unknown'});
		});

		it('hands it on when it was rejected unrun, as often as attempts allow', async () => {
			openRequest({isRepeatable: false});
			getAttempts('near')[0]!.handler.handleFailure(createFailure('serverShed', 'full'));
			getAttempts('far')[0]!.handler.handleFailure(createFailure('serverShed', 'full'));
			await clock.tickAsync(1);
			expect(getAttempts('near').length + getAttempts('far').length).to.equal(2);
			expect(failure).to.include({name: 'serverShed', ran: 'not-run'});
			expect(failure?.retryAfterMs).to.be.within(150, 2250);
		});

		it('asks a backend server that has no retry to spare once, and then another', async () => {
			openRequest();
			getAttempts('near')[0]!.handler.handleFailure(createFailure('serverShed', 'full'));
			getAttempts('far')[0]!.handler.handleFailure(createFailure('retriesSpent', 'attempt 2'));
			await clock.tickAsync(1);
			expect(getAttempts('far').length).to.equal(1);
			expect(failure).to.include({name: 'retriesSpent', ran: 'not-run'});
		});

		it('says how many may have had it before, for the budget of retries', () => {
			openRequest();
			expect(getAttempts('near')[0]!.head.earlierAttempts).to.equal(0);
			getAttempts('near')[0]!.answer(500);
			expect(getAttempts('far')[0]!.head.earlierAttempts).to.equal(1);
		});

		it('delivers the first server error when the second try comes to nothing', async () => {
			openRequest();
			getAttempts('near')[0]!.answer(500);
			getAttempts('far')[0]!.handler.handleFailure(createFailure('serverBroke', 'reset'));
			await clock.tickAsync(1);
			expect(outcomes).to.deep.equal(['500', 'end']);
		});
	});

	describe('beside a backend server that hangs', () => {
		it('tries a second one after six tenths of the objective and gives the first up', () => {
			openRequest();
			const [first] = getAttempts('near');
			first!.accept();
			clock.tick(481);
			const [second] = getAttempts('far');
			second!.accept();
			second!.answer();
			expect(outcomes).to.deep.equal(['200', 'end']);
			expect(first!.isCancelled).to.equal(true);
		});

		it('waits for the only one that may have run what can\'t be repeated', () => {
			openRequest({isRepeatable: false});
			getAttempts('near')[0]!.accept();
			clock.tick(1500);
			expect(getAttempts('far').length).to.equal(0);
		});
	});

	describe('when all refuse', () => {
		it('is refused at once as not run, with a time to come back', async () => {
			egresses.forEach(egress => {
				egress.refusal = createFailure('queueDeadline', 'full', 900);
			});
			openRequest();
			await clock.tickAsync(1);
			expect(failure).to.include({name: 'queueDeadline', ran: 'not-run', status: 503});
			expect(failure?.retryAfterMs).to.be.within(900, 1350);
			expect(clock.now).to.be.below(10);
		});
	});

	describe('when the caller leaves', () => {
		it('gives up what is under way', () => {
			const exchange = openRequest();
			getAttempts('near')[0]!.accept();
			exchange.cancel();
			expect(getAttempts('near')[0]!.isCancelled).to.equal(true);
			expect(outcomes).to.deep.equal([]);
		});
	});
});
