import {expect} from 'chai';
import {NamedStateChecker, type Violation} from '../../index.js';

const drainMs = 1000;
const limited = {serverId: 'i-1', isLeaving: false, isLimited: true};

describe('checker of what backend servers name', () => {
	let checker: NamedStateChecker;

	beforeEach(() => {
		checker = new NamedStateChecker(drainMs);
	});

	function recordArrival(at: number, {host = 0, sentAt = at}: {readonly host?: number; readonly sentAt?: number} = {}): Violation | undefined {
		return checker.recordArrival({
			id: 'one', serverId: 'i-1', host, sentAt, at,
		});
	}

	function countViolations(count: number, periodMs: number, from: number): number {
		return Array.from({length: count}, (_, index) => recordArrival(from + (index * periodMs))).filter(violation => violation !== undefined).length;
	}

	describe('of a departure', () => {
		beforeEach(() => {
			checker.recordHeard(0, {serverId: 'i-1', isLeaving: true, isLimited: false}, 100);
		});

		it('finds a request that was sent too late, from the host that heard of it', () => {
			expect(recordArrival(1500, {sentAt: 1101})).to.include({id: 'one'});
			expect(recordArrival(1500, {sentAt: 1099})).to.equal(undefined);
			expect(recordArrival(1500, {host: 1})).to.equal(undefined);
		});

		it('forgets it with a restart of the host, not with a cut', () => {
			checker.forgetHost(0, false);
			expect(recordArrival(1500)).not.to.equal(undefined);
			checker.forgetHost(0, true);
			expect(recordArrival(1500)).to.equal(undefined);
		});
	});

	describe('of a limit', () => {
		beforeEach(() => {
			checker.recordLimit('i-1', 2, 0);
			checker.recordHeard(0, limited, 100);
		});

		it('finds the first request beyond one and a half times what it allows and five', () => {
			expect(countViolations(17, 100, 5000)).to.equal(0);
			expect(recordArrival(6800)).to.include({promise: 'a backend server gets no more than the limit that it names'});
		});

		it('lets a steady rate through', () => {
			expect(countViolations(100, 500, 4000)).to.equal(0);
		});

		it('counts nothing before it binds, from other hosts, or after its end', () => {
			expect(countViolations(100, 1, 3000)).to.equal(0);
			expect(Array.from({length: 100}, () => recordArrival(5000, {host: 1})).every(violation => violation === undefined)).to.equal(true);
			checker.recordLimit('i-1', undefined, 6000);
			expect(countViolations(100, 1, 6000)).to.equal(0);
		});

		it('follows a limit that falls', () => {
			checker.recordLimit('i-1', 1, 6000);
			expect(countViolations(11, 100, 10_000)).to.equal(0);
			expect(recordArrival(11_200)).not.to.equal(undefined);
		});

		it('forgets it with a cut of the host', () => {
			checker.forgetHost(0, false);
			expect(countViolations(100, 1, 5000)).to.equal(0);
		});
	});
});
