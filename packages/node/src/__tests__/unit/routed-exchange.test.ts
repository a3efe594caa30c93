import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	Carrier, createFailure, Exchange, MetricRegistry, SilentLogger, type ExchangeHandler, type Failure, type RequestHead, type ServerRecord,
} from '@limpetbarrow/core';
import {type Candidate} from '@limpetbarrow/choose';
import {RequestRouter} from '../../index.js';

/** One attempt as seen by the egress of another node. */
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
		// Request bodies are empty in these tests.
	}

	override endBody(): void {
		this.isEnded = true;
	}

	override grantCredit(): void {
		// Response bodies are empty in these tests.
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
	/** Failure for each request; requests are not refused while it is undefined. */
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
				// Only the response heads are checked.
			},
			handleCredit() {
				// Request bodies are empty in these tests.
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

	describe('when the node stops', () => {
		it('fails as not run while no backend server has got its body', async () => {
			openRequest({isRepeatable: false});
			router.failRequests();
			await clock.tickAsync(1);
			expect(failure).to.include({name: 'nodeStopping', ran: 'not-run'});
		});

		it('fails as possibly run once a backend server has got its body', async () => {
			openRequest({isRepeatable: false});
			getAttempts('near')[0]!.accept();
			router.failRequests();
			await clock.tickAsync(1);
			expect(failure).to.include({name: 'answerTimeout', ran: 'unknown'});
			expect(getAttempts('near')[0]!.isCancelled).to.equal(true);
		});

		it('delivers a server error that was kept back for another attempt', async () => {
			openRequest();
			getAttempts('near')[0]!.accept();
			getAttempts('near')[0]!.answer(500);
			await clock.tickAsync(1);
			router.failRequests();
			await clock.tickAsync(1);
			expect(outcomes).to.deep.equal(['500', 'end']);
		});

		it('does nothing to a request that has ended', async () => {
			openRequest();
			getAttempts('near')[0]!.accept();
			getAttempts('near')[0]!.answer();
			await clock.tickAsync(1);
			router.failRequests();
			await clock.tickAsync(1);
			expect(failure).to.equal(undefined);
		});
	});

	describe('on a broken path', () => {
		it('does not end the body before the node accepts, and tries another node after the accept timeout', () => {
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

		it('avoids the path for the next request', () => {
			openRequest();
			clock.tick(151);
			openRequest();
			expect(getAttempts('near').length).to.equal(1);
			expect(getAttempts('far').length).to.equal(2);
		});

		it('ignores an acceptance after the accept timeout', () => {
			openRequest({isRepeatable: false});
			const [first] = getAttempts('near');
			clock.tick(151);
			first!.accept();
			expect(first!.isEnded).to.equal(false);
		});
	});

	describe('after an attempt', () => {
		it('never retries a non-repeatable request that may have run', async () => {
			openRequest({isRepeatable: false});
			const [first] = getAttempts('near');
			first!.accept();
			first!.handler.handleFailure(createFailure('linkLost', 'cut'));
			await clock.tickAsync(1);
			expect(getAttempts('far').length).to.equal(0);
			expect(failure).to.include({name: 'linkLost', ran: 'unknown'});
		});

		it('retries a request that was rejected without being run, up to the maximum number of attempts', async () => {
			openRequest({isRepeatable: false});
			getAttempts('near')[0]!.handler.handleFailure(createFailure('serverShed', 'full'));
			getAttempts('far')[0]!.handler.handleFailure(createFailure('serverShed', 'full'));
			await clock.tickAsync(1);
			expect(getAttempts('near').length + getAttempts('far').length).to.equal(2);
			expect(failure).to.include({name: 'serverShed', ran: 'not-run'});
			expect(failure?.retryAfterMs).to.be.within(150, 2250);
		});

		it('asks a backend server without retry budget only once before a pause', async () => {
			openRequest();
			getAttempts('near')[0]!.handler.handleFailure(createFailure('serverShed', 'full'));
			egresses.get('node-far')!.refusal = createFailure('retriesSpent', 'attempt 2');
			getAttempts('far')[0]!.handler.handleFailure(createFailure('retriesSpent', 'attempt 2'));
			await clock.tickAsync(100);
			expect(getAttempts('far').length).to.equal(1);
			await clock.tickAsync(100);
			expect(getAttempts('far').length).to.equal(2);
			await clock.tickAsync(1800);
			expect(getAttempts('near').length).to.equal(1);
			expect(failure).to.include({name: 'retriesSpent', ran: 'not-run'});
		});

		it('sends the number of earlier attempts, on which the retry budget depends', () => {
			openRequest();
			expect(getAttempts('near')[0]!.head.earlierAttempts).to.equal(0);
			getAttempts('near')[0]!.answer(500);
			expect(getAttempts('far')[0]!.head.earlierAttempts).to.equal(1);
		});

		it('forwards the first server error when the second attempt fails', async () => {
			openRequest();
			getAttempts('near')[0]!.answer(500);
			getAttempts('far')[0]!.handler.handleFailure(createFailure('serverBroke', 'reset'));
			await clock.tickAsync(1);
			expect(outcomes).to.deep.equal(['500', 'end']);
		});
	});

	describe('with a backend server that hangs', () => {
		it('hedges on a second one after 60 % of the objective and cancels the first attempt when the second answers', () => {
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

		it('hedges into a free slot only, so that second copies hold up no other request', () => {
			openRequest();
			getAttempts('near')[0]!.accept();
			clock.tick(481);
			expect(getAttempts('near')[0]!.head.patienceMs).to.be.above(0);
			expect(getAttempts('far')[0]!.head.patienceMs).to.equal(0);
		});

		it('does not hedge a non-repeatable request', () => {
			openRequest({isRepeatable: false});
			getAttempts('near')[0]!.accept();
			clock.tick(1500);
			expect(getAttempts('far').length).to.equal(0);
		});
	});

	describe('when all backend servers refuse', () => {
		function refuseAll(refusal: Failure | undefined): void {
			egresses.forEach(egress => {
				egress.refusal = refusal;
			});
		}

		function countAsks(): number {
			return getAttempts('near').length + getAttempts('far').length;
		}

		it('fails at once with "not run" and a retry delay if too little time is left for a pause', async () => {
			refuseAll(createFailure('queueDeadline', 'full', 900));
			openRequest({remainingMs: 500});
			await clock.tickAsync(1);
			expect(failure).to.include({name: 'queueDeadline', ran: 'not-run', status: 503});
			expect(failure?.retryAfterMs).to.be.within(900, 1350);
			expect(clock.now).to.be.below(10);
		});

		it('pauses, is taken by a server that is healthy again, and has gone to none that is failing', async () => {
			refuseAll(createFailure('serverUnwell', 'failing'));
			openRequest({isRepeatable: false, remainingMs: 10_000});
			await clock.tickAsync(1000);
			expect(countAsks()).to.be.above(4);
			expect([...getAttempts('near'), ...getAttempts('far')].some(({head}) => head.isLastResort)).to.equal(false);
			refuseAll(undefined);
			await clock.tickAsync(700);
			getAttempts('near').at(-1)!.accept();
			getAttempts('near').at(-1)!.answer();
			expect(outcomes).to.deep.equal(['200', 'end']);
		});

		it('goes to a failing server only when its time is nearly over, and says "not run" if that refuses too', async () => {
			refuseAll(createFailure('serverUnwell', 'failing'));
			openRequest({isRepeatable: false, remainingMs: 4000});
			await clock.tickAsync(2400);
			expect(failure).to.equal(undefined);
			await clock.tickAsync(1600);
			expect([...getAttempts('near'), ...getAttempts('far')].some(({head}) => head.isLastResort)).to.equal(true);
			expect(failure).to.include({name: 'serverUnwell', ran: 'not-run'});
		});

		it('lets a late call wait for a slot, as the request that made it is lost without it', async () => {
			refuseAll(createFailure('serverUnwell', 'failing'));
			openRequest({remainingMs: 3000, cause: 'call'});
			openRequest({remainingMs: 3000});
			await clock.tickAsync(900);
			const asks = [...getAttempts('near'), ...getAttempts('far')].filter(({head}) => head.remainingMs < 2200 && head.isLastResort !== true);
			expect(asks.filter(({head}) => head.cause === 'call').every(({head}) => head.patienceMs! > 500)).to.equal(true);
			expect(asks.filter(({head}) => head.cause === undefined).every(({head}) => head.patienceMs === 0)).to.equal(true);
		});

		it('fails at once for lack of room, as a later return would find none either', async () => {
			refuseAll(createFailure('queueFull', 'full', 5000));
			openRequest({remainingMs: 10_000});
			await clock.tickAsync(1);
			expect(failure).to.include({name: 'queueFull', ran: 'not-run'});
		});

		it('asks no more often than the pauses allow, which grow up to a second', async () => {
			refuseAll(createFailure('serverUnwell', 'failing'));
			openRequest({remainingMs: 10_000});
			await clock.tickAsync(10_000);
			expect(countAsks()).to.be.within(20, 80);
			expect(failure).to.include({name: 'serverUnwell', ran: 'not-run'});
		});

		it('asks no more once the caller has disconnected', async () => {
			refuseAll(createFailure('serverUnwell', 'failing'));
			const exchange = openRequest({remainingMs: 10_000});
			await clock.tickAsync(100);
			const asks = countAsks();
			exchange.cancel();
			await clock.tickAsync(5000);
			expect(countAsks()).to.equal(asks);
		});

		it('fails as not run at the end of a planned stop', async () => {
			refuseAll(createFailure('serverUnwell', 'failing'));
			openRequest({remainingMs: 10_000});
			await clock.tickAsync(100);
			router.failRequests();
			await clock.tickAsync(1);
			expect(failure).to.include({name: 'nodeStopping', ran: 'not-run'});
		});

		it('is refused at once while too many others pause', async () => {
			refuseAll(createFailure('serverUnwell', 'failing'));
			Array.from({length: 256}, () => openRequest({remainingMs: 10_000}));
			await clock.tickAsync(1);
			expect(failure).to.equal(undefined);
			openRequest({remainingMs: 10_000});
			await clock.tickAsync(1);
			expect(failure).to.include({name: 'serverUnwell', ran: 'not-run'});
		});
	});

	describe('when the caller disconnects', () => {
		it('cancels the attempt in progress', () => {
			const exchange = openRequest();
			getAttempts('near')[0]!.accept();
			exchange.cancel();
			expect(getAttempts('near')[0]!.isCancelled).to.equal(true);
			expect(outcomes).to.deep.equal([]);
		});
	});
});
