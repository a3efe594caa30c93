import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	answerComplete, startHostEgressFixture, waitFor, type ExchangeResult, type HostEgressFixture,
} from '../host-egress-fixture.js';
import {findRawHeader} from '../raw-backend.js';

const urgent = 1;
const lastPriority = 1_001_000;
const longMs = 400;
const shortMs = 2;
const queuedCount = 10;
/** More than a backend server needs to have a free slot, and less than the queue needs. */
const hurriedMs = 2000;

// Guards against requests of the last priority that are lost wherever more urgent ones wait, however short and rare they are.
describe('a backend server with long requests of a better priority in its queue', () => {
	let clock: Clock;
	let fixture: HostEgressFixture;
	let finishHeld: Array<() => void>;
	let outcomes: Map<string, string>;

	async function send(requestId: string, route: string, priority: number, remainingMs = 60_000): Promise<ExchangeResult> {
		const result = await fixture.send({
			requestId, route, priority, remainingMs, objectiveMs: remainingMs, maxAttempts: 2,
		});
		outcomes.set(requestId, result.outcome);
		return result;
	}

	function listRunIds(): readonly string[] {
		return fixture.backend.requests.map(text => findRawHeader(text, 'x-id'));
	}

	/** Ends the request in progress after `ms`, and waits for what follows it. */
	async function finishNext(ms: number): Promise<void> {
		const count = finishHeld.length;
		clock.tick(ms);
		finishHeld.at(-1)!();
		await waitFor(() => finishHeld.length > count);
	}

	async function run(requestId: string, route: string, ms: number): Promise<void> {
		const count = finishHeld.length;
		const result = send(requestId, route, urgent);
		await waitFor(() => finishHeld.length > count);
		clock.tick(ms);
		finishHeld.at(-1)!();
		await result;
	}

	async function sendLong(prefix: string, count: number): Promise<void> {
		const before = fixture.egress.findLoad('server-1', {})!.queued;
		Array.from({length: count}, (_, index) => `${prefix}-${index}`).forEach(requestId => {
			void send(requestId, 'long', urgent);
		});
		await waitFor(() => fixture.egress.findLoad('server-1', {})!.queued === before + count);
	}

	beforeEach(async () => {
		finishHeld = [];
		outcomes = new Map();
		fixture = await startHostEgressFixture((socket, text) => {
			finishHeld.push(() => {
				answerComplete(socket, text);
			});
		});
		fixture.announce({slots: 1});
		const now = performance.now();
		clock = install({toFake: ['performance']});
		clock.tick(now);
		await run('long-record', 'long', longMs);
		await run('short-record', 'short', shortMs);
		void send('long-running', 'long', urgent);
		await waitFor(() => finishHeld.length === 3);
	});

	afterEach(async () => {
		clock.uninstall();
		await fixture.close();
	});

	it('runs a short one of the last priority that would be too late behind them', async () => {
		await sendLong('long', queuedCount);
		void send('hurried', 'short', lastPriority, hurriedMs);
		await finishNext(longMs);
		await finishNext(shortMs);
		expect(outcomes.get('hurried')).to.equal('200');
		expect(listRunIds().slice(2, 5)).to.deep.equal(['long-running', 'hurried', 'long-0']);
		expect(fixture.logger.lines.filter(([, {isEarly}]) => isEarly === true).map(([event, {request}]) => [event, request])).to.deep.equal([['serverRan', 'hurried']]);
	});

	it('runs one that was to be in time until more urgent ones came', async () => {
		await sendLong('early', 1);
		void send('hurried', 'short', lastPriority, hurriedMs);
		await sendLong('late', queuedCount);
		await finishNext(longMs);
		await finishNext(shortMs);
		expect(outcomes.get('hurried')).to.equal('200');
	});

	it('lets those that can wait go after them', async () => {
		await sendLong('long', 2);
		void send('patient', 'short', lastPriority);
		await finishNext(longMs);
		await finishNext(longMs);
		await finishNext(longMs);
		expect(listRunIds().slice(2)).to.deep.equal(['long-running', 'long-0', 'long-1', 'patient']);
	});

	// The time of urgent requests is lent to others in small parts only, or these would displace them.
	it('runs few long ones of the last priority, and refuses the others at once', async () => {
		await sendLong('long', queuedCount);
		Array.from({length: 5}, (_, index) => `flood-${index}`).forEach(requestId => {
			void send(requestId, 'long', lastPriority, hurriedMs);
		});
		await waitFor(() => outcomes.size === 6);
		expect([...outcomes.values()].filter(outcome => outcome === 'queueDeadline')).to.have.length(4);
		await finishNext(longMs);
		await finishNext(longMs);
		await finishNext(longMs);
		expect(listRunIds().slice(2)).to.deep.equal(['long-running', 'flood-0', 'long-0', 'long-1']);
	});
});
