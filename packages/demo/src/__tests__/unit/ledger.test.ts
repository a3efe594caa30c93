import {expect} from 'chai';
import {computeTally, isSound, type SentRequest} from '../../index.js';

const order: SentRequest = {
	tag: 'a', service: 'fitting-desk', isRepeatable: false, outcome: 'whole', code: undefined, isOwnAnswer: true,
};
const run = {
	serverId: 's', tag: 'a', method: 'POST', path: '/', startedAt: 0,
};

describe('the tally', () => {
	it('is sound when a request ran once and was answered', () => {
		expect(isSound(computeTally([order], [run]))).to.equal(true);
	});

	it('allows an unknown request to have run once or not at all', () => {
		expect(isSound(computeTally([{...order, outcome: 'unknown'}], [run]))).to.equal(true);
		expect(isSound(computeTally([{...order, outcome: 'unknown'}], []))).to.equal(true);
	});

	describe('finds', () => {
		const cases = [
			{
				name: 'an order that ran twice', field: 'runTwice', sent: order, ledger: [run, run],
			},
			{
				name: 'a refusal that ran', field: 'notRunButRan', sent: {...order, outcome: 'not-run'}, ledger: [run],
			},
			{
				name: 'an answer to another request', field: 'foreignAnswers', sent: {...order, isOwnAnswer: false}, ledger: [run],
			},
			{
				name: 'an answer nobody gave', field: 'wholeButNotRun', sent: order, ledger: [],
			},
		] as const;
		cases.forEach(({name, field, sent, ledger}) => {
			it(name, () => {
				const tally = computeTally([sent], ledger);
				expect(tally[field]).to.equal(1);
				expect(isSound(tally)).to.equal(false);
			});
		});
	});
});
