import {setTimeout as wait} from 'node:timers/promises';
import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {startHostEgressFixture} from '../host-egress-fixture.js';
import {LimitedFleet} from '../limited-fleet.js';
import {formatRawResponse} from '../raw-backend.js';

const spanMs = 4000;
/** Time from the first naming of a limit until it binds, and from a host's response until its requests count. */
const contactMs = 4000;
const knownAfterMs = 500;

/** The users' rule: in four seconds, one and a half times what the limit allows, and five more. */
function computeAllowed(perSecond: number): number {
	return (1.5 * perSecond * spanMs / 1000) + 5;
}

// Guards against a backend server that gets far more requests than the limit which its responses name.
describe('a backend server that names a limit', () => {
	describe('in a fleet of many hosts', () => {
		const hosts = 12;
		let clock: Clock;
		let fleet: LimitedFleet;

		beforeEach(() => {
			clock = FakeTimers.install();
			fleet = new LimitedFleet(hosts);
		});

		afterEach(() => {
			clock.uninstall();
		});

		/** Sends requests from all hosts in turn for a time. */
		async function sendFor(ms: number, perSecond = 60): Promise<void> {
			const count = Math.round(ms * perSecond / 1000);
			for (let index = 0; index < count; index++) {
				fleet.send(index * 7);
				// eslint-disable-next-line no-await-in-loop
				await clock.tickAsync(1000 / perSecond);
			}
		}

		function assertWithinLimit(perSecond: number, from: number): void {
			const times = fleet.egress.arrivals.map(({at}) => at).filter(at => at >= from);
			times.forEach(until => {
				expect(times.filter(at => at > until - spanMs && at <= until).length).to.be.at.most(computeAllowed(perSecond));
			});
		}

		[1, 2.5, 8].forEach(perSecond => {
			it(`of ${perSecond} a second gets no more, and as much as that lets it serve`, async () => {
				fleet.egress.limit = perSecond;
				await sendFor(20_000);
				assertWithinLimit(perSecond, contactMs);
				expect(fleet.servedCount).to.be.above(perSecond * 15);
			});
		});

		it('gets no more while it falls step by step', async () => {
			await [8, 6, 4, 2, 1].reduce(async (before, limit) => {
				await before;
				fleet.egress.limit = limit;
				await sendFor(3000);
			}, Promise.resolve());
			const fallenAt = performance.now() - 3000;
			await sendFor(6000);
			assertWithinLimit(1, fallenAt + knownAfterMs);
		});

		it('gets no more when its node restarts again and again', async () => {
			fleet.egress.limit = 2;
			await sendFor(5000);
			for (let restart = 0; restart < 6; restart++) {
				fleet.egress.replaceProcess();
				// eslint-disable-next-line no-await-in-loop
				await sendFor(1500);
			}

			assertWithinLimit(2, contactMs);
		});

		it('gets no more when its node is cut off now and then', async () => {
			fleet.egress.limit = 2;
			for (let cut = 0; cut < 5; cut++) {
				// eslint-disable-next-line no-await-in-loop
				await sendFor(2000);
				fleet.egress.isCutOff = true;
				// eslint-disable-next-line no-await-in-loop
				await sendFor(1000);
				fleet.egress.isCutOff = false;
			}

			assertWithinLimit(2, contactMs);
		});

		it('gets no more than the hosts\' shares when its node is of an older build', async () => {
			fleet.egress.isOlderBuild = true;
			fleet.egress.limit = 4;
			await sendFor(30_000);
			assertWithinLimit(4, contactMs + spanMs);
		});

		it('lets requests beyond it be refused at once, with the time until there is room', async () => {
			fleet.egress.limit = 1;
			await sendFor(6000);
			const {length} = fleet.failures;
			const sentAt = performance.now();
			Array.from({length: hosts}).forEach((_, host) => {
				fleet.send(host);
			});
			await clock.tickAsync(50);
			const refused = fleet.failures.slice(length);
			expect(refused.length).to.be.at.least(hosts - 1);
			expect(performance.now() - sentAt).to.be.at.most(50);
			refused.forEach(({ran, retryAfterMs}) => {
				expect(ran).to.equal('not-run');
				expect(retryAfterMs).to.be.within(150, 6000);
			});
		});

		it('gets traffic back in steps once it names none', async () => {
			fleet.egress.limit = 1;
			await sendFor(10_000);
			fleet.egress.limit = undefined;
			const from = performance.now();
			await sendFor(9000);
			const counts = [0, 1, 2, 8].map(second => fleet.egress.arrivals.filter(({at}) => at >= from + (second * 1000) && at < from + ((second + 1) * 1000)).length);
			expect(counts[0]).to.be.below(10);
			expect(counts[3]).to.be.above(50);
		});
	});

	// The real egress, with connections to a backend server.
	it('gets no more from its egress, whatever its responses are, and is full for the rest', async () => {
		const perSecond = 5;
		let arrivals: readonly number[] = [];
		const fixture = await startHostEgressFixture((socket, text) => {
			arrivals = [...arrivals, performance.now()];
			const status = [200, 500, 503][arrivals.length % 3]!;
			socket.write(formatRawResponse(text, {status, headers: [`x-limit: ${perSecond}`, ...(status === 503 ? ['x-not-run: 1'] : [])]}));
		});
		const outcomes: string[] = [];
		for (let index = 0; index < 300; index++) {
			void fixture.send({requestId: `r-${index}`, isLastResort: true}).then(({outcome}) => {
				outcomes.push(outcome);
			});
			// eslint-disable-next-line no-await-in-loop
			await wait(20);
		}

		await fixture.close();
		expect(arrivals.length).to.be.above(15);
		arrivals.forEach(until => {
			expect(arrivals.filter(at => at > until - spanMs && at <= until).length).to.be.at.most(computeAllowed(perSecond));
		});
		expect(outcomes.filter(outcome => outcome === 'queueFull').length).to.be.above(200);
		expect(fixture.logger.lines.filter(([event]) => event === 'serverLimitChanged')).to.deep.equal([['serverLimitChanged', {server: 'server-1', limit: perSecond}]]);
	}).timeout(15_000);

	[
		{what: 'one that can\'t be read', headers: ['x-limit: many']},
		{what: 'a negative one', headers: ['x-limit: -1']},
	].forEach(({what, headers}) => {
		it(`is not limited by ${what}`, async () => {
			const fixture = await startHostEgressFixture((socket, text) => {
				socket.write(formatRawResponse(text, {headers}));
			});
			const outcomes = await Array.from({length: 20}).reduce<Promise<readonly string[]>>(async (before, _, index) => {
				const known = await before;
				const {outcome} = await fixture.send({requestId: `r-${index}`});
				return [...known, outcome];
			}, Promise.resolve([]));
			await fixture.close();
			expect(new Set(outcomes)).to.deep.equal(new Set(['200']));
		});
	});
});
