import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {WindowedRetryBudget} from '../../index.js';

const window = {windowMs: 10_000, ratio: 0.2, allowance: 58};

describe('windowed retry budget', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	describe('under a retry storm', () => {
		it('keeps the retries of a service within its budget in every sliding window, however uneven the load of its servers', () => {
			const parts = Array.from({length: 12}, () => new WindowedRetryBudget(window, () => 12));
			const requestsAt: number[] = [];
			const retriesAt: number[] = [];
			Array.from({length: 400}).forEach(() => {
				clock.tick(100);
				parts.forEach((part, index) => {
					Array.from({length: index === 0 ? 4 : Number(index % 4 === 0)}).forEach(() => {
						part.recordRequest();
						requestsAt.push(clock.now);
						if (part.takeRetry(false, performance.now())) {
							retriesAt.push(clock.now);
						}
					});
				});
			});
			const ends = [10_000, 15_000, 20_000, 33_300, 40_000];
			ends.forEach(end => {
				const count = (times: readonly number[]): number => times.filter(at => at > end - window.windowMs && at <= end).length;
				expect(count(retriesAt)).to.be.at.most((window.ratio * count(requestsAt)) + window.allowance);
				expect(count(retriesAt)).to.be.above(0);
			});
		});
	});

	describe('when retried requests make calls again', () => {
		it('does not count calls as first attempts', () => {
			const part = new WindowedRetryBudget({...window, allowance: 2}, () => 1);
			Array.from({length: 10}).forEach(() => {
				part.recordRequest();
				part.recordRequest('call');
				part.recordRequest('call');
			});
			const retries = Array.from({length: 20}).filter(() => part.takeRetry(false, performance.now())).length;
			expect(retries).to.equal((window.ratio * 10) + 2);
		});

		it('counts calls of repeated runs as retries', () => {
			const part = new WindowedRetryBudget({...window, allowance: 5}, () => 1);
			Array.from({length: 4}).forEach(() => {
				part.recordRequest('repeatedCall');
			});
			expect([1, 2].map(() => part.takeRetry(false, performance.now()))).to.deep.equal([true, false]);
		});
	});

	it('divides the allowance by the number of servers', () => {
		const one = new WindowedRetryBudget({...window, allowance: 24}, () => 12);
		expect([1, 2, 3].map(() => one.takeRetry(true, performance.now()))).to.deep.equal([true, true, false]);
	});

	it('forgets samples that are older than the window', () => {
		const one = new WindowedRetryBudget({...window, allowance: 1}, () => 1);
		expect(one.takeRetry(true, performance.now())).to.equal(true);
		expect(one.takeRetry(true, performance.now())).to.equal(false);
		clock.tick(10_001);
		expect(one.takeRetry(true, performance.now())).to.equal(true);
	});
});
