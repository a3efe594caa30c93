import {expect} from 'chai';
import {foldResult} from '@limpetbarrow/core';
import {type CallKind} from '@limpetbarrow/object-store';
import {MemoryPlatform, type MemoryFault} from '@limpetbarrow/stand-ins';
import {getReleaseKey, type ReleaseAcceptor} from '../../index.js';
import {createNote, createOperator} from './notes.js';

async function apply(acceptor: ReleaseAcceptor, note: unknown): Promise<string> {
	return foldResult(await acceptor.accept(note).run(), ({name, detail}) => `${name}: ${detail}`, ({number, note: {id}}) => `${number} ${id}`);
}

/** Injects faults into the calls of one kind, in order; later calls succeed. */
function createFaults(kind: CallKind, faults: readonly MemoryFault[]): (called: CallKind) => MemoryFault {
	const remaining = [...faults];
	return called => called === kind ? remaining.shift() ?? 'none' : 'none';
}

type ChooseFault = (called: CallKind) => MemoryFault;

function mergeFaults(first: ChooseFault, second: ChooseFault): ChooseFault {
	return called => {
		const fault = first(called);
		return fault === 'none' ? second(called) : fault;
	};
}

describe('accepting a release note', () => {
	it('creates the next release', async () => {
		const {acceptor} = createOperator(new MemoryPlatform());
		expect(await apply(acceptor, createNote('a', 0))).to.equal('1 a');
		expect(await apply(acceptor, createNote('b', 1))).to.equal('2 b');
	});

	describe('with platform faults', () => {
		// For a note that was never tried, the first create is of its attempts object, the second of the release.
		const cases: ReadonlyArray<{readonly name: string; readonly kind: CallKind; readonly faults: readonly MemoryFault[]; readonly answer: RegExp; readonly logged: boolean}> = [
			{
				name: 'reports nothing written when the platform is down', kind: 'list', faults: ['refused'], answer: /^releaseNotAccepted: nothing was written/v, logged: false,
			},
			{
				name: 'is not accepted when all writes of the attempts fail', kind: 'create', faults: ['refused', 'refused', 'refused', 'refused'], answer: /^releaseNotAccepted/v, logged: false,
			},
			{
				name: 'succeeds when the response to the write of the attempts is lost', kind: 'create', faults: ['lost'], answer: /^1 a$/v, logged: true,
			},
			{
				name: 'succeeds when the response to the create of the release is lost', kind: 'create', faults: ['none', 'lost'], answer: /^1 a$/v, logged: true,
			},
			{
				name: 'is unknown when all responses to the create of the release are lost', kind: 'create', faults: ['none', 'lost', 'lost', 'lost'], answer: /^releaseUnknown/v, logged: true,
			},
			{
				name: 'succeeds when the create of the release takes effect late', kind: 'create', faults: ['none', 'late'], answer: /^1 a$/v, logged: true,
			},
			{
				name: 'is unknown when all creates of the release take effect late', kind: 'create', faults: ['none', 'late', 'late', 'late'], answer: /^releaseUnknown/v, logged: true,
			},
		];
		cases.forEach(({name, kind, faults, answer, logged}) => {
			it(name, async () => {
				const platform = new MemoryPlatform();
				const {acceptor} = createOperator(platform, createFaults(kind, faults));
				expect(await apply(acceptor, createNote('a', 0))).to.match(answer);
				platform.finishLateWrites();
				expect(platform.history.findObject(getReleaseKey(1)) !== undefined).to.equal(logged);
			});
		});

		it('is unknown when the response is lost and the release cannot be read', async () => {
			const platform = new MemoryPlatform();
			const {acceptor} = createOperator(platform, mergeFaults(createFaults('create', ['none', 'lost']), createFaults('get', ['none', 'none', 'none', 'refused'])));
			expect(await apply(acceptor, createNote('a', 0))).to.match(/^releaseUnknown/v);
			expect(await apply(createOperator(platform).acceptor, createNote('a', 0))).to.equal('1 a');
		});
	});

	describe('a second time under the same id', () => {
		it('returns the accepted release, whatever its base', async () => {
			const platform = new MemoryPlatform();
			const {acceptor} = createOperator(platform);
			await apply(acceptor, createNote('a', 0));
			await apply(acceptor, createNote('b', 1));
			expect(await apply(createOperator(platform).acceptor, createNote('a', 0))).to.equal('1 a');
			expect(await apply(createOperator(platform).acceptor, createNote('a', 2))).to.equal('1 a');
			expect(platform.history.findObject(getReleaseKey(3))).to.equal(undefined);
		});

		it('reports a conflict when the content differs', async () => {
			const {acceptor} = createOperator(new MemoryPlatform());
			await apply(acceptor, createNote('a', 0));
			expect(await apply(acceptor, createNote('a', 0, {added: {services: [{name: 'other'}]}}))).to.match(/^releaseConflict: release 1 is a by tester, with other content/v);
		});
	});

	describe('again on its first base, after another note took that number and it was accepted on a later base', () => {
		async function createPlatform(): Promise<MemoryPlatform> {
			const platform = new MemoryPlatform();
			const failingOperator = createOperator(platform, createFaults('create', ['none', 'refused', 'refused', 'refused']));
			expect(await apply(failingOperator.acceptor, createNote('a', 0))).to.match(/^releaseUnknown/v);
			expect(await apply(createOperator(platform).acceptor, createNote('b', 0))).to.equal('1 b');
			expect(await apply(createOperator(platform).acceptor, createNote('a', 1))).to.equal('2 a');
			return platform;
		}

		// The get calls read the snapshot, the attempts, release 1, release 2, release 1 after the conflict, and release 2 again.
		const cases: ReadonlyArray<{readonly name: string; readonly faults: readonly MemoryFault[]; readonly answer: RegExp}> = [
			{name: 'the list is stale', faults: [], answer: /^2 a$/v},
			{name: 'the list and the attempts are stale', faults: ['none', 'stale'], answer: /^2 a$/v},
			{name: 'the list and its release are stale', faults: ['none', 'none', 'none', 'stale'], answer: /^2 a$/v},
			{name: 'the list and its release are stale twice', faults: ['none', 'none', 'none', 'stale', 'none', 'stale'], answer: /^releaseUnknown/v},
		];
		cases.forEach(({name, faults, answer}) => {
			it(`reports no conflict when ${name}`, async () => {
				const platform = await createPlatform();
				const {acceptor} = createOperator(platform, mergeFaults(createFaults('list', ['stale']), createFaults('get', faults)));
				expect(await apply(acceptor, createNote('a', 0))).to.match(answer);
			});
		});
	});

	describe('in a race with another note', () => {
		it('names the accepted release to the operator whose note lost', async () => {
			const platform = new MemoryPlatform();
			const answers = await Promise.all(['a', 'b'].map(async id => apply(createOperator(platform).acceptor, createNote(id, 0))));
			expect(answers.toSorted()).to.deep.equal(['1 a', 'releaseConflict: release 1 is a by tester']);
		});

		it('accepts no note on the basis of a stale list', async () => {
			const platform = new MemoryPlatform();
			await apply(createOperator(platform).acceptor, createNote('a', 0));
			const stale = createOperator(platform, createFaults('list', ['stale']));
			expect(await apply(stale.acceptor, createNote('b', 0))).to.equal('releaseConflict: release 1 is a by tester');
		});

		it('names the accepted release for a note with an old base, and refuses a base that does not exist', async () => {
			const {acceptor} = createOperator(new MemoryPlatform());
			await apply(acceptor, createNote('a', 0));
			expect(await apply(acceptor, createNote('b', 0))).to.equal('releaseConflict: the note is based on release 0; release 1 is a by tester');
			expect(await apply(acceptor, createNote('b', 7))).to.match(/^releaseInvalid: base: release 7 does not exist/v);
		});
	});

	it('leaves a withdrawn service out until it is added again', async () => {
		const {acceptor, state} = createOperator(new MemoryPlatform());
		const empty = {services: []};
		await apply(acceptor, createNote('a', 0));
		await apply(acceptor, createNote('b', 1, {added: empty, withdrawn: {services: ['service-a']}}));
		await apply(acceptor, createNote('c', 2));
		expect(state.getConfiguration().services.has('service-a')).to.equal(false);
		expect(await apply(acceptor, createNote('d', 3, {added: {services: [{name: 'service-a', floor: 5}]}}))).to.equal('4 d');
		expect(await apply(acceptor, createNote('e', 4))).to.equal('5 e');
		expect(state.getConfiguration().services.get('service-a')?.floor).to.equal(5);
	});

	it('stores a note that is larger than one value in parts and reads it back', async () => {
		const platform = new MemoryPlatform();
		const organisations = Array.from({length: 9000}, (_, index) => ({name: `organisation-${index}`, terms: 'shop', secretHash: 'ab'.repeat(32)}));
		const note = createNote('large', 0, {comment: '\u{1F980}', added: {terms: [{name: 'shop', initialRate: 1, topRate: 2}], organisations}});
		const {acceptor} = createOperator(platform, createFaults('create', ['none', 'none', 'lost']));
		expect(await apply(acceptor, note)).to.match(/^releaseNotAccepted/v);
		expect(await apply(acceptor, note)).to.equal('1 large');
		const reader = createOperator(platform);
		const read = await reader.log.readAfter(0).run();
		expect(read.extract()).to.deep.equal([{number: 1, acceptedAt: (read.extract() as ReadonlyArray<{readonly acceptedAt: number}>)[0]!.acceptedAt, note}]);
	});
});
