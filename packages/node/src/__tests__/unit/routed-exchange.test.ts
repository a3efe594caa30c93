import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {createFailure} from '@limpetbarrow/core';
import {RouterFixture} from '../router-fixture.js';

describe('routed exchange', () => {
	let clock: Clock;
	let fixture: RouterFixture;

	beforeEach(() => {
		clock = install();
		fixture = new RouterFixture();
	});

	afterEach(() => {
		clock.uninstall();
	});

	describe('on a broken path', () => {
		it('does not end the body before the node accepts, and tries another node after the accept timeout', () => {
			fixture.openRequest({isRepeatable: false});
			const [first] = fixture.getAttempts('near');
			expect(first!.isEnded).to.equal(false);
			clock.tick(151);
			expect(first).to.include({isEnded: false, isCancelled: true});
			const [second] = fixture.getAttempts('far');
			second!.accept();
			second!.answer();
			expect(fixture.outcomes).to.deep.equal(['200', 'end']);
		});

		it('avoids the path for the next request', () => {
			fixture.openRequest();
			clock.tick(151);
			fixture.openRequest();
			expect(fixture.getAttempts('near').length).to.equal(1);
			expect(fixture.getAttempts('far').length).to.equal(2);
		});

		it('ignores an acceptance after the accept timeout', () => {
			fixture.openRequest({isRepeatable: false});
			const [first] = fixture.getAttempts('near');
			clock.tick(151);
			first!.accept();
			expect(first!.isEnded).to.equal(false);
		});
	});

	describe('after an attempt', () => {
		it('never retries a non-repeatable request that may have run', async () => {
			fixture.openRequest({isRepeatable: false});
			const [first] = fixture.getAttempts('near');
			first!.accept();
			first!.handler.handleFailure(createFailure('linkLost', 'cut'));
			await clock.tickAsync(1);
			expect(fixture.getAttempts('far').length).to.equal(0);
			expect(fixture.failure).to.include({name: 'linkLost', ran: 'unknown'});
		});

		it('retries a request that was rejected without being run, up to the maximum number of attempts', async () => {
			fixture.openRequest({isRepeatable: false});
			fixture.getAttempts('near')[0]!.handler.handleFailure(createFailure('serverShed', 'full'));
			fixture.getAttempts('far')[0]!.handler.handleFailure(createFailure('serverShed', 'full'));
			await clock.tickAsync(1);
			expect(fixture.getAttempts('near').length + fixture.getAttempts('far').length).to.equal(2);
			expect(fixture.failure).to.include({name: 'serverShed', ran: 'not-run'});
			expect(fixture.failure?.retryAfterMs).to.be.within(150, 2250);
		});

		it('asks a backend server without retry budget only once before a pause', async () => {
			fixture.openRequest();
			fixture.getAttempts('near')[0]!.handler.handleFailure(createFailure('serverShed', 'full'));
			fixture.egresses.get('node-far')!.refusal = createFailure('retriesSpent', 'attempt 2');
			fixture.getAttempts('far')[0]!.handler.handleFailure(createFailure('retriesSpent', 'attempt 2'));
			await clock.tickAsync(100);
			expect(fixture.getAttempts('far').length).to.equal(1);
			await clock.tickAsync(100);
			expect(fixture.getAttempts('far').length).to.equal(2);
			await clock.tickAsync(1800);
			expect(fixture.getAttempts('near').length).to.equal(1);
			expect(fixture.failure).to.include({name: 'retriesSpent', ran: 'not-run'});
		});

		it('sends the number of earlier attempts, on which the retry budget depends', () => {
			fixture.openRequest();
			expect(fixture.getAttempts('near')[0]!.head.earlierAttempts).to.equal(0);
			fixture.getAttempts('near')[0]!.answer(500);
			expect(fixture.getAttempts('far')[0]!.head.earlierAttempts).to.equal(1);
		});

		it('forwards the first server error when the second attempt fails', async () => {
			fixture.openRequest();
			fixture.getAttempts('near')[0]!.answer(500);
			fixture.getAttempts('far')[0]!.handler.handleFailure(createFailure('serverBroke', 'reset'));
			await clock.tickAsync(1);
			expect(fixture.outcomes).to.deep.equal(['500', 'end']);
		});
	});

	describe('with a backend server that hangs', () => {
		it('hedges on a second one after 60 % of the objective and cancels the first attempt when the second answers', () => {
			fixture.openRequest();
			const [first] = fixture.getAttempts('near');
			first!.accept();
			clock.tick(481);
			const [second] = fixture.getAttempts('far');
			second!.accept();
			second!.answer();
			expect(fixture.outcomes).to.deep.equal(['200', 'end']);
			expect(first!.isCancelled).to.equal(true);
		});

		it('hedges into a free slot only, so that second copies hold up no other request', () => {
			fixture.openRequest();
			fixture.getAttempts('near')[0]!.accept();
			clock.tick(481);
			expect(fixture.getAttempts('near')[0]!.head.patienceMs).to.be.above(0);
			expect(fixture.getAttempts('far')[0]!.head.patienceMs).to.equal(0);
		});

		it('does not hedge a non-repeatable request', () => {
			fixture.openRequest({isRepeatable: false});
			fixture.getAttempts('near')[0]!.accept();
			clock.tick(1500);
			expect(fixture.getAttempts('far').length).to.equal(0);
		});
	});

	describe('that was held back until late', () => {
		// Guards against work that is begun when an answer can't come before the deadline any more, and then broken off.
		it('is refused as "not run" once answers of its route take longer than the time left', async () => {
			const order = {isRepeatable: false, remainingMs: 3000, objectiveMs: 1000} as const;
			fixture.openRequest(order);
			fixture.getAttempts('near')[0]!.accept();
			await clock.tickAsync(1400);
			fixture.getAttempts('near')[0]!.answer();
			fixture.refuseAll(createFailure('serverUnwell', 'failing'));
			fixture.openRequest(order);
			await Array.from({length: 17}).reduce<Promise<unknown>>(async before => {
				await before;
				return clock.tickAsync(100);
			}, Promise.resolve());
			fixture.refuseAll(undefined);
			await clock.tickAsync(1);
			expect(fixture.failure).to.include({name: 'serverUnwell', ran: 'not-run'});
			expect(fixture.failure?.retryAfterMs).to.be.greaterThan(0);
			expect(fixture.listOpenAttempts().filter(({isEnded}) => !isEnded).length).to.equal(0);
		});
	});

	describe('during a planned stop', () => {
		const stopMs = 5200;
		const order = {isRepeatable: false, remainingMs: 8000, objectiveMs: 1000} as const;

		function startStopping(): void {
			fixture.router.startStopping(performance.now() + stopMs);
		}

		// Guards against work that is begun when the stop leaves no time for it, and then broken off.
		it('refuses a request that was held back as "not run" while there is still time, and never passes it on after that', async () => {
			fixture.refuseAll(createFailure('serverUnwell', 'failing'));
			fixture.openRequest(order);
			startStopping();
			await clock.tickAsync(stopMs - 300);
			fixture.refuseAll(undefined);
			await clock.tickAsync(300);
			expect(fixture.listOpenAttempts().length).to.equal(0);
			expect(fixture.failure).to.include({status: 503, ran: 'not-run'});
			expect(fixture.failure?.retryAfterMs).to.be.greaterThan(0);
		});

		it('refuses a new request at once when answers of its route take longer than the stop', async () => {
			fixture.openRequest(order);
			await clock.tickAsync(100);
			fixture.getAttempts('near')[0]!.accept();
			await clock.tickAsync(1800);
			fixture.getAttempts('near')[0]!.answer();
			const attempts = fixture.countAttempts();
			startStopping();
			await clock.tickAsync(stopMs - 2000);
			fixture.openRequest(order);
			await clock.tickAsync(1);
			expect(fixture.failure).to.include({name: 'nodeStopping', status: 503, ran: 'not-run'});
			expect(fixture.countAttempts()).to.equal(attempts);
		});

		// Guards against work that is broken off by a stop soon after the start, when no answer of its route has been seen.
		it('refuses a new request of an unknown route at once when its objective is longer than the stop', async () => {
			startStopping();
			await clock.tickAsync(stopMs - 1200);
			fixture.openRequest(order);
			await clock.tickAsync(1);
			expect(fixture.failure).to.include({name: 'nodeStopping', status: 503, ran: 'not-run'});
			expect(fixture.countAttempts()).to.equal(0);
		});

		it('passes on a request that can be answered before the stop ends, with the time until then', () => {
			startStopping();
			clock.tick(stopMs - 2000);
			fixture.openRequest(order);
			expect(fixture.getAttempts('near')[0]!.head.remainingMs).to.be.closeTo(2000, 1);
		});
	});

	describe('when the caller disconnects', () => {
		it('cancels the attempt in progress', () => {
			const exchange = fixture.openRequest();
			fixture.getAttempts('near')[0]!.accept();
			exchange.cancel();
			expect(fixture.getAttempts('near')[0]!.isCancelled).to.equal(true);
			expect(fixture.outcomes).to.deep.equal([]);
		});
	});
});
