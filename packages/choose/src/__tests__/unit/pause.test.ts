import {expect} from 'chai';
import {choosePause} from '../../index.js';

describe('pause of a request that no backend server takes', () => {
	it('grows from pause to pause up to a second', () => {
		const pauses = Array.from({length: 5}, (_, index) => choosePause({remainingMs: 20_000, objectiveMs: 3000, pauses: index}, 0.5));
		expect(pauses).to.deep.equal([150, 300, 600, 1000, 1000]);
	});

	it('is spread at random, so that requests refused together do not return together', () => {
		const [least, most] = [0, 1].map(random => choosePause({remainingMs: 20_000, objectiveMs: 3000, pauses: 0}, random));
		expect([least, most]).to.deep.equal([112.5, 187.5]);
	});

	it('is not made if half of the objective would not be left after it', () => {
		const request = {objectiveMs: 800, pauses: 0};
		expect(choosePause({...request, remainingMs: 540}, 0.5)).to.equal(undefined);
		expect(choosePause({...request, remainingMs: 560}, 0.5)).to.equal(150);
	});
});
