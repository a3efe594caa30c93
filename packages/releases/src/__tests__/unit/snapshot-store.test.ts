import {expect} from 'chai';
import {MemoryPlatform} from '@limpetbarrow/stand-ins';
import {
	applyReleases, emptyConfiguration, encodeConfiguration, releasesPerSnapshot, snapshotPointerKey, type Configuration,
} from '../../index.js';
import {createNote, createOperator, createRelease} from './notes.js';

function createConfiguration(release: number): Configuration {
	return applyReleases(emptyConfiguration, Array.from({length: release}, (_, index) => createRelease(index + 1)));
}

function listParts(platform: MemoryPlatform): readonly string[] {
	return platform.history.list('release-snapshots/').objects.map(({key}) => key).filter(key => key !== snapshotPointerKey);
}

describe('the snapshot store', () => {
	it('writes a snapshot once enough releases have been made and reads the same configuration back', async () => {
		const {snapshots} = createOperator(new MemoryPlatform());
		const early = await snapshots.writeIfDue(createConfiguration(releasesPerSnapshot - 1)).run();
		const due = await snapshots.writeIfDue(createConfiguration(releasesPerSnapshot)).run();
		expect([early.extract(), due.extract()]).to.deep.equal([false, true]);
		const read = await snapshots.read().run();
		expect(read.map(encodeConfiguration).extract()).to.deep.equal(encodeConfiguration(createConfiguration(releasesPerSnapshot)));
	});

	it('splits a snapshot that is larger than one value and removes old snapshots', async () => {
		const platform = new MemoryPlatform();
		const {snapshots} = createOperator(platform);
		const organisations = Array.from({length: 9000}, (_, index) => ({name: `organisation-${index}`, terms: 'shop', secretHash: 'ab'.repeat(32)}));
		const large = applyReleases(createConfiguration(100), [{number: 101, acceptedAt: 0, note: createNote('large', 100, {added: {organisations}})}]);
		await [large, {...large, release: 201}, {...large, release: 301}].reduce(async (before, configuration) => {
			await before;
			await snapshots.writeIfDue(configuration).run();
		}, Promise.resolve());
		const read = await snapshots.read().run();
		expect(read.map(({release, organisations: {size}}) => ({release, size})).extract()).to.deep.equal({release: 301, size: 9000});
		const parts = listParts(platform);
		expect(parts.length).to.be.greaterThan(2);
		expect(parts.filter(key => key.startsWith('release-snapshots/000000101'))).to.deep.equal([]);
	});

	it('keeps exactly one readable snapshot when two nodes write at once', async () => {
		const platform = new MemoryPlatform();
		const writers = [createOperator(platform), createOperator(platform)];
		await Promise.all(writers.map(async ({snapshots}, index) => snapshots.writeIfDue(createConfiguration(100 + index)).run()));
		const read = await writers[0]!.snapshots.read().run();
		expect(read.isRight()).to.equal(true);
		expect(listParts(platform).length).to.equal(1);
	});

	it('causes no other result from a stale or damaged snapshot, only another number of calls', async () => {
		const platform = new MemoryPlatform();
		const writer = createOperator(platform);
		await Array.from({length: 103}).reduce<Promise<unknown>>(async (before, _, index) => {
			await before;
			await writer.acceptor.accept(createNote(`note-${index + 1}`, index)).run();
		}, Promise.resolve());
		await writer.snapshots.writeIfDue(createConfiguration(100)).run();
		const fromSnapshot = createOperator(platform);
		await fromSnapshot.acceptor.check(createNote('check', 103)).run();
		const pointer = platform.history.findObject(snapshotPointerKey)!;
		platform.write(snapshotPointerKey, pointer.version, pointer.value.replace(/"digest":"./v, '"digest":"x'));
		const fromLog = createOperator(platform);
		await fromLog.acceptor.check(createNote('check', 103)).run();
		expect(fromSnapshot.state.getNumber()).to.equal(103);
		expect(encodeConfiguration(fromLog.state.getConfiguration())).to.deep.equal(encodeConfiguration(fromSnapshot.state.getConfiguration()));
		expect(fromSnapshot.store.getCallCounts().list).to.be.lessThan(fromLog.store.getCallCounts().list);
	});
});
