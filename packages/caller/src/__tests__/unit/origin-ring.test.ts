import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {OriginRing} from '../../index.js';

const origins = ['a', 'b', 'c'];

describe('OriginRing', () => {
	let clock: Clock;
	let ring: OriginRing;

	beforeEach(() => {
		clock = install();
		ring = new OriginRing(origins);
	});

	afterEach(() => {
		clock.uninstall();
	});

	const pickMany = (count: number): readonly string[] => Array.from({length: count}, () => ring.pickOrigin());

	it('picks in turn', () => {
		expect(pickMany(4)).to.deep.equal(['a', 'b', 'c', 'a']);
	});

	describe('after a refusal', () => {
		beforeEach(() => {
			ring.recordRefusal('b');
		});

		it('passes over the origin for a while', () => {
			expect(pickMany(4)).to.deep.equal(['a', 'c', 'a', 'c']);
			clock.tick(1000);
			expect(pickMany(2)).to.deep.equal(['a', 'b']);
		});

		it('passes over it longer when it refuses again', () => {
			clock.tick(1000);
			ring.recordRefusal('b');
			clock.tick(1000);
			expect(pickMany(3)).to.not.include('b');
		});

		it('comes back at once after an answer', () => {
			ring.recordAnswer('b');
			expect(pickMany(2)).to.deep.equal(['a', 'b']);
		});
	});

	describe('that stops as planned', () => {
		beforeEach(() => {
			ring.recordStopping('b');
		});

		it('is passed over until it has stopped and started again', () => {
			clock.tick(9000);
			expect(pickMany(3)).to.deep.equal(['a', 'c', 'a']);
			clock.tick(1000);
			expect(pickMany(3)).to.include('b');
		});

		it('is passed over by a caller that names it first', () => {
			expect(ring.pickOrigin(1)).to.equal('c');
		});
	});

	it('picks in turn when all refuse', () => {
		origins.forEach(origin => {
			ring.recordRefusal(origin);
		});
		expect(pickMany(2)).to.deep.equal(['a', 'b']);
	});
});
