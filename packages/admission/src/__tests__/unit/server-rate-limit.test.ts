import {expect} from 'chai';
import {
	array, assert as assertProperty, double, nat, property, record,
} from 'fast-check';
import {allowanceShare, ServerRateLimit, type LimitedRequest} from '../../index.js';

/** The users' rule: in four seconds, one and a half times what the limit allows, and five more. */
const spanMs = 4000;
const ruleFactor = 1.5;
const ruleSlack = 5;
const first: LimitedRequest = {priority: 1, isRepeat: false};

function computeAllowed(perSecond: number): number {
	return (ruleFactor * perSecond * spanMs / 1000) + ruleSlack;
}

/** Sends a request if the limit lets it. Returns whether it did. */
function sendIfAllowed(limit: ServerRateLimit, request: LimitedRequest, now: number): boolean {
	limit.recordDemand(request, now);
	const isAllowed = limit.computeWait(request, 0, now) === 0;
	if (isAllowed) {
		limit.recordSend(now);
	}

	return isAllowed;
}

/** Offers requests at an even rate. Returns the times at which they were sent. */
function playRequests(limit: ServerRateLimit, {from, until, perSecond, request = first}: {readonly from: number; readonly until: number; readonly perSecond: number; readonly request?: LimitedRequest}): readonly number[] {
	const count = Math.round((until - from) * perSecond / 1000);
	return Array.from({length: count}, (_, index) => from + (index * 1000 / perSecond)).filter(at => sendIfAllowed(limit, request, at));
}

function countWithin(times: readonly number[], until: number): number {
	return times.filter(at => at > until - spanMs && at <= until).length;
}

// Guards against a backend server that gets more requests than the limit which it names.
describe('the rate limit of a backend server', () => {
	it('lets everything through until one is named', () => {
		const limit = new ServerRateLimit();
		expect(playRequests(limit, {from: 0, until: 1000, perSecond: 500}).length).to.equal(500);
	});

	[0.5, 1, 4.1, 20, 300].forEach(perSecond => {
		it(`of ${perSecond} a second is used up, and never exceeded in four seconds`, () => {
			const limit = new ServerRateLimit();
			limit.applyLimit(perSecond, 0);
			const sent = playRequests(limit, {from: 0, until: 40_000, perSecond: 2000});
			expect(sent.length).to.be.within(perSecond * 38, (perSecond * 41) + 3);
			sent.forEach(at => {
				expect(countWithin(sent, at)).to.be.at.most(computeAllowed(perSecond));
			});
		});
	});

	it('that falls step by step holds at once for all that is sent after it', () => {
		const change = record({perSecond: double({min: 0.2, max: 30, noNaN: true}), forMs: nat({max: 3000})});
		assertProperty(property(array(change, {minLength: 1, maxLength: 8}), array(nat({max: 300}), {maxLength: 300}), (changes, gaps) => {
			const limit = new ServerRateLimit();
			let now = 0;
			let sent: readonly number[] = [];
			let changeAt = 0;
			let position = 0;
			limit.applyLimit(changes[0]!.perSecond, now);
			gaps.forEach(gapMs => {
				now += gapMs;
				if (position + 1 < changes.length && now - changeAt > changes[position]!.forMs) {
					position++;
					changeAt = now;
					limit.applyLimit(changes[position]!.perSecond, now);
				}

				if (sendIfAllowed(limit, first, now)) {
					sent = [...sent, now];
					expect(countWithin(sent, now)).to.be.at.most(computeAllowed(Math.max(0.25, changes[position]!.perSecond)));
				}
			});
		}));
	});

	it('tells a wait after which the request is sent', () => {
		assertProperty(property(double({min: 0.2, max: 50, noNaN: true}), nat({max: 200}), (perSecond, offered) => {
			const limit = new ServerRateLimit();
			limit.applyLimit(perSecond, 0);
			playRequests(limit, {from: 0, until: 2000, perSecond: offered});
			const waitMs = limit.computeWait(first, 0, 2000);
			expect(limit.computeWait(first, 0, 2000 + waitMs + 0.001)).to.equal(0);
		}));
	});

	it('that has ended lets the rate grow step by step, then drops it', () => {
		const limit = new ServerRateLimit();
		limit.applyLimit(4, 0);
		playRequests(limit, {from: 0, until: 10_000, perSecond: 100});
		expect(limit.applyLimit(undefined, 10_000)).to.equal(true);
		const counts = [10_000, 11_000, 12_000].map(from => playRequests(limit, {from, until: from + 1000, perSecond: 1000}).length);
		expect(counts[0]).to.be.within(4, 12);
		expect(counts[1]).to.be.within(8, 24);
		expect(counts[2]).to.be.within(16, 48);
		expect(limit.isActive(15_001)).to.equal(false);
		expect(limit.applyLimit(undefined, 16_000)).to.equal(false);
	});

	it('goes on growing when more responses name none', () => {
		const limit = new ServerRateLimit();
		limit.applyLimit(1, 0);
		limit.applyLimit(undefined, 1000);
		limit.applyLimit(undefined, 5000);
		expect(limit.isActive(6001)).to.equal(false);
	});

	it('holds for as long as no response says otherwise', () => {
		const limit = new ServerRateLimit();
		limit.applyLimit(1, 0);
		expect(limit.isActive(3_600_000)).to.equal(true);
	});

	describe('with more requests than room', () => {
		function playMixed(requests: readonly LimitedRequest[]): ReadonlyMap<LimitedRequest, number> {
			const limit = new ServerRateLimit();
			limit.applyLimit(4, 0);
			const counts = new Map(requests.map(request => [request, 0]));
			Array.from({length: 3000}, (_, index) => index * 10).forEach((at, index) => {
				const request = requests[index % requests.length]!;
				counts.set(request, counts.get(request)! + Number(sendIfAllowed(limit, request, at)));
			});
			return counts;
		}

		it('gives the room to those of the best priority', () => {
			const urgent: LimitedRequest = {priority: 0, isRepeat: false};
			const counts = playMixed([{priority: 2, isRepeat: false}, urgent, {priority: 1, isRepeat: false}]);
			expect(counts.get(urgent)).to.be.above(100);
		});

		it('gives it to repeats last, whatever their priority', () => {
			const repeat: LimitedRequest = {priority: 0, isRepeat: true};
			const counts = playMixed([repeat, first]);
			expect(counts.get(repeat)).to.be.below(10);
		});

		// Guards against requests of the last priority that are all refused while more urgent ones ask for the whole limit.
		it('leaves a share of it to worse priorities', () => {
			const requests = [0, 1, 2, 9].map(priority => ({priority, isRepeat: false}));
			const counts = playMixed([requests[0]!, requests[1]!, requests[0]!, requests[2]!, requests[0]!, requests[3]!]);
			const sum = [...counts.values()].reduce((total, count) => total + count, 0);
			const others = requests.slice(1).map(request => counts.get(request)!);
			expect(others.reduce((total, count) => total + count, 0) / sum).to.be.within(allowanceShare / 2, allowanceShare * 2);
			others.forEach(count => {
				expect(count).to.be.at.least(1);
			});
		});

		it('gives it all to the lowest priority when nothing else asks', () => {
			const [[, count] = []] = playMixed([{priority: 9, isRepeat: true}]);
			expect(count).to.be.above(110);
		});
	});
});
