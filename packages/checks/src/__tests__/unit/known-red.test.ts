import {expect} from 'chai';
import {judgeFailures, parseKnownRed} from '../../index.js';

const text = `# listed
floor holds | npm test, seed 3 | one below | 4
`;

describe('known red tests', () => {
	it('are passed over when they fail', () => {
		const {unlisted, listed} = judgeFailures(['floor holds'], parseKnownRed(text));
		expect(unlisted).to.deep.equal([]);
		expect(listed.map(({issue}) => issue)).to.deep.equal(['4']);
	});

	it('hide no other failure', () => {
		expect(judgeFailures(['floor holds', 'floor holds twice'], parseKnownRed(text)).unlisted).to.deep.equal(['floor holds twice']);
	});

	it('that pass are not printed', () => {
		expect(judgeFailures([], parseKnownRed(text)).listed).to.deep.equal([]);
	});
});
