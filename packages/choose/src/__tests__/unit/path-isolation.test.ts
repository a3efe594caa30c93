import {expect} from 'chai';
import {PathHealth} from '../../index.js';

describe('path health of an isolated node', () => {
	it('reports isolation for 700 ms once four paths have failed and none has worked', () => {
		const paths = new PathHealth();
		['a', 'b', 'c'].forEach(id => {
			paths.recordFailure(id, 0);
		});
		expect(paths.isIsolated(1)).to.equal(false);
		paths.recordFailure('d', 1);
		expect(paths.isIsolated(2)).to.equal(true);
		expect(paths.isIsolated(702)).to.equal(false);
	});

	it('ends the isolation with the first answer', () => {
		const paths = new PathHealth();
		['a', 'b', 'c', 'd'].forEach(id => {
			paths.recordFailure(id, 0);
		});
		paths.recordSuccess('e', 1);
		expect(paths.isIsolated(2)).to.equal(false);
	});

	it('avoids single paths without isolation while other paths work', () => {
		const paths = new PathHealth();
		['a', 'b', 'c', 'd'].forEach(id => {
			paths.recordFailure(id, 0);
			paths.recordSuccess('e', 0);
		});
		expect(paths.isIsolated(1)).to.equal(false);
		expect(paths.isAvoided('a', 1)).to.equal(true);
	});

	it('allows a path again after the longest back-off at the latest', () => {
		const paths = new PathHealth(2000);
		Array.from({length: 10}, (_, index) => index * 3000).forEach(now => {
			paths.recordFailure('a', now);
		});
		expect(paths.isAvoided('a', 28_999)).to.equal(true);
		expect(paths.isAvoided('a', 29_001)).to.equal(false);
	});
});
