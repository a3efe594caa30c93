import process from 'node:process';
import {expect} from 'chai';
import {type OrganisationFigures} from '../quota-loads.js';
import {createRun, simulateQuotas} from '../quota-model.js';

const seeds = Number(process.env.QUOTA_SEEDS ?? 20);
const maxLoss = 0.01;

function computeLoss(organisations: readonly OrganisationFigures[]): number {
	const below = organisations.filter(({load}) => load === 'steady' || load === 'bursts');
	const refused = below.reduce((sum, figures) => sum + figures.refused, 0);
	return refused / (refused + below.reduce((sum, figures) => sum + figures.admitted, 0));
}

describe('quotas in a model of the fleet', () => {
	const runs = Array.from({length: seeds}, (_value, seed) => createRun(seed));

	// More than the bound allows would run: two homes grant the whole rate, or permits outlive their window.
	describe('no window of 5 s exceeds (rate x 5 s + burst) x 1.1 + 20', () => {
		runs.forEach(run => {
			it(`seed ${run.seed}: ${run.size} nodes, disruption ${run.disruption}`, () => {
				const {organisations} = simulateQuotas(run);
				const above = organisations.filter(({excess}) => excess > 0).map(({organisation, excess}) => [organisation, excess]);
				expect(above).to.deep.equal([]);
				if (run.disruption === 'none') {
					expect(computeLoss(organisations)).to.be.at.most(maxLoss);
				}
			}).timeout(60_000);
		});
	});
});
