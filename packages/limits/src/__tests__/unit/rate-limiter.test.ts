import {expect} from 'chai';
import {type Failure} from '@limpetbarrow/core';
import {
	LocalRateLimiter, type RateLimiter, SharedRateLimiter, TokenBuckets, UsageAccounts, type LimitedCaller, type ReportUsage,
} from '../../index.js';

const caller: LimitedCaller = {caller: 'c', rate: 10};

function countAllowed(limiter: RateLimiter, from: number, to: number, stepMs: number): number {
	return Array.from({length: Math.floor((to - from) / stepMs)}, (_, step) => from + (step * stepMs))
		.filter(now => limiter.takePermit(caller, now).isRight()).length;
}

describe('rate limits', () => {
	describe('LocalRateLimiter', () => {
		it('allows a burst and then the rate', () => {
			expect(countAllowed(new LocalRateLimiter(), 0, 10_000, 10)).to.be.within(108, 110);
		});

		it('states in a refusal when to retry', () => {
			const limiter = new LocalRateLimiter();
			countAllowed(limiter, 0, 11, 1);
			const refused = limiter.takePermit(caller, 11).swap().extract() as Failure;
			expect(refused.name).to.equal('limitExceeded');
			expect(refused.retryAfterMs).to.be.within(89, 90);
		});

		it('limits callers separately', () => {
			const limiter = new LocalRateLimiter();
			countAllowed(limiter, 0, 1000, 1);
			expect(limiter.takePermit({caller: 'other', rate: 10}, 1000).isRight()).to.equal(true);
		});
	});

	describe('TokenBuckets', () => {
		it('evicts the least recently used bucket, whose caller then gets a full one', () => {
			const buckets = new TokenBuckets(2);
			const rate = {rate: 1, burst: 1};
			const taken = ['a', 'b', 'c', 'a', 'c'].map(name => buckets.takePermits(name, 1, rate, 0));
			expect(taken).to.deep.equal([1, 1, 1, 1, 0]);
			expect(buckets.countBuckets()).to.equal(2);
		});

		it('adds no permits when the clock goes back', () => {
			const buckets = new TokenBuckets();
			const rate = {rate: 1, burst: 1};
			expect([5000, 0, 5500, 6000].map(now => buckets.takePermits('a', 1, rate, now))).to.deep.equal([1, 0, 0, 1]);
		});
	});

	describe('SharedRateLimiter', () => {
		let now = 0;

		/** Counts the requests allowed of 100 per second for 30 seconds, spread over 8 nodes. */
		const countFleet = (reportUsage: ReportUsage<LimitedCaller>): number => {
			const limiters = Array.from({length: 8}, () => new SharedRateLimiter<LimitedCaller>(reportUsage));
			return Array.from({length: 3000}, (_, step) => step).filter(step => {
				now = step * 10;
				return limiters[step % 8]!.takePermit(caller, now).isRight();
			}).length;
		};

		it('limits a caller to its rate over all nodes', () => {
			const accounts = new UsageAccounts();
			const allowed = countFleet((reported, used, handleBalance) => {
				handleBalance(accounts.recordUsage(reported, used, now), now);
			});
			expect(allowed).to.be.within(30 * caller.rate, 30 * caller.rate * 1.5);
		});

		it('allows the full rate on each node while the home node does not answer', () => {
			expect(countFleet(() => undefined)).to.be.at.least(8 * 30 * caller.rate);
		});

		it('refuses a caller whose account is in debt until the debt is paid off', () => {
			const limiter = new SharedRateLimiter<LimitedCaller>((_, _used, handleBalance) => {
				handleBalance(-20, 0);
			});
			Array.from({length: 4}).forEach(() => {
				limiter.takePermit(caller, 0);
			});
			expect(limiter.takePermit(caller, 1999).extract()).to.deep.include({name: 'limitExceeded', retryAfterMs: 1});
			expect(limiter.takePermit(caller, 2000).isRight()).to.equal(true);
		});
	});
});
