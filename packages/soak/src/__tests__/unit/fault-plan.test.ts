import {expect} from 'chai';
import {
	createFaultPlan, domainKinds, isPlannedRun, plannedKinds, unplannedKinds,
} from '../../index.js';

const options = {hosts: 6, spanMs: 8000};
const seeds = Array.from({length: 200}, (_, index) => index + 1);

describe('fault plan', () => {
	it('is the same for the same seed and another for another', () => {
		expect(createFaultPlan({...options, seed: 7})).to.deep.equal(createFaultPlan({...options, seed: 7}));
		expect(createFaultPlan({...options, seed: 7})).to.not.deep.equal(createFaultPlan({...options, seed: 8}));
	});

	it('holds every kind within two hundred seeds', () => {
		const kinds = new Set(seeds.flatMap(seed => createFaultPlan({...options, seed}).map(({kind}) => kind)));
		expect([...kinds].toSorted((a, b) => a.localeCompare(b))).to.deep.equal(['rollNodes', 'limitServer', 'restoreStore', ...domainKinds, ...plannedKinds, ...unplannedKinds].toSorted((a, b) => a.localeCompare(b)));
	});

	it('has planned work only in the runs that say so', () => {
		const kinds = seeds.filter(seed => isPlannedRun(seed)).flatMap(seed => createFaultPlan({...options, seed}).map(({kind}) => kind));
		expect(kinds.filter(kind => (unplannedKinds as readonly string[]).includes(kind))).to.deep.equal([]);
	});

	it('is in order of time and names hosts that exist', () => {
		const faults = createFaultPlan({...options, seed: 3});
		expect(faults.map(({atMs}) => atMs)).to.deep.equal(faults.map(({atMs}) => atMs).toSorted((a, b) => a - b));
		expect(faults.every(({host}) => host >= 0 && host < options.hosts)).to.equal(true);
	});
});
