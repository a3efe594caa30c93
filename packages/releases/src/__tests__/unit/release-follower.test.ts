import {setImmediate as waitForPromises} from 'node:timers/promises';
import {expect} from 'chai';
import {install} from '@sinonjs/fake-timers';
import {EitherAsync, Left} from 'purify-ts';
import {createFailure, SilentLogger, type Failure} from '@limpetbarrow/core';
import {type CallKind} from '@limpetbarrow/object-store';
import {MemoryObjectStore, MemoryPlatform, type MemoryFault} from '@limpetbarrow/stand-ins';
import {
	fleetPollPeriodMs, MemoryFleet, ReleaseFollower, ReleasePeers, ReleaseState, selectWatchers, StoreWatcher, watchersPerDomain, type Configuration, type Release, type ReleasePeer,
} from '../../index.js';
import {createNote, createOperator} from './notes.js';

const maxPropagationMs = 6000;
const settleMs = 10_000;
const hourMs = 3_600_000;
const domains = ['a-1', 'a-2', 'b-1', 'b-2'];
const gossipDelayMs = 1000;
/** Minimum delay between two tries after many failures. */
const minRetryDelayMs = 2000;

/** Creates a seeded generator of numbers from 0 to 1, which returns the same sequence in each run. */
function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * 48_271) + 11) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

describe('a fleet of release followers', () => {
	let clock: ReturnType<typeof install>;
	let platform: MemoryPlatform;
	let fleet: MemoryFleet;
	let chooseFault: (nodeId: string, kind: CallKind) => MemoryFault;
	let canFetch: (fromId: string, toId: string) => boolean;
	let releaseCount = 0;

	/** Advances the clock in steps and lets promises settle after each. */
	async function simulateTime(ms: number, stepMs = 50): Promise<void> {
		await Array.from({length: Math.ceil(ms / stepMs)}).reduce<Promise<void>>(async before => {
			await before;
			clock.tick(stepMs);
			await waitForPromises();
		}, Promise.resolve());
	}

	async function applyNote(): Promise<void> {
		const result = await createOperator(platform).acceptor.accept(createNote(`note-${releaseCount}`, releaseCount)).run();
		expect(result.isRight(), result.isLeft() ? JSON.stringify(result.extract()) : '').to.equal(true);
		releaseCount++;
	}

	function listReleaseNumbers(): readonly number[] {
		return [...new Set(fleet.listNodes().map(({state}) => state.getNumber()))];
	}

	async function startNodes(count: number): Promise<void> {
		Array.from({length: count}, (_, index) => fleet.startNode(`node-${index}`, domains[index % domains.length]!));
		await simulateTime(settleMs);
	}

	beforeEach(() => {
		clock = install({toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
		platform = new MemoryPlatform();
		releaseCount = 0;
		chooseFault = () => 'none';
		canFetch = () => true;
		const random = createRandom(1);
		fleet = new MemoryFleet({
			createStore: id => new MemoryObjectStore(platform, kind => chooseFault(id, kind)),
			gossipDelayMs,
			random,
			canFetch: (fromId, toId) => canFetch(fromId, toId),
		});
	});

	afterEach(() => {
		fleet.listNodes().forEach(({id}) => {
			fleet.crashNode(id);
		});
		clock.uninstall();
	});

	it('puts a release in force on all nodes within the time limit, with few watchers', async () => {
		await startNodes(40);
		expect(fleet.listWatching().length).to.equal(domains.length * watchersPerDomain);
		await applyNote();
		await simulateTime(maxPropagationMs);
		expect(listReleaseNumbers()).to.deep.equal([1]);
	});

	it('calls the platform about as often with many nodes as with few', async () => {
		await startNodes(16);
		const countCalls = async (): Promise<number> => {
			const before = fleet.countPlatformCalls();
			await simulateTime(300_000, 100);
			return fleet.countPlatformCalls() - before;
		};

		const few = await countCalls();
		Array.from({length: 64}, (_, index) => fleet.startNode(`more-${index}`, domains[index % domains.length]!));
		await simulateTime(settleMs);
		const many = await countCalls();
		expect(many).to.be.lessThan(few * 1.5);
	});

	describe('with faults', () => {
		const cases: ReadonlyArray<{readonly name: string; readonly fault: (nodeId: string, kind: CallKind) => MemoryFault}> = [
			{name: 'half of the nodes cannot reach the platform', fault: id => Number(id.slice(5)) % 4 < 2 ? 'refused' : 'none'},
			{name: 'watches leave out changes', fault: (_, kind) => kind === 'watch' ? 'stale' : 'none'},
			{name: 'watches fail', fault: (_, kind) => kind === 'watch' ? 'refused' : 'none'},
		];
		cases.forEach(({name, fault}) => {
			it(`${name}: a release is in force on all nodes within the time limit`, async () => {
				await startNodes(24);
				chooseFault = fault;
				await simulateTime(settleMs);
				await applyNote();
				await simulateTime(maxPropagationMs);
				expect(listReleaseNumbers()).to.deep.equal([1]);
			});
		});

		it('no watcher can reach the platform: a release is still found by the random reads of other nodes', async () => {
			await startNodes(24);
			const cut = new Set(fleet.listWatching().map(({id}) => id));
			chooseFault = id => cut.has(id) ? 'refused' : 'none';
			await applyNote();
			await simulateTime(5 * maxPropagationMs);
			expect(listReleaseNumbers()).to.deep.equal([1]);
		});

		it('all watchers crash: other nodes replace them', async () => {
			await startNodes(24);
			const before = fleet.listWatching().map(({id}) => id);
			before.forEach(id => {
				fleet.crashNode(id);
			});
			await simulateTime(1000);
			expect(fleet.listWatching().length).to.equal(domains.length * watchersPerDomain);
			await applyNote();
			await simulateTime(maxPropagationMs);
			expect(listReleaseNumbers()).to.deep.equal([1]);
		});

		it('peers do not respond: other peers are asked, with a limited number of fetches', async () => {
			await startNodes(24);
			const watching = new Set(fleet.listWatching().map(({id}) => id));
			canFetch = (_, toId) => !watching.has(toId) || toId === [...watching][0];
			await applyNote();
			await simulateTime(maxPropagationMs);
			expect(listReleaseNumbers()).to.deep.equal([1]);
			expect(fleet.getFetchCount()).to.be.lessThan(24 * watching.size);
		});

		it('the platform is down for an hour: releases stay in force, new nodes fetch them, calls are few, and later releases arrive', async () => {
			await startNodes(16);
			await applyNote();
			await simulateTime(maxPropagationMs);
			chooseFault = () => 'refused';
			const callsBefore = fleet.countPlatformCalls();
			await simulateTime(hourMs, 500);
			const maxCalls = (domains.length * watchersPerDomain * hourMs / minRetryDelayMs) + (hourMs / fleetPollPeriodMs);
			expect(fleet.countPlatformCalls() - callsBefore).to.be.lessThan(maxCalls);
			fleet.listNodes().slice(0, 12).forEach(({id, failureDomain}) => {
				fleet.crashNode(id);
				fleet.startNode(`${id}-new`, failureDomain);
			});
			await simulateTime(maxPropagationMs);
			expect(listReleaseNumbers()).to.deep.equal([1]);
			chooseFault = () => 'none';
			await applyNote();
			await simulateTime(maxPropagationMs);
			expect(listReleaseNumbers()).to.deep.equal([2]);
		}).timeout(60_000);

		it('a node is stopped while many releases are made: it catches up from its peers although its platform reads are stale', async () => {
			await startNodes(8);
			const frozen = fleet.listNodes()[3]!;
			frozen.follower.stop();
			await Array.from({length: 30}).reduce<Promise<void>>(async before => {
				await before;
				await applyNote();
			}, Promise.resolve());
			await simulateTime(settleMs);
			expect(frozen.state.getNumber()).to.equal(0);
			chooseFault = id => id === frozen.id ? 'stale' : 'none';
			frozen.follower.start();
			await simulateTime(maxPropagationMs);
			expect(listReleaseNumbers()).to.deep.equal([30]);
		});
	});
});

/** Lists only the node itself until 2 s after the start. */
class DelayedPeers extends ReleasePeers {
	readonly #selfId: string;
	readonly #others: readonly ReleasePeer[];
	readonly #othersKnownAt = performance.now() + 2000;

	constructor(selfId: string, others: readonly ReleasePeer[]) {
		super();
		this.#selfId = selfId;
		this.#others = others;
	}

	override getSelfId(): string {
		return this.#selfId;
	}

	override listLive(): readonly ReleasePeer[] {
		return performance.now() < this.#othersKnownAt ? this.#others.filter(({id}) => id === this.#selfId) : this.#others;
	}

	override fetchReleases(peerId: string): EitherAsync<Failure, readonly Release[]> {
		return EitherAsync.liftEither(Left(createFailure('linkUnreachable', peerId)));
	}

	override fetchConfiguration(peerId: string): EitherAsync<Failure, Configuration> {
		return EitherAsync.liftEither(Left(createFailure('linkUnreachable', peerId)));
	}
}

describe('a failure domain whose nodes all start at the same time', () => {
	let clock: ReturnType<typeof install>;

	beforeEach(() => {
		clock = install({toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('does not call the platform until its nodes know of one another, and then watches from a few of them', async () => {
		const platform = new MemoryPlatform();
		const peers: readonly ReleasePeer[] = Array.from({length: 60}, (_, index) => ({
			id: `node-${index}`, failureDomain: 'a-1', release: 0, isServing: true,
		}));
		const random = createRandom(3);
		const nodes = peers.map(({id}) => {
			const store = new MemoryObjectStore(platform);
			return {
				store,
				follower: new ReleaseFollower({
					store, state: new ReleaseState(), peers: new DelayedPeers(id, peers), expectsPeers: true, logger: new SilentLogger(), random,
				}),
			};
		});
		const countCallers = (): number => nodes.filter(({store}) => store.getCallCounts().watch > 0).length;
		const simulateTime = async (steps: number): Promise<void> => Array.from({length: steps}).reduce<Promise<void>>(async before => {
			await before;
			clock.tick(100);
			await waitForPromises();
		}, Promise.resolve());
		nodes.forEach(({follower}) => {
			follower.start();
		});
		await simulateTime(20);
		const early = nodes.flatMap(({store}) => Object.values(store.getCallCounts())).reduce((sum, count) => sum + count, 0);
		await simulateTime(80);
		const callerCount = countCallers();
		nodes.forEach(({follower}) => {
			follower.stop();
		});
		expect([early, callerCount]).to.deep.equal([0, watchersPerDomain]);
	});
});

describe('a store watcher', () => {
	it('reads the log again when a watch has left out a change', async () => {
		const clock = install({toFake: ['setTimeout', 'clearTimeout']});
		const platform = new MemoryPlatform();
		let watchCount = 0;
		const {
			store, log, reader, state,
		} = createOperator(platform, kind => kind === 'watch' && watchCount++ === 0 ? 'stale' : 'none');
		const watcher = new StoreWatcher({
			store, log, reader, state, logger: new SilentLogger(), random: () => 1, countWatchers: () => 1,
		});
		const applyNote = async (id: string, base: number): Promise<void> => {
			await createOperator(platform).acceptor.accept(createNote(id, base)).run();
			clock.tick(10);
			await waitForPromises();
		};

		watcher.start();
		clock.tick(10);
		await waitForPromises();
		clock.tick(10);
		await waitForPromises();
		await applyNote('a', 0);
		expect(state.getNumber()).to.equal(0);
		await applyNote('b', 1);
		expect(state.getNumber()).to.equal(2);
		watcher.stop();
		clock.uninstall();
	});
});

describe('the selection of watchers', () => {
	const peers: readonly ReleasePeer[] = Array.from({length: 40}, (_, index) => ({
		id: `node-${index}`, failureDomain: domains[index % 4]!, release: 0, isServing: index !== 7,
	}));

	it('does not depend on the order of the nodes and leaves out stopping nodes', () => {
		const chosen = selectWatchers(peers);
		expect([...selectWatchers(peers.toReversed())].toSorted()).to.deep.equal([...chosen].toSorted());
		expect(chosen.size).to.equal(8);
		expect(chosen.has('node-7')).to.equal(false);
	});

	it('changes by one node when one watcher leaves', () => {
		const before = selectWatchers(peers);
		const [first] = before;
		const after = selectWatchers(peers.filter(({id}) => id !== first));
		expect([...after].filter(id => !before.has(id)).length).to.equal(1);
	});
});
