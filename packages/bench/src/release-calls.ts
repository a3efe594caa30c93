/** Calls of the platform and time until a release is in force everywhere, by number of nodes, in fake time. */
import {setImmediate as waitForPromises} from 'node:timers/promises';
import {install} from '@sinonjs/fake-timers';
import {
	getReleaseKey, MemoryFleet, releaseNoteSchema, watchersPerDomain,
} from '@limpetbarrow/releases';
import {MemoryObjectStore, MemoryPlatform} from '@limpetbarrow/stand-ins';

/** What one number of nodes costs under one policy. */
export type CallResult = {
	readonly nodes: number;
	readonly policy: 'few watchers' | 'every node watches';
	readonly watchers: number;
	readonly quietCallsPerS: number;
	/** Calls per second over the seconds in which one release spread. */
	readonly releaseCallsPerS: number;
	/** Calls per second while the platform refuses every call. */
	readonly outageCallsPerS: number;
	/** Time until the release is in force on every node, in milliseconds; infinite when it is not within the bound. */
	readonly inForceMs: number;
};

const domainCount = 4;
const gossipDelayMs = 2000;
const stepMs = 100;
const settleMs = 8000;
/** Long enough that the rare reads, some in ten seconds, make a steady rate. */
const quietMs = 200_000;
/** Watches that all nodes hold come at a steady rate by themselves. */
const baselineQuietMs = 20_000;
const outageMs = 20_000;
const releaseMs = 6000;
const msPerS = 1000;

type Clock = ReturnType<typeof install>;

function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * 48_271) + 11) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

async function simulateTime(clock: Clock, ms: number): Promise<void> {
	await Array.from({length: ms / stepMs}).reduce<Promise<void>>(async before => {
		await before;
		clock.tick(stepMs);
		await waitForPromises();
	}, Promise.resolve());
}

async function measureCalls(clock: Clock, fleet: MemoryFleet, ms: number): Promise<number> {
	const before = fleet.countPlatformCalls();
	await simulateTime(clock, ms);
	return (fleet.countPlatformCalls() - before) / (ms / msPerS);
}

function applyRelease(platform: MemoryPlatform, number: number): void {
	const note = releaseNoteSchema.parse({
		id: `note-${number}`, operator: 'bench', base: number - 1, added: {services: [{name: `service-${number}`}]},
	});
	platform.write(getReleaseKey(number), 0, JSON.stringify({number, acceptedAt: Date.now(), note}));
}

async function simulateSpread(clock: Clock, fleet: MemoryFleet, release: number): Promise<number> {
	const startedAt = Date.now();
	let inForceAt = Number.POSITIVE_INFINITY;
	const timer = setInterval(() => {
		const isEverywhere = fleet.listNodes().every(({state}) => state.getNumber() === release);
		inForceAt = isEverywhere ? Math.min(inForceAt, Date.now()) : inForceAt;
	}, stepMs);
	await simulateTime(clock, releaseMs);
	clearInterval(timer);
	return inForceAt - startedAt;
}

/** Measures one number of nodes under one policy. */
export async function simulateCalls(nodes: number, policy: CallResult['policy'], seed: number): Promise<CallResult> {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	try {
		const platform = new MemoryPlatform();
		let isDown = false;
		const fleet = new MemoryFleet({
			createStore: () => new MemoryObjectStore(platform, () => isDown ? 'refused' : 'none'),
			gossipDelayMs,
			random: createRandom(seed),
			watchersPerDomain: policy === 'few watchers' ? watchersPerDomain : nodes,
		});
		Array.from({length: nodes}, (_, index) => fleet.startNode(`host-${index}`, `domain-${index % domainCount}`));
		await simulateTime(clock, settleMs);
		applyRelease(platform, 1);
		await simulateTime(clock, settleMs);
		const quietCallsPerS = await measureCalls(clock, fleet, policy === 'few watchers' ? quietMs : baselineQuietMs);
		applyRelease(platform, 2);
		const callsBefore = fleet.countPlatformCalls();
		const inForceMs = await simulateSpread(clock, fleet, 2);
		const releaseCallsPerS = (fleet.countPlatformCalls() - callsBefore) / (releaseMs / msPerS);
		isDown = true;
		const outageCallsPerS = await measureCalls(clock, fleet, outageMs);
		const watchers = fleet.listWatching().length;
		fleet.listNodes().forEach(({id}) => {
			fleet.crashNode(id);
		});
		return {
			nodes, policy, watchers, quietCallsPerS, releaseCallsPerS, outageCallsPerS, inForceMs,
		};
	} finally {
		clock.uninstall();
	}
}
