import {expect} from 'chai';
import fc from 'fast-check';
import {foldResult, type Failure} from '@limpetbarrow/core';
import {MemoryPlatform} from '@limpetbarrow/stand-ins';
import {
	applyReleases, createNoteFailure, emptyConfiguration, releaseNoteSchema, validateNote, type Release,
} from '../../index.js';
import {createNote, createOperator} from './notes.js';

const runs = {seed: 61_001, numRuns: 2000};
const known = applyReleases(emptyConfiguration, [{
	number: 1,
	acceptedAt: 0,
	note: createNote('known', 0, {
		added: {
			services: [{name: 'desk'}, {name: 'spare'}],
			routes: ['one', 'two', 'three', 'four'].map(name => ({name, pathPrefix: `/${name}`, service: 'desk'})),
			terms: [{name: 'shop', initialRate: 1, topRate: 2}],
			organisations: [{name: 'izmir', terms: 'shop'}],
		},
	}),
}]);

type Case = {
	readonly name: string;
	readonly note: Readonly<Record<string, unknown>>;
	readonly faults: readonly string[];
};

const noteFields = {id: 'n', operator: 'o', base: 1};
const route = {name: 'five', pathPrefix: '/five', service: 'desk'};

const cases: readonly Case[] = [
	{name: 'an unknown field', note: {...noteFields, extra: 1}, faults: ['note: Unrecognized key: "extra"']},
	{name: 'an unknown field of an item', note: {...noteFields, added: {routes: [{...route, weight: 2}]}}, faults: ['added.routes[0]: Unrecognized key: "weight"']},
	{
		name: 'several schema violations',
		note: {...noteFields, base: -1, added: {services: [{name: 'UPPER'}]}},
		faults: ['base: Too small: expected number to be >=0', 'added.services[0].name: use lower-case letters, digits, dots and hyphens'],
	},
	{name: 'an added item that exists', note: {...noteFields, added: {services: [{name: 'desk'}]}}, faults: ['added.services[0]: desk exists already']},
	{name: 'a changed item that does not exist', note: {...noteFields, changed: {services: [{name: 'none'}]}}, faults: ['changed.services[0]: none does not exist']},
	{name: 'a withdrawn item that does not exist', note: {...noteFields, withdrawn: {organisations: ['none']}}, faults: ['withdrawn.organisations[0]: none does not exist']},
	{name: 'a name twice in one list', note: {...noteFields, added: {services: [{name: 'new'}, {name: 'new'}]}}, faults: ['added.services[1]: new is named before, in added.services[0]']},
	{
		name: 'a name changed and withdrawn',
		note: {...noteFields, changed: {services: [{name: 'spare'}]}, withdrawn: {services: ['spare']}},
		faults: ['withdrawn.services[0]: spare is named before, in changed.services[0]'],
	},
	{
		name: 'a name both withdrawn and added',
		note: {...noteFields, added: {services: [{name: 'spare'}]}, withdrawn: {services: ['spare']}},
		faults: ['withdrawn.services[0]: spare is named before, in added.services[0]', 'added.services[0]: spare exists already'],
	},
	{name: 'a route to a service that does not exist', note: {...noteFields, added: {routes: [{...route, service: 'none'}]}}, faults: ['added.routes[0].service: none does not exist']},
	{name: 'a withdrawn service that routes use', note: {...noteFields, withdrawn: {services: ['desk']}}, faults: ['withdrawn.services[0]: desk is still used by routes one, two, three and 1 more']},
	{name: 'withdrawn terms that organisations use', note: {...noteFields, withdrawn: {terms: ['shop']}}, faults: ['withdrawn.terms[0]: shop is still used by organisations izmir']},
	{
		name: 'a withdrawn service that a route of the note uses',
		note: {...noteFields, added: {routes: [{...route, service: 'spare'}]}, withdrawn: {services: ['spare']}},
		faults: ['withdrawn.services[0]: spare is still used by routes five'],
	},
	{name: 'a route that overlaps another one', note: {...noteFields, added: {routes: [{...route, pathPrefix: '/one'}]}}, faults: ['added.routes[0]: five matches the same requests as one']},
	{
		name: 'terms whose top values are below the initial ones',
		note: {
			...noteFields,
			added: {
				terms: [{
					name: 'buyer', initialRate: 5, topRate: 2, initialTimeoutMs: 500, topTimeoutMs: 100,
				}],
			},
		},
		faults: ['added.terms[0].topRate: 2 is below initialRate 5', 'added.terms[0].topTimeoutMs: 100 is below initialTimeoutMs 500'],
	},
];

function formatFaults(note: unknown): string {
	return foldResult(validateNote(known, note), faults => createNoteFailure(faults).detail, () => '');
}

function isWellFormed({note}: Release): boolean {
	return releaseNoteSchema.safeParse(note).success;
}

function isNumbered({code, detail}: Failure): boolean {
	return code >= 6000 && code < 7000 && detail.length < 20_000;
}

describe('validating a release note', () => {
	describe('reports', () => {
		cases.forEach(({name, note, faults}) => {
			it(name, () => {
				expect(formatFaults(note)).to.equal(faults.join('; '));
			});
		});
	});

	it('accepts a service withdrawn together with the routes that use it', () => {
		const note = {...noteFields, changed: {routes: [{name: 'one', pathPrefix: '/one', service: 'spare'}]}, withdrawn: {services: ['desk'], routes: ['two', 'three', 'four']}};
		expect(validateNote(known, note).isRight()).to.equal(true);
	});

	it('truncates a long list of faults and counts the rest', () => {
		const routes = Array.from({length: 300}, (_, index) => ({name: `r${index}`, pathPrefix: `/r${index}`, service: 'none'}));
		expect(formatFaults({...noteFields, added: {routes}}).endsWith('and 250 more faults')).to.equal(true);
	});

	describe('with arbitrary input', () => {
		const hostileArbitrary = fc.oneof(
			fc.jsonValue({maxDepth: 6}),
			fc.record({
				id: fc.oneof(fc.string(), fc.constant('n')),
				operator: fc.string(),
				base: fc.oneof(fc.constant(0), fc.double(), fc.integer()),
				added: fc.jsonValue(),
				changed: fc.record({services: fc.array(fc.record({name: fc.constantFrom('desk', '__proto__', 'constructor'), floor: fc.double()}))}),
				withdrawn: fc.record({services: fc.array(fc.constantFrom('__proto__', 'desk', 'toString'))}),
			}, {requiredKeys: []}),
			fc.record({
				id: fc.constant('n'), operator: fc.constant('o'), base: fc.constant(0), added: fc.record({services: fc.array(fc.record({name: fc.constantFrom('a', 'b', 'valueof')}), {maxLength: 3})}),
			}),
		);

		it('ends in a well-formed release or in a failure with a release result code', async () => {
			let acceptedCount = 0;
			await fc.assert(fc.asyncProperty(hostileArbitrary, async input => {
				const {acceptor} = createOperator(new MemoryPlatform());
				const result = await acceptor.accept(input).run();
				acceptedCount += Number(result.isRight());
				expect(foldResult(result, isNumbered, isWellFormed)).to.equal(true);
			}), runs);
			expect(acceptedCount).to.be.greaterThan(0);
		});
	});
});
