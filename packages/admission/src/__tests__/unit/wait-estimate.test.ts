import {expect} from 'chai';
import {estimateWait, isOverdue} from '../../index.js';

describe('wait estimate', () => {
	const running = [{startedAt: 0, workMs: 100}, {startedAt: 50, workMs: 100}];
	const cases = [
		{
			what: 'is 0 when a slot is free', slots: 3, ahead: [], now: 60, waitMs: 0,
		},
		{
			what: 'is the time until a slot is free', slots: 2, ahead: [], now: 60, waitMs: 40,
		},
		{
			what: 'includes the requests ahead, slot by slot', slots: 2, ahead: [{workMs: 200}, {workMs: 10}], now: 60, waitMs: 100,
		},
		{
			what: 'assumes a part of the expected duration for a request that exceeds it', slots: 1, ahead: [], now: 500, waitMs: 20,
		},
	];
	cases.forEach(({what, slots, ahead, now, waitMs}) => {
		it(`gives an estimate that ${what}`, () => {
			expect(estimateWait(slots, slots === 1 ? running.slice(0, 1) : running, ahead, now)).to.equal(waitMs);
		});
	});

	it('regards a request as overdue after several times its expected duration', () => {
		expect(isOverdue({startedAt: 0, workMs: 200}, 790)).to.equal(false);
		expect(isOverdue({startedAt: 0, workMs: 200}, 810)).to.equal(true);
		expect(isOverdue({startedAt: 0, workMs: 10}, 390)).to.equal(false);
	});
});
