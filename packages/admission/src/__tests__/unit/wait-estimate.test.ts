import {expect} from 'chai';
import {estimateWait, isOverdue} from '../../index.js';

describe('slot forecast', () => {
	const running = [{startedAt: 0, workMs: 100}, {startedAt: 50, workMs: 100}];
	const cases = [
		{
			what: 'a free slot', slots: 3, ahead: [], now: 60, waitMs: 0,
		},
		{
			what: 'the slot that is free first', slots: 2, ahead: [], now: 60, waitMs: 40,
		},
		{
			what: 'the work ahead, slot by slot', slots: 2, ahead: [{workMs: 200}, {workMs: 10}], now: 60, waitMs: 100,
		},
		{
			what: 'a part of its expected work for a request that takes longer than that', slots: 1, ahead: [], now: 500, waitMs: 20,
		},
	];
	cases.forEach(({what, slots, ahead, now, waitMs}) => {
		it(`waits for ${what}`, () => {
			expect(estimateWait(slots, slots === 1 ? running.slice(0, 1) : running, ahead, now)).to.equal(waitMs);
		});
	});

	it('holds a request overdue that takes several times its work', () => {
		expect(isOverdue({startedAt: 0, workMs: 200}, 790)).to.equal(false);
		expect(isOverdue({startedAt: 0, workMs: 200}, 810)).to.equal(true);
		expect(isOverdue({startedAt: 0, workMs: 10}, 390)).to.equal(false);
	});
});
