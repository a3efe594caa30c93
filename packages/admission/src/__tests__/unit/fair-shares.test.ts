import {expect} from 'chai';
import {
	createSchedule, FairModel, mergeResults, type ModelResult, type ModelSchedule,
} from '../fair-model.js';

/** Seeds played here; `docs/design/fair-queueing.md` has the figures of 200 and the command. */
const seeds = Array.from({length: 40}, (_, index) => index + 1);
const surge = 7.5;
/** Share of what the others are served without the surge, in all and for each seed, that they are served beside it. */
const minShareInAll = 0.98;
const minShareOfSeed = 0.9;
/** Share of the time that slots are busy in any order: fair shares leave none idle. */
const minBusyShare = 0.97;

type Played = {
	readonly schedule: ModelSchedule;
	readonly model: FairModel;
	readonly small: ModelResult;
};

function playSeed(seed: number, factor: number, isFair: boolean): Played {
	const schedule = createSchedule(seed, {surge: factor});
	const model = new FairModel(schedule, isFair).run();
	return {schedule, model, small: mergeResults(schedule.organisations.slice(1).map(({name}) => model.getResult(name)))};
}

function computeServedShare({sent, served}: ModelResult): number {
	return served / sent;
}

function computeMeanWait({waitsMs}: ModelResult): number {
	return waitsMs.reduce((sum, waitMs) => sum + waitMs, 0) / waitsMs.length;
}

describe('organisations beside one that sends 7.5 times its usual load', function () {
	this.timeout(60_000);
	const usual = seeds.map(seed => playSeed(seed, 1, true));
	const fair = seeds.map(seed => playSeed(seed, surge, true));
	const today = seeds.map(seed => playSeed(seed, surge, false));

	// Guards against organisations that suffer from the load of another.
	it('are served as without it', () => {
		const [fairShare, usualShare] = [fair, usual].map(played => computeServedShare(mergeResults(played.map(({small}) => small))));
		expect(fairShare! / usualShare!).to.be.at.least(minShareInAll);
		fair.forEach(({small}, index) => {
			expect(computeServedShare(small) / computeServedShare(usual[index]!.small), `seed ${seeds[index]}`).to.be.at.least(minShareOfSeed);
		});
	});

	it('wait less than by due time alone, and leave no slot idle', () => {
		fair.forEach(({small, model}, index) => {
			expect(computeMeanWait(small), `seed ${seeds[index]}`).to.be.below(computeMeanWait(today[index]!.small));
			expect(model.busyMs / today[index]!.model.busyMs, `seed ${seeds[index]}`).to.be.at.least(minBusyShare);
		});
	});

	it('all get the lesser of their demand and an equal share, the large one too', () => {
		fair.forEach(({schedule, model}) => {
			const {slots, surgeFrom, surgeTo, organisations} = schedule;
			const equalMs = slots * (surgeTo - surgeFrom) / organisations.length;
			organisations.forEach(({name}) => {
				const {sentMs, servedMs} = model.getResult(name);
				expect(servedMs / Math.min(sentMs, equalMs), `seed ${schedule.seed}, ${name}`).to.be.at.least(minShareOfSeed);
			});
		});
	});
});
