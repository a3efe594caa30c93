import {expect} from 'chai';
import fc from 'fast-check';
import {
	applyReleases, emptyConfiguration, encodeConfiguration, itemKinds, ReleaseState, type Release,
} from '../../index.js';
import {createNote} from './notes.js';

const runs = {seed: 60_611, numRuns: 500};
const nameArbitrary = fc.constantFrom('a', 'b', 'c', 'd');

/** Consecutive releases: each puts the service it names in place, whether or not it exists, or withdraws it. */
const releasesArbitrary: fc.Arbitrary<readonly Release[]> = fc.array(fc.record({name: nameArbitrary, floor: fc.nat(9), withdraws: fc.boolean()}), {minLength: 1, maxLength: 30})
	.map(steps => steps.map(({name, floor, withdraws}, index) => ({
		number: index + 1,
		acceptedAt: index,
		note: createNote(`note-${index}`, index, {
			added: {services: []}, changed: {services: withdraws ? [] : [{name, floor}]}, withdrawn: {services: withdraws ? [name] : []},
		}),
	})));

/** Pages of those releases in any order and with repeats, and the numbers of snapshots that arrive between them. */
const deliveriesArbitrary = releasesArbitrary.chain(releases => fc.record({
	releases: fc.constant(releases),
	pages: fc.array(fc.array(fc.nat(releases.length - 1), {maxLength: 8}), {maxLength: 20}),
	snapshots: fc.array(fc.nat(releases.length), {maxLength: 3}),
}));

function recordNumbers(state: ReleaseState): readonly number[] {
	const numbers: number[] = [0];
	state.store.registerListener(({after}) => {
		numbers.push(after.configuration.release);
	});
	return numbers;
}

function isGrowing(numbers: readonly number[]): boolean {
	return numbers.every((number, index) => index === 0 || number > numbers[index - 1]!);
}

function selectPage(releases: readonly Release[], positions: readonly number[]): readonly Release[] {
	return positions.map(position => releases[position]!);
}

describe('applying releases', () => {
	it('never lowers the release number and gives the same configuration for every order of delivery', () => {
		fc.assert(fc.property(deliveriesArbitrary, ({releases, pages, snapshots}) => {
			const state = new ReleaseState();
			const numbers = recordNumbers(state);
			pages.forEach((page, index) => {
				state.apply(selectPage(releases, page));
				const snapshot = snapshots[index];
				if (snapshot !== undefined) {
					state.applyConfiguration(applyReleases(emptyConfiguration, releases.slice(0, snapshot)));
				}
			});
			state.apply(releases.toReversed());
			expect(isGrowing(numbers)).to.equal(true);
			expect(encodeConfiguration(state.getConfiguration())).to.deep.equal(encodeConfiguration(foldOneByOne(releases)));
		}), runs);
	});

	it('reuses the maps of the item kinds that a release does not change', () => {
		const before = applyReleases(emptyConfiguration, [{number: 1, acceptedAt: 0, note: createNote('a', 0)}]);
		const after = applyReleases(before, [{number: 2, acceptedAt: 0, note: createNote('b', 1)}]);
		expect(after.services).not.to.equal(before.services);
		expect(itemKinds.slice(1).map(kind => after[kind] === before[kind])).to.deep.equal([true, true, true]);
	});
});

function foldOneByOne(releases: readonly Release[]) {
	return releases.reduce((configuration, release) => applyReleases(configuration, [release]), emptyConfiguration);
}

describe('the release state of a node', () => {
	const releases = Array.from({length: 700}, (_, index) => ({number: index + 1, acceptedAt: 0, note: createNote(`note-${index}`, index)}));

	it('keeps a limited number of the newest releases and returns undefined for older ones', () => {
		const state = new ReleaseState();
		state.apply(releases);
		expect(state.store.getState().releases.length).to.equal(500);
		expect(state.selectAfter(100)).to.equal(undefined);
		expect(state.selectAfter(200)?.map(({number}) => number)).to.deep.equal(Array.from({length: 100}, (_, index) => 201 + index));
		expect(state.selectAfter(700)).to.deep.equal([]);
	});

	it('applies releases to a configuration whose earlier releases it does not have', () => {
		const state = new ReleaseState();
		state.applyConfiguration(applyReleases(emptyConfiguration, releases.slice(0, 600)));
		state.apply(releases.slice(600, 602));
		expect(state.getNumber()).to.equal(602);
		expect(state.selectAfter(599)).to.equal(undefined);
		expect(state.selectAfter(600)?.length).to.equal(2);
		state.applyConfiguration(applyReleases(emptyConfiguration, releases.slice(0, 300)));
		expect(state.getNumber()).to.equal(602);
	});
});
