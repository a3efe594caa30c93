import {expect} from 'chai';
import {choosePause} from '../../index.js';

const refused = {
	objectiveMs: 3000, pauses: 0, refusals: 6, roomRefusals: 0,
};

describe('pause of a request that no backend server takes', () => {
	it('is not made if most refusals are for lack of room, which a later return would not mend', () => {
		expect(choosePause({...refused, remainingMs: 20_000, roomRefusals: 4}, 0.5)).to.equal(undefined);
		expect(choosePause({...refused, remainingMs: 20_000, roomRefusals: 3}, 0.5)).to.equal(150);
	});

	it('grows from pause to pause up to a second', () => {
		const pauses = Array.from({length: 5}, (_, index) => choosePause({...refused, remainingMs: 20_000, pauses: index}, 0.5));
		expect(pauses).to.deep.equal([150, 300, 600, 1000, 1000]);
	});

	it('is spread at random, so that requests refused together do not return together', () => {
		const [least, most] = [0, 1].map(random => choosePause({...refused, remainingMs: 20_000}, random));
		expect([least, most]).to.deep.equal([112.5, 187.5]);
	});

	it('is not made if half of the objective would not be left after it', () => {
		const request = {...refused, objectiveMs: 800};
		expect(choosePause({...request, remainingMs: 540}, 0.5)).to.equal(undefined);
		expect(choosePause({...request, remainingMs: 560}, 0.5)).to.equal(150);
	});
});
