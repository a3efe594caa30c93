/** Time and memory of checking and folding releases, and of starting from a snapshot, by size of the configuration. */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {formatAddress} from '@limpetbarrow/core';
import {HttpObjectStore} from '@limpetbarrow/object-store';
import {
	applyReleases,
	emptyConfiguration,
	encodeConfiguration,
	getReleaseKey,
	ReleaseLog,
	releaseNoteSchema,
	ReleaseReader,
	ReleaseState,
	SnapshotStore,
	validateNote,
	type Configuration,
	type ReleaseNote,
} from '@limpetbarrow/releases';
import {PlatformStandIn} from '@limpetbarrow/stand-ins';

/** Sizes of one configuration. */
export type ConfigurationSize = {
	readonly services: number;
	readonly routes: number;
	readonly organisations: number;
};

/** What one size costs. */
export type SizeResult = {
	readonly size: ConfigurationSize;
	readonly checkMs: number;
	readonly foldMs: number;
	readonly heapMb: number;
	readonly noteBytes: number;
	readonly snapshotBytes: number;
	readonly snapshotStartMs: number;
	readonly snapshotStartCalls: number;
	readonly logStartMs: number;
	readonly logStartCalls: number;
};

const bytesPerMb = 1_048_576;
const repeats = 20;
const tailReleases = 50;
const logReleases = 450;
/** Items of one note, few enough for one value. */
const itemsPerNote = 3000;

function createItems({services, routes, organisations}: ConfigurationSize): unknown {
	return {
		services: Array.from({length: services}, (_, index) => ({name: `service-${index}`, floor: 3})),
		routes: Array.from({length: routes}, (_, index) => ({
			name: `route-${index}`, host: `host-${index}.example`, pathPrefix: `/path/${index}`, service: `service-${index % services}`,
		})),
		terms: Array.from({length: 20}, (_, index) => ({name: `terms-${index}`, initialRate: 10, topRate: 100})),
		organisations: Array.from({length: organisations}, (_, index) => ({name: `organisation-${index}`, terms: `terms-${index % 20}`, secretHash: 'ab'.repeat(32)})),
	};
}

function createFirstNote(size: ConfigurationSize): ReleaseNote {
	return releaseNoteSchema.parse({
		id: 'first', operator: 'bench', base: 0, added: createItems(size),
	});
}

/** A note of an ordinary day: some routes and organisations change. */
function createDailyNote(number: number, {services, routes, organisations}: ConfigurationSize): unknown {
	return {
		id: `daily-${number}`,
		operator: 'bench',
		base: number - 1,
		changed: {
			services: [{name: `service-${number % services}`, floor: 4}],
			routes: Array.from({length: 10}, (_, index) => ((number * 10) + index) % routes).map(index => ({
				name: `route-${index}`, host: `host-${index}.example`, pathPrefix: `/path/${index}`, service: `service-${number % services}`,
			})),
			organisations: Array.from({length: 20}, (_, index) => ((number * 20) + index) % organisations).map(index => ({name: `organisation-${index}`, terms: `terms-${number % 20}`})),
		},
	};
}

function measureMs(run: () => void): number {
	const startedAt = performance.now();
	Array.from({length: repeats}).forEach(run);
	return (performance.now() - startedAt) / repeats;
}

function readHeapBytes(): number {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
	return process.memoryUsage().heapUsed;
}

function flattenToChunks<Item>(items: readonly Item[]): ReadonlyArray<readonly Item[]> {
	return Array.from({length: Math.ceil(items.length / itemsPerNote)}, (_, index) => items.slice(index * itemsPerNote, (index + 1) * itemsPerNote));
}

/** A platform that holds releases of the given size and many daily ones. */
async function startPlatform(size: ConfigurationSize): Promise<{readonly platform: PlatformStandIn; readonly store: HttpObjectStore; readonly beforeTail: Configuration}> {
	const platform = new PlatformStandIn();
	const store = new HttpObjectStore(`http://${formatAddress(await platform.listen())}`);
	const first = createFirstNote(size);
	const parts = [
		{services: first.added.services, terms: first.added.terms},
		...flattenToChunks(first.added.routes).map(routes => ({routes})),
		...flattenToChunks(first.added.organisations).map(organisations => ({organisations})),
	];
	const firstNotes = parts.map((added, index) => releaseNoteSchema.parse({
		id: `first-${index}`, operator: 'bench', base: index, added,
	}));
	const daily = Array.from({length: logReleases}, (_, index) => releaseNoteSchema.parse(createDailyNote(firstNotes.length + index + 1, size)));
	const releases = [...firstNotes, ...daily].map((note, index) => ({number: index + 1, acceptedAt: 0, note}));
	await releases.reduce(async (before, release) => {
		await before;
		const created = await store.create(getReleaseKey(release.number), JSON.stringify(release)).run();
		created.ifLeft(failure => {
			throw new Error(failure.detail);
		});
	}, Promise.resolve());
	return {platform, store, beforeTail: applyReleases(emptyConfiguration, releases.slice(0, -tailReleases))};
}

async function measureStart(store: HttpObjectStore): Promise<{readonly ms: number; readonly calls: number; readonly release: number}> {
	const state = new ReleaseState();
	const reader = new ReleaseReader(new ReleaseLog(store), new SnapshotStore(store), state);
	const callsBefore = Object.values(store.getCallCounts()).reduce((sum, count) => sum + count, 0);
	const startedAt = performance.now();
	await reader.readConfiguration().run();
	const ms = performance.now() - startedAt;
	return {ms, calls: Object.values(store.getCallCounts()).reduce((sum, count) => sum + count, 0) - callsBefore, release: state.getNumber()};
}

/** Measures one size. */
export async function measureSize(size: ConfigurationSize): Promise<SizeResult> {
	const firstNote = createFirstNote(size);
	const firstText = JSON.stringify(firstNote);
	const heapBefore = readHeapBytes();
	const configuration = applyReleases(emptyConfiguration, [{number: 1, acceptedAt: 0, note: releaseNoteSchema.parse(JSON.parse(firstText))}]);
	const heapBytes = readHeapBytes() - heapBefore;
	const dailyNote = releaseNoteSchema.parse(createDailyNote(2, size));
	const checkMs = measureMs(() => {
		validateNote(configuration, createDailyNote(2, size));
	});
	const foldMs = measureMs(() => {
		applyReleases(configuration, [{number: 2, acceptedAt: 0, note: dailyNote}]);
	});
	const {platform, store, beforeTail} = await startPlatform(size);
	const fromLog = await measureStart(store);
	await new SnapshotStore(store).writeIfDue(beforeTail).run();
	const fromSnapshot = await measureStart(store);
	await store.close();
	await platform.close();
	if (fromLog.release !== fromSnapshot.release || fromLog.release === 0) {
		throw new Error(`a start from the log ended at ${fromLog.release}, one from the snapshot at ${fromSnapshot.release}`);
	}

	return {
		size,
		checkMs,
		foldMs,
		heapMb: heapBytes / bytesPerMb,
		noteBytes: Buffer.byteLength(JSON.stringify(dailyNote)),
		snapshotBytes: Buffer.byteLength(JSON.stringify(encodeConfiguration(configuration))),
		snapshotStartMs: fromSnapshot.ms,
		snapshotStartCalls: fromSnapshot.calls,
		logStartMs: fromLog.ms,
		logStartCalls: fromLog.calls,
	};
}
