import {setTimeout as wait} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {foldResult, formatAddress, type Failure} from '@limpetbarrow/core';
import {
	HttpObjectStore, maxValueBytes, type CallKind, type ObjectStore,
} from '@limpetbarrow/object-store';
import {Right, type Either} from 'purify-ts';
import {
	MemoryObjectStore, MemoryPlatform, PlatformStandIn, TcpRelay, type PlatformFaults,
} from '../../index.js';

type Call = (store: ObjectStore) => Promise<Either<Failure, unknown>>;

/** One call of each kind; the object `known` has version 1. */
const calls: ReadonlyMap<CallKind, Call> = new Map<CallKind, Call>([
	['get', async (store: ObjectStore) => store.get('known').run()],
	['list', async (store: ObjectStore) => store.list('kn').run()],
	['create', async (store: ObjectStore) => store.create('new', 'value').run()],
	['update', async (store: ObjectStore) => store.update('known', 'next', 1).run()],
	['delete', async (store: ObjectStore) => store.remove('known', 1).run()],
	['watch', async (store: ObjectStore) => store.watch('kn', 0).run()],
]);

/** Calls after which the engine has optimized the code that makes them. */
const callsUntilOptimized = 2000;

const known = {key: 'known', version: 1, value: 'first'};

function toName(result: Either<Failure, unknown>): string {
	return foldResult(result, ({name}) => name, () => 'done');
}

/** Runs a full garbage collection. */
function runGarbageCollection(): void {
	setFlagsFromString('--expose-gc');
	runInNewContext('gc()');
}

/** Runs an action that many times, one after the other. */
async function runRepeatedly(action: () => Promise<unknown>, times: number): Promise<void> {
	await Array.from({length: times}).reduce<Promise<unknown>>(async previous => {
		await previous;
		return action();
	}, Promise.resolve());
}

/** The rules that each implementation keeps. */
function checkContract(createStore: () => ObjectStore): void {
	const cases: ReadonlyArray<{readonly name: string; readonly call: Call; readonly answer: unknown}> = [
		{name: 'get of what is there', call: async store => store.get('known').run(), answer: known},
		{name: 'get of what is not there', call: async store => store.get('none').run(), answer: 'platformNotFound'},
		{name: 'list', call: async store => store.list('kn').run(), answer: {objects: [known], version: 1}},
		{name: 'list of nothing', call: async store => store.list('none').run(), answer: {objects: [], version: 1}},
		{name: 'create', call: async store => store.create('new', 'value').run(), answer: {key: 'new', version: 2, value: 'value'}},
		{name: 'create of what is there', call: async store => store.create('known', 'value').run(), answer: 'platformConflict'},
		{name: 'create of a value that is too large', call: async store => store.create('new', 'x'.repeat(maxValueBytes + 1)).run(), answer: 'platformTooLarge'},
		{name: 'create of the largest value', call: async store => store.create('new', 'x'.repeat(maxValueBytes)).map(({version}) => version).run(), answer: 2},
		{name: 'update', call: async store => store.update('known', 'next', 1).run(), answer: {key: 'known', version: 2, value: 'next'}},
		{name: 'update of another version', call: async store => store.update('known', 'next', 7).run(), answer: 'platformConflict'},
		{name: 'update of what is not there', call: async store => store.update('none', 'next', 1).run(), answer: 'platformConflict'},
		{name: 'remove and get', call: async store => store.remove('known', 1).chain(() => store.get('known')).run(), answer: 'platformNotFound'},
		{name: 'remove of another version', call: async store => store.remove('known', 7).run(), answer: 'platformConflict'},
		{name: 'watch from before a change', call: async store => store.watch('kn', 0).run(), answer: {events: [known], version: 1}},
	];
	cases.forEach(({name, call, answer}) => {
		it(name, async () => {
			const store = createStore();
			await store.create('known', 'first').run();
			const result = await call(store);
			expect(foldResult<Failure, unknown, unknown>(result, failure => failure.name, value => value)).to.deep.equal(answer);
		});
	});

	it('watch waits for a change below its prefix', async () => {
		const store = createStore();
		await store.create('known', 'first').run();
		const watched = store.watch('other', 1).run();
		await store.create('aside', 'value').run();
		await store.create('other-1', 'value').run();
		const result = await watched;
		expect(result.extract()).to.deep.equal({events: [{key: 'other-1', version: 3, value: 'value'}], version: 3});
	});

	it('watch ends when it is aborted', async () => {
		const store = createStore();
		const abort = new AbortController();
		const watched = store.watch('other', 0, {signal: abort.signal}).run();
		abort.abort();
		await watched;
	});

	it('counts each call', async () => {
		const store = createStore();
		await store.create('known', 'first').run();
		await store.get('known').run();
		await store.watch('kn', 0).run();
		expect(store.getCallCounts()).to.deep.equal({
			get: 1, list: 0, create: 1, update: 0, delete: 0, watch: 1,
		});
	});
}

describe('the object API', () => {
	describe('in memory', () => {
		checkContract(() => new MemoryObjectStore(new MemoryPlatform()));
	});

	describe('over HTTP', () => {
		let platform: PlatformStandIn;
		let store: HttpObjectStore;
		let origin: string;

		beforeEach(async () => {
			platform = new PlatformStandIn();
			origin = `http://${formatAddress(await platform.listen())}`;
			store = new HttpObjectStore(origin);
		});

		afterEach(async () => {
			await store.close();
			await platform.close();
		});

		checkContract(() => store);

		/** The answer of each kind of call while a fault is on. */
		const faultCases: ReadonlyArray<{readonly name: string; readonly faults: Partial<PlatformFaults>; readonly answers: Readonly<Record<CallKind, string>>}> = [
			{
				name: 'down',
				faults: {isDown: true},
				answers: {
					get: 'platformUnavailable', list: 'platformUnavailable', create: 'platformUnavailable', update: 'platformUnavailable', delete: 'platformUnavailable', watch: 'platformUnavailable',
				},
			},
			{
				name: 'slow within the bound',
				faults: {delayMs: 20},
				answers: {
					get: 'done', list: 'done', create: 'done', update: 'done', delete: 'done', watch: 'done',
				},
			},
			{
				name: 'answers of changes lost',
				faults: {lostAnswers: 1},
				answers: {
					get: 'done', list: 'done', create: 'platformUnavailable', update: 'platformUnavailable', delete: 'platformUnavailable', watch: 'done',
				},
			},
			{
				name: 'stale reads',
				faults: {staleReads: 1, staleVersion: 0},
				answers: {
					get: 'platformNotFound', list: 'done', create: 'done', update: 'done', delete: 'done', watch: 'done',
				},
			},
			{
				name: 'broken watches',
				faults: {breaksWatches: true},
				answers: {
					get: 'done', list: 'done', create: 'done', update: 'done', delete: 'done', watch: 'platformUnavailable',
				},
			},
			{
				name: 'answers that are not JSON',
				faults: {garblesAnswers: true},
				answers: {
					get: 'platformMalformed', list: 'platformMalformed', create: 'platformMalformed', update: 'platformMalformed', delete: 'platformMalformed', watch: 'platformMalformed',
				},
			},
		];
		const pairs = faultCases.flatMap(({name, faults, answers}) => [...calls].map(([kind, call]) => ({
			name: `${name}: ${kind}`, faults, call, answer: answers[kind],
		})));
		pairs.forEach(({name, faults, call, answer}) => {
			it(name, async () => {
				await store.create('known', 'first').run();
				platform.setFaults(faults);
				expect(toName(await call(store))).to.equal(answer);
			});
		});

		it('a change whose answer was lost took effect', async () => {
			platform.setFaults({lostAnswers: 1});
			await store.create('new', 'value').run();
			const result = await store.get('new').run();
			expect(result.isRight()).to.equal(true);
		});

		it('a call that is slower than its bound fails, and may take effect later', async () => {
			const impatient = new HttpObjectStore(origin, {timeoutMs: 50});
			platform.setFaults({delayMs: 100_000});
			expect(toName(await impatient.get('known').run())).to.equal('platformUnavailable');
			await impatient.close();
		});

		// Guards against calls that each wait for their whole time on one of several connections that went silent together.
		it('a call after one that got no answer uses none of the connections that were open then', async () => {
			const {hostname, port} = new URL(origin);
			const relay = new TcpRelay({host: hostname, port: Number(port)});
			const impatient = new HttpObjectStore(`http://${formatAddress(await relay.listen())}`, {timeoutMs: 100, watchMs: 300});
			try {
				const watched = impatient.watch('other', 0).run();
				await Promise.all(['a', 'b', 'c', 'd'].map(async key => impatient.create(key, key).run()));
				relay.pauseConnections();
				expect(toName(await impatient.get('a').run())).to.equal('platformUnavailable');
				expect(toName(await impatient.get('b').run())).to.equal('done');
				expect(toName(await watched)).to.equal('platformUnavailable');
			} finally {
				await impatient.close();
				await relay.close();
			}
		});

		it('a watch that was aborted before it began ends at once', async () => {
			const startedAt = performance.now();
			expect(toName(await store.watch('other', 0, {signal: AbortSignal.abort()}).run())).to.equal('platformUnavailable');
			expect(performance.now() - startedAt).to.be.below(500);
		});

		// Guards against a watch that hangs on a silent connection for good, because a garbage collection took its time limit.
		it('a watch on a silent connection ends at its time limit after a full garbage collection', async () => {
			const impatient = new HttpObjectStore(origin, {timeoutMs: 200, watchMs: 300});
			const watch = async (): Promise<Either<Failure, unknown>> => impatient.watch('kn', 0, {signal: new AbortController().signal}).run();
			await store.create('known', 'first').run();
			// Optimized code keeps fewer objects alive across an await than code that ran for the first time.
			await runRepeatedly(watch, callsUntilOptimized);
			platform.setFaults({delayMs: 100_000});
			const watched = watch();
			await wait(100);
			runGarbageCollection();
			expect(toName(await Promise.race([watched, wait(3000, Right('hangs'))]))).to.equal('platformUnavailable');
			await impatient.close();
		});
	});
});
