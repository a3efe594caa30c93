import {expect} from 'chai';
import {FailureStateFilter} from '../../index.js';

describe('failure state filter', () => {
	it('reacts strongly to the first failures of a healthy server', () => {
		const filter = new FailureStateFilter(0);
		Array.from({length: 20}, (_, index) => index * 100).forEach(at => {
			filter.recordOutcome(false, at);
		});
		expect(filter.estimateProbability(2000)).to.be.below(0.05);
		filter.recordOutcome(true, 2100);
		expect(filter.estimateProbability(2100)).to.be.above(0.15);
		filter.recordOutcome(true, 2200);
		expect(filter.estimateProbability(2200)).to.be.above(0.9);
	});

	it('falls again after a few good answers', () => {
		const filter = new FailureStateFilter(0);
		[true, true, true, false, false, false, false].forEach((isFailure, index) => {
			filter.recordOutcome(isFailure, index * 100);
		});
		expect(filter.estimateProbability(700)).to.be.below(0.2);
	});

	it('regards a server without outcomes, or idle for long, as healthy enough for any request', () => {
		expect(new FailureStateFilter(0).estimateProbability(0)).to.be.below(0.15);
		expect(new FailureStateFilter(0).estimateProbability(100_000)).to.be.below(0.15);
	});

	it('returns to the stationary probability with time', () => {
		const filter = new FailureStateFilter(0);
		const atRest = filter.estimateProbability(0);
		filter.recordOutcome(true, 0);
		expect(filter.estimateProbability(60_000)).to.be.closeTo(atRest, 0.001);
	});

	it('does not regard a server with occasional failures as failing', () => {
		const filter = new FailureStateFilter(0);
		const unwell = Array.from({length: 2000}, (_, index) => index).filter(index => {
			filter.recordOutcome(index % 83 === 0, index * 200);
			return filter.estimateProbability(index * 200) > 0.4;
		});
		expect(unwell.length / 2000).to.be.below(0.05);
	});
});
