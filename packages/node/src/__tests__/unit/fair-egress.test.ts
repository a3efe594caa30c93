import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {maxQueuedRequests} from '@limpetbarrow/admission';
import {
	answerComplete, startHostEgressFixture, waitFor, type ExchangeResult, type HostEgressFixture,
} from '../host-egress-fixture.js';
import {findRawHeader} from '../raw-backend.js';

const remainingMs = 60_000;

describe('a backend server whose queue is full of requests of one organisation', () => {
	let fixture: HostEgressFixture;
	let outcomes: ReadonlyArray<readonly [string, string]>;
	let finishHeld: Array<() => void>;

	function countQueued(): number {
		return fixture.egress.findLoad('server-1', {organisation: ''})!.queued;
	}

	async function send(requestId: string, organisation: string, earlierAttempts = 0): Promise<ExchangeResult> {
		const result = await fixture.send({
			requestId, organisation, earlierAttempts, maxAttempts: 3, priority: 1, remainingMs,
		});
		outcomes = [...outcomes, [requestId, result.outcome]];
		return result;
	}

	function listRunIds(): readonly string[] {
		return fixture.backend.requests.map(text => findRawHeader(text, 'x-id'));
	}

	beforeEach(async () => {
		outcomes = [];
		finishHeld = [];
		fixture = await startHostEgressFixture((socket, text) => {
			finishHeld.push(() => {
				answerComplete(socket, text);
			});
		});
		fixture.announce({slots: 1});
		Array.from({length: maxQueuedRequests + 1}, (_, index) => `large-${index}`).forEach(requestId => {
			void send(requestId, 'large');
		});
		await waitFor(() => finishHeld.length === 1 && countQueued() === maxQueuedRequests);
	});

	afterEach(async () => {
		await fixture.close();
	});

	it('takes a request of another one, and gives up the last of those as not run', async () => {
		void send('small-1', 'small');
		await waitFor(() => outcomes.length > 0);
		expect(outcomes).to.deep.equal([[`large-${maxQueuedRequests}`, 'queueFull']]);
		expect(countQueued()).to.equal(maxQueuedRequests);
		finishHeld[0]!();
		await waitFor(() => finishHeld.length === 2);
		finishHeld[1]!();
		await waitFor(() => finishHeld.length === 3);
		expect(listRunIds().slice(0, 3)).to.deep.equal(['large-0', 'large-1', 'small-1']);
	});

	// Guards against a way around the shares: retries and requests of an organisation count as its own alike.
	it('refuses retries and further requests of that organisation', async () => {
		expect(await send('large-again', 'large', 1)).to.include({outcome: 'queueFull'});
		expect(await send('large-more', 'large')).to.include({outcome: 'queueFull'});
		expect(countQueued()).to.equal(maxQueuedRequests);
	});

	it('takes a call that another request waits for', async () => {
		void send('call-1', '');
		await waitFor(() => outcomes.length > 0);
		expect(outcomes).to.deep.equal([[`large-${maxQueuedRequests}`, 'queueFull']]);
	});

	describe('while the clock is paused', () => {
		let clock: Clock;

		// The request in progress has less left at each later moment, and so have those that wait for it.
		beforeEach(() => {
			const now = performance.now();
			clock = install({toFake: ['performance']});
			clock.tick(now);
		});

		afterEach(() => {
			clock.uninstall();
		});

		it('tells each organisation the wait that its requests would meet', () => {
			const [own, other, absent] = ['large', 'small', undefined].map(organisation => fixture.egress.findLoad('server-1', {priority: 1, organisation, remainingMs})!.waitMs!);
			expect(own).to.be.greaterThan(10 * other!);
			expect(absent).to.equal(other);
		});
	});
});
