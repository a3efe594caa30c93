import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	keepAfterExpiryMs, maxAnswerBytes, maxWaitersPerKey, type Sequencer,
} from '../../index.js';
import {
	createHead, createReadKey, createSequencer, FakeCaller, FakeCarrier, wideBounds,
} from './fakes.js';

const lifetimeMs = 600_000;

describe('Sequencer', () => {
	let clock: Clock;
	let carrier: FakeCarrier;
	let sequencer: Sequencer;
	let isStopping: boolean;

	const send = (key: string, {attempt = 0, body = 'shoe', path = '/orders', isWhole = true} = {}): FakeCaller => {
		const caller = new FakeCaller(sequencer, createHead(key, attempt, path), body);
		if (isWhole) {
			caller.exchange.endBody();
		}

		return caller;
	};

	const countRuns = (): number => carrier.runs.filter(({state}) => state !== 'not-run').length;

	beforeEach(() => {
		clock = install({now: 1_000_000});
		carrier = new FakeCarrier();
		isStopping = false;
		sequencer = createSequencer(carrier, {readKey: createReadKey(1_000_000 + lifetimeMs), isStopping: () => isStopping});
	});

	afterEach(() => {
		clock.uninstall();
	});

	describe('when a key is sent again', () => {
		it('replays the stored answer without a second run', () => {
			const first = send('t:1');
			carrier.runs[0]!.answer('fitted ', 'well');
			const second = send('t:1');
			expect([first.text, second.text, second.status]).to.deep.equal(['fitted well', 'fitted well', 200]);
			expect(countRuns()).to.equal(1);
		});

		it('lets concurrent resends wait for the run, and cancelling one does not affect the others', () => {
			const [first, second, third] = [send('t:1'), send('t:1'), send('t:1')] as const;
			second.exchange.cancel();
			carrier.runs[0]!.answer('done');
			expect([first.text, second.text, third.text]).to.deep.equal(['done', '', 'done']);
			expect([first.endCount, second.endCount, third.endCount]).to.deep.equal([1, 0, 1]);
			expect(countRuns()).to.equal(1);
		});

		it('refuses a resend with another body or path, both during and after the run', async () => {
			send('t:1');
			const whileRunning = send('t:1', {body: 'boot'});
			const otherPath = send('t:1', {path: '/payouts'});
			carrier.runs[0]!.answer('done');
			const after = send('t:1', {body: 'boot'});
			await clock.tickAsync(0);
			expect([whileRunning, otherPath, after].map(({failure}) => failure?.name)).to.deep.equal(['keyReused', 'keyReused', 'keyReused']);
			expect(countRuns()).to.equal(1);
		});

		it('answers answerNotKept if the answer was too large to store', () => {
			const first = send('t:1');
			carrier.runs[0]!.answer('x'.repeat(maxAnswerBytes), 'y');
			expect(first.text.length).to.equal(maxAnswerBytes + 1);
			expect(send('t:1').failure?.name).to.equal('answerNotKept');
		});

		it('answers keyOutcomeUnknown to every resend after the link was lost during the run', () => {
			expect(send('t:1').failure).to.equal(undefined);
			carrier.runs[0]!.fail('linkLost');
			expect(send('t:1', {attempt: 9}).failure).to.deep.include({name: 'keyOutcomeUnknown', resend: 'never'});
			expect(countRuns()).to.equal(1);
		});

		it('consumes the body of the resend and grants credit for it', () => {
			send('t:1');
			expect(send('t:1', {body: 'shoe'}).credit).to.equal(4);
		});

		it('refuses a resend if too many already wait for the run', async () => {
			send('t:1');
			const sends = Array.from({length: maxWaitersPerKey + 1}, () => send('t:1'));
			await clock.tickAsync(0);
			expect(sends.at(-1)!.failure?.name).to.equal('keyUndecided');
			carrier.runs[0]!.answer('done');
			expect(sends.filter(({text}) => text === 'done').length).to.equal(maxWaitersPerKey);
		});
	});

	describe('when the caller disconnects', () => {
		it('continues a complete request and consumes its answer for later resends', () => {
			const first = send('t:1');
			const [run] = carrier.runs;
			run!.handler.handleHead({status: 200, headers: []});
			run!.handler.handleData(new Uint8Array(10));
			first.exchange.cancel();
			expect(run!.granted).to.equal(10);
			run!.handler.handleData(new Uint8Array(20));
			expect(run!.granted).to.equal(30);
			run!.handler.handleEnd();
			expect(send('t:1').text.length).to.equal(30);
		});

		it('cancels an incomplete request and records its outcome as unknown', () => {
			send('t:1', {isWhole: false}).exchange.cancel();
			expect(carrier.runs[0]!.isCancelled).to.equal(true);
			expect(send('t:1').failure?.name).to.equal('keyOutcomeUnknown');
			expect(sequencer.countRunning()).to.equal(0);
		});
	});

	describe('when a run ends as "not run"', () => {
		it('runs only one of the later attempts', () => {
			expect(send('t:1', {attempt: 1}).endCount).to.equal(0);
			carrier.runs[0]!.fail('queueFull');
			send('t:1', {attempt: 2});
			send('t:1', {attempt: 3});
			expect(carrier.runs.length).to.equal(2);
			carrier.runs[1]!.answer('done');
			expect(send('t:1', {attempt: 4}).text).to.equal('done');
			expect(countRuns()).to.equal(1);
		});

		it('never runs an earlier attempt that arrives late', () => {
			send('t:1', {attempt: 2});
			carrier.runs[0]!.fail('queueFull');
			expect(send('t:1', {attempt: 1}).failure?.name).to.equal('queueFull');
			expect(send('t:1').failure?.name).to.equal('queueFull');
			expect(countRuns()).to.equal(0);
		});

		it('never runs an attempt that precedes a resend answered with "not run"', () => {
			send('t:1', {attempt: 1});
			const waiting = send('t:1', {attempt: 5});
			carrier.runs[0]!.fail('queueFull');
			expect(waiting.failure?.ran).to.equal('not-run');
			expect(send('t:1', {attempt: 4}).failure?.name).to.equal('queueFull');
			expect(countRuns()).to.equal(0);
		});
	});

	describe('when time passes', () => {
		it('ends a run without an outcome as unknown', async () => {
			const first = send('t:1');
			await clock.tickAsync(13_000);
			expect(first.failure?.name).to.equal('keyOutcomeUnknown');
			expect(sequencer.countRunning()).to.equal(0);
		});

		it('runs no key after its terms ended and stores outcomes for keepAfterExpiryMs longer', async () => {
			send('t:1');
			carrier.runs[0]!.answer('done');
			await clock.tickAsync(lifetimeMs + 1);
			sequencer.sweep();
			expect(send('t:1').text).to.equal('done');
			const late = send('t:2', {attempt: 1});
			await clock.tickAsync(keepAfterExpiryMs);
			sequencer.sweep();
			const dropped = send('t:1');
			await clock.tickAsync(0);
			expect([late.failure?.name, dropped.failure?.name]).to.deep.equal(['keyOutcomeUnknown', 'keyOutcomeUnknown']);
			expect(sequencer.countKeys()).to.equal(0);
			expect(carrier.runs.length).to.equal(1);
		});

		it('does not revive ended terms when the wall clock is set back', async () => {
			send('t:1');
			carrier.runs[0]!.answer('done');
			await clock.tickAsync(lifetimeMs + keepAfterExpiryMs + 1);
			sequencer.sweep();
			clock.setSystemTime(1_000_000);
			const again = send('t:1');
			await clock.tickAsync(0);
			expect(again.failure?.name).to.equal('keyOutcomeUnknown');
			expect(carrier.runs.length).to.equal(1);
		});

		it('refuses a request that waited during a pause and never runs that attempt', async () => {
			await clock.tickAsync(1000);
			clock.setSystemTime(Date.now() + 30_000);
			const waited = send('t:1', {attempt: 1});
			await clock.tickAsync(2000);
			expect(waited.failure).to.deep.include({name: 'deadlinePassed', ran: 'not-run'});
			expect(send('t:1', {attempt: 1}).failure?.name).to.equal('deadlinePassed');
			send('t:1', {attempt: 2});
			expect(carrier.runs.length).to.equal(1);
		});
	});

	describe('limits', () => {
		it('refuse new keys and drop no stored key', async () => {
			sequencer = createSequencer(carrier, {readKey: createReadKey(1_000_000 + lifetimeMs), bounds: {...wideBounds, maxKeysPerTerms: 2, maxKeys: 3}});
			['t:1', 't:2', 'u:1'].forEach(key => {
				send(key, {attempt: 1});
				carrier.runs.at(-1)!.answer(key);
			});
			const refused = ['t:3', 'u:2'].map(key => send(key, {attempt: 1}));
			const resent = send('u:3', {attempt: 2});
			await clock.tickAsync(0);
			expect(refused.map(({failure}) => failure?.name)).to.deep.equal(['keysFull', 'keysFull']);
			expect(resent.failure).to.deep.include({name: 'keyUndecided', ran: 'unknown'});
			expect(['t:1', 't:2', 'u:1'].map(key => send(key).text)).to.deep.equal(['t:1', 't:2', 'u:1']);
		});

		it('include the bytes of running and stored answers', async () => {
			sequencer = createSequencer(carrier, {readKey: createReadKey(1_000_000 + lifetimeMs), bounds: {...wideBounds, maxKeptBytes: 200_000}});
			const sends = ['t:1', 't:2', 't:3', 't:4'].map(key => send(key, {attempt: 1}));
			carrier.runs.forEach(run => {
				run.answer('x'.repeat(maxAnswerBytes));
			});
			await clock.tickAsync(0);
			expect(sends.map(({failure}) => failure?.name)).to.deep.equal([undefined, undefined, undefined, 'keysFull']);
			expect(sequencer.countBytes()).to.be.at.most(200_000);
		});
	});

	describe('during a planned stop', () => {
		it('finishes running keys, answers known keys and refuses new ones', async () => {
			const first = send('t:1', {attempt: 1});
			isStopping = true;
			const fresh = send('t:2', {attempt: 1});
			await clock.tickAsync(0);
			expect(fresh.failure).to.deep.include({name: 'nodeStopping', ran: 'not-run'});
			expect(sequencer.countRunning()).to.equal(1);
			carrier.runs[0]!.answer('done');
			expect([first.text, send('t:1').text]).to.deep.equal(['done', 'done']);
			expect(sequencer.countRunning()).to.equal(0);
		});
	});
});
