import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {OriginSelector} from '../../index.js';

const origins = ['a', 'b', 'c'];

describe('OriginSelector', () => {
	let clock: Clock;
	let selector: OriginSelector;

	beforeEach(() => {
		clock = install();
		selector = new OriginSelector(origins);
	});

	afterEach(() => {
		clock.uninstall();
	});

	const pickMany = (count: number): readonly string[] => Array.from({length: count}, () => selector.pickOrigin());

	it('picks origins round-robin', () => {
		expect(pickMany(4)).to.deep.equal(['a', 'b', 'c', 'a']);
	});

	describe('after an origin refused a connection', () => {
		beforeEach(() => {
			selector.recordRefusal('b');
		});

		it('skips the origin for 1 s', () => {
			expect(pickMany(4)).to.deep.equal(['a', 'c', 'a', 'c']);
			clock.tick(1000);
			expect(pickMany(2)).to.deep.equal(['a', 'b']);
		});

		it('skips the origin for longer than 1 s after a second refusal', () => {
			clock.tick(1000);
			selector.recordRefusal('b');
			clock.tick(1000);
			expect(pickMany(3)).to.not.include('b');
		});

		it('uses the origin again as soon as it has answered', () => {
			selector.recordAnswer('b');
			expect(pickMany(2)).to.deep.equal(['a', 'b']);
		});
	});

	describe('after an origin announced a planned stop', () => {
		beforeEach(() => {
			selector.recordStopping('b');
		});

		it('skips the origin for 10 s', () => {
			clock.tick(9000);
			expect(pickMany(3)).to.deep.equal(['a', 'c', 'a']);
			clock.tick(1000);
			expect(pickMany(3)).to.include('b');
		});

		it('skips the origin even when it is given as the first one', () => {
			expect(selector.pickOrigin(1)).to.equal('c');
		});
	});

	it('picks origins round-robin when all have refused', () => {
		origins.forEach(origin => {
			selector.recordRefusal(origin);
		});
		expect(pickMany(2)).to.deep.equal(['a', 'b']);
	});
});
