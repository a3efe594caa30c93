import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {createFailure} from '@limpetbarrow/core';
import {RouterFixture} from '../router-fixture.js';

describe('a request that waits', () => {
	let clock: Clock;
	let fixture: RouterFixture;

	beforeEach(() => {
		clock = install();
		fixture = new RouterFixture();
	});

	afterEach(() => {
		clock.uninstall();
	});

	describe('when all backend servers refuse', () => {
		it('fails at once with "not run" and a retry delay if too little time is left for a pause', async () => {
			fixture.refuseAll(createFailure('queueDeadline', 'full', 900));
			fixture.openRequest({remainingMs: 500});
			await clock.tickAsync(1);
			expect(fixture.failure).to.include({name: 'queueDeadline', ran: 'not-run', status: 503});
			expect(fixture.failure?.retryAfterMs).to.be.within(900, 1350);
			expect(clock.now).to.be.below(10);
		});

		it('pauses, is taken by a server that is healthy again, and has gone to none that is failing', async () => {
			fixture.refuseAll(createFailure('serverUnwell', 'failing'));
			fixture.openRequest({isRepeatable: false, remainingMs: 10_000});
			await clock.tickAsync(1000);
			expect(fixture.countAttempts()).to.be.above(4);
			expect(fixture.listAttempts().some(({head}) => head.isLastResort)).to.equal(false);
			fixture.refuseAll(undefined);
			await clock.tickAsync(700);
			fixture.getAttempts('near').at(-1)!.accept();
			fixture.getAttempts('near').at(-1)!.answer();
			expect(fixture.outcomes).to.deep.equal(['200', 'end']);
		});

		it('goes to a failing server only when its time is nearly over, and says "not run" if that refuses too', async () => {
			fixture.refuseAll(createFailure('serverUnwell', 'failing'));
			fixture.openRequest({isRepeatable: false, remainingMs: 4000});
			await clock.tickAsync(2400);
			expect(fixture.failure).to.equal(undefined);
			await clock.tickAsync(1600);
			expect(fixture.listAttempts().some(({head}) => head.isLastResort)).to.equal(true);
			expect(fixture.failure).to.include({name: 'serverUnwell', ran: 'not-run'});
		});

		it('lets a late call wait for a slot, as the request that made it is lost without it', async () => {
			fixture.refuseAll(createFailure('serverUnwell', 'failing'));
			fixture.openRequest({remainingMs: 3000, cause: 'call'});
			fixture.openRequest({remainingMs: 3000});
			await clock.tickAsync(900);
			const asks = fixture.listAttempts().filter(({head}) => head.remainingMs < 2200 && head.isLastResort !== true);
			expect(asks.filter(({head}) => head.cause === 'call').every(({head}) => head.patienceMs! > 500)).to.equal(true);
			expect(asks.filter(({head}) => head.cause === undefined).every(({head}) => head.patienceMs === 0)).to.equal(true);
		});

		it('fails at once for lack of room, as a later return would find none either', async () => {
			fixture.refuseAll(createFailure('queueFull', 'full', 5000));
			fixture.openRequest({remainingMs: 10_000});
			await clock.tickAsync(1);
			expect(fixture.failure).to.include({name: 'queueFull', ran: 'not-run'});
		});

		it('asks no more often than the pauses allow, which grow up to a second', async () => {
			fixture.refuseAll(createFailure('serverUnwell', 'failing'));
			fixture.openRequest({remainingMs: 10_000});
			await clock.tickAsync(10_000);
			expect(fixture.countAttempts()).to.be.within(20, 80);
			expect(fixture.failure).to.include({name: 'serverUnwell', ran: 'not-run'});
		});

		it('asks no more once the caller has disconnected', async () => {
			fixture.refuseAll(createFailure('serverUnwell', 'failing'));
			const exchange = fixture.openRequest({remainingMs: 10_000});
			await clock.tickAsync(100);
			const asks = fixture.countAttempts();
			exchange.cancel();
			await clock.tickAsync(5000);
			expect(fixture.countAttempts()).to.equal(asks);
		});

		it('fails as not run at the end of a planned stop', async () => {
			fixture.refuseAll(createFailure('serverUnwell', 'failing'));
			fixture.openRequest({remainingMs: 10_000});
			await clock.tickAsync(100);
			fixture.router.failRequests();
			await clock.tickAsync(1);
			expect(fixture.failure).to.include({name: 'nodeStopping', ran: 'not-run'});
		});

		it('is refused at once while too many others pause', async () => {
			fixture.refuseAll(createFailure('serverUnwell', 'failing'));
			Array.from({length: 256}, () => fixture.openRequest({remainingMs: 10_000}));
			await clock.tickAsync(1);
			expect(fixture.failure).to.equal(undefined);
			fixture.openRequest({remainingMs: 10_000});
			await clock.tickAsync(1);
			expect(fixture.failure).to.include({name: 'serverUnwell', ran: 'not-run'});
		});
	});

	describe('when the node stops', () => {
		it('fails as not run while no backend server has got its body', async () => {
			fixture.openRequest({isRepeatable: false});
			fixture.router.failRequests();
			await clock.tickAsync(1);
			expect(fixture.failure).to.include({name: 'nodeStopping', ran: 'not-run'});
		});

		it('fails as possibly run once a backend server has got its body', async () => {
			fixture.openRequest({isRepeatable: false});
			fixture.getAttempts('near')[0]!.accept();
			fixture.router.failRequests();
			await clock.tickAsync(1);
			expect(fixture.failure).to.include({name: 'answerTimeout', ran: 'unknown'});
			expect(fixture.getAttempts('near')[0]!.isCancelled).to.equal(true);
		});

		it('delivers a server error that was kept back for another attempt', async () => {
			fixture.openRequest();
			fixture.getAttempts('near')[0]!.accept();
			fixture.getAttempts('near')[0]!.answer(500);
			await clock.tickAsync(1);
			fixture.router.failRequests();
			await clock.tickAsync(1);
			expect(fixture.outcomes).to.deep.equal(['500', 'end']);
		});

		it('does nothing to a request that has ended', async () => {
			fixture.openRequest();
			fixture.getAttempts('near')[0]!.accept();
			fixture.getAttempts('near')[0]!.answer();
			await clock.tickAsync(1);
			fixture.router.failRequests();
			await clock.tickAsync(1);
			expect(fixture.failure).to.equal(undefined);
		});
	});
});
