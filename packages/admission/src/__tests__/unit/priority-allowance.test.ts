import {expect} from 'chai';
import {allowanceShare, maxAllowanceDebtMs, PriorityAllowance} from '../../index.js';

const longMs = 1000;

describe('the allowance of priorities', () => {
	let allowance: PriorityAllowance<string>;
	beforeEach(() => {
		allowance = new PriorityAllowance();
	});

	function runOthers(workMs: number): void {
		allowance.recordStart('other', workMs);
	}

	it('has room for short requests, and for one long one', () => {
		Array.from({length: 10}, (_, index) => `short-${index}`).forEach(key => {
			expect(allowance.hasRoom(2)).to.equal(true);
			allowance.grant(key, {priority: 2, workMs: maxAllowanceDebtMs / 20});
		});
		expect(allowance.hasRoom(2)).to.equal(true);
		allowance.grant('long', {priority: 2, workMs: longMs});
		expect(allowance.hasRoom(2)).to.equal(false);
		expect(allowance.hasRoom(3)).to.equal(true);
	});

	it('has room again when others have run for as long as its share makes of it', () => {
		allowance.grant('long', {priority: 2, workMs: longMs});
		allowance.recordStart('long', longMs);
		runOthers((longMs - maxAllowanceDebtMs) / allowanceShare);
		expect(allowance.hasRoom(2)).to.equal(false);
		runOthers(1);
		expect(allowance.hasRoom(2)).to.equal(true);
	});

	// Guards against a total that grows with the number of priorities.
	it('divides the share among the priorities that owe', () => {
		[2, 3].forEach(priority => {
			allowance.grant(`long-${priority}`, {priority, workMs: longMs});
		});
		runOthers(longMs / allowanceShare);
		expect([2, 3].map(priority => allowance.hasRoom(priority))).to.deep.equal([false, false]);
		runOthers(longMs / allowanceShare);
		expect([2, 3].map(priority => allowance.hasRoom(priority))).to.deep.equal([true, true]);
	});

	it('charges what a request used, not what was expected, and nothing for one that has not run', () => {
		allowance.grant('unknown', {priority: 2, workMs: longMs});
		allowance.settle('unknown', 3);
		expect(allowance.hasRoom(2)).to.equal(true);
		allowance.grant('short', {priority: 2, workMs: 3});
		allowance.settle('short', longMs);
		expect(allowance.hasRoom(2)).to.equal(false);
		allowance.settle('short', 0);
		expect(allowance.hasRoom(2)).to.equal(false);
		allowance.grant('refused', {priority: 3, workMs: longMs});
		allowance.settle('refused', 0);
		expect(allowance.hasRoom(3)).to.equal(true);
	});

	it('saves nothing up', () => {
		runOthers(100 * longMs);
		allowance.grant('long', {priority: 2, workMs: longMs});
		expect(allowance.hasRoom(2)).to.equal(false);
	});
});
