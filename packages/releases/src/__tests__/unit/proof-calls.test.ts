import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {EitherAsync, Left, Right} from 'purify-ts';
import {
	createFailure, SilentLogger, type Failure, type Unregister,
} from '@limpetbarrow/core';
import {
	ConfigurationFreshness, ConfigurationSource, ConfigurationWatcher, emptyConfiguration, maxWatcherProofAgeMs, ReleaseState, type FreshnessDuty, type SourceReadResult,
} from '../../index.js';

const answerMs = 5;
const watchersPerDomain = 4;

/** Counts its calls; a watch ends when its wait time is over. */
class WaitingSource extends ConfigurationSource {
	calls = 0;
	shortWatches = 0;
	release = 3;
	failure: Failure | undefined;

	override registerRestoreListener(): Unregister {
		return () => undefined;
	}

	override read(): EitherAsync<Failure, SourceReadResult> {
		this.calls++;
		return this.#answer(answerMs, 0);
	}

	override watch(fromVersion: number, {waitMs = 0}: {readonly waitMs?: number}): EitherAsync<Failure, SourceReadResult> {
		this.calls++;
		this.shortWatches += Number(waitMs === 1);
		return this.#answer(waitMs + answerMs, fromVersion);
	}

	#answer(ms: number, fromVersion: number): EitherAsync<Failure, SourceReadResult> {
		return EitherAsync.fromPromise(async () => {
			await new Promise<void>(resolve => {
				setTimeout(resolve, ms);
			});
			return this.failure ? Left(this.failure) : Right({version: this.release, configuration: this.release > fromVersion ? {...emptyConfiguration, release: this.release} : undefined});
		});
	}
}

type Node = {
	readonly state: ReleaseState;
	readonly freshness: ConfigurationFreshness;
	readonly watcher: ConfigurationWatcher;
};

describe('calls to the store for proofs', () => {
	let clock: Clock;
	let source: WaitingSource;
	let nodes: readonly Node[];

	const addNode = (isSelected: boolean, getFreshnessDuty?: () => FreshnessDuty, size = 1): Node => {
		const state = new ReleaseState();
		const freshness = new ConfigurationFreshness(() => state.getNumber());
		const watcher = new ConfigurationWatcher({
			source, state, logger: new SilentLogger(), isSelectedWatcher: () => isSelected, countWatchers: () => 24, countLiveNodes: () => size, freshness, ...(getFreshnessDuty && {getFreshnessDuty}),
		});
		watcher.start();
		const node = {state, freshness, watcher};
		nodes = [...nodes, node];
		return node;
	};

	const getAgeMs = ({freshness}: Node): number => freshness.getAgeMs(performance.now(), Date.now());

	/** Counts the calls a second of a fleet, after its start. */
	const measureCalls = async (size: number, domains: number, getDuty: ((index: number) => FreshnessDuty) | undefined): Promise<number> => {
		source = new WaitingSource();
		nodes = [];
		Array.from({length: size}, (_, index) => index).forEach(index => {
			addNode(index < domains * watchersPerDomain, getDuty && (() => getDuty(index)), size);
		});
		await clock.tickAsync(15_000);
		const before = source.calls;
		await clock.tickAsync(40_000);
		nodes.forEach(({watcher}) => {
			watcher.stop();
		});
		return (source.calls - before) / 40;
	};

	beforeEach(() => {
		clock = install();
		source = new WaitingSource();
		nodes = [];
	});

	afterEach(() => {
		nodes.forEach(({watcher}) => {
			watcher.stop();
		});
		clock.uninstall();
	});

	describe('of a node', () => {
		it('date the proof from their start, not from their end', async () => {
			const node = addNode(true);
			await clock.tickAsync(answerMs);
			expect(getAgeMs(node)).to.equal(answerMs);
		});

		it('are one every 800 ms for a prover', async () => {
			const node = addNode(true, () => ({isNeeded: true, isProver: true}));
			await clock.tickAsync(5000);
			const before = source.shortWatches;
			await clock.tickAsync(8000);
			expect(source.shortWatches - before).to.equal(10);
			expect(getAgeMs(node)).to.be.at.most(800 + (2 * answerMs));
		});

		it('are one for a watcher whose proof is older than 2 s, which then watches as before', async () => {
			const node = addNode(true, () => ({isNeeded: true, isProver: false}));
			await clock.tickAsync(6000);
			const {calls, shortWatches} = source;
			Array.from({length: 20}).forEach((_, index) => {
				setTimeout(() => {
					node.freshness.recordProof(node.freshness.readClocks(), 3);
				}, index * 500);
			});
			await clock.tickAsync(9500);
			expect(source.shortWatches).to.equal(shortWatches);
			await clock.tickAsync(maxWatcherProofAgeMs + 600);
			expect(source.shortWatches).to.equal(shortWatches + 1);
			expect(source.calls).to.be.at.most(calls + 3);
			expect(getAgeMs(node)).to.be.below(maxWatcherProofAgeMs);
		});

		it('prove nothing when they fail, or when the configuration that they return can\'t be read', async () => {
			const node = addNode(true, () => ({isNeeded: true, isProver: true}));
			await clock.tickAsync(5000);
			source.failure = createFailure('releaseUnreadable', 'no version');
			const ageMs = getAgeMs(node);
			await clock.tickAsync(6000);
			expect(getAgeMs(node)).to.be.at.least(6000).and.at.most(ageMs + 6000);
			source.failure = undefined;
			await clock.tickAsync(6000);
			expect(getAgeMs(node)).to.be.below(900);
		});

		it('cover a configuration that a call has just returned', async () => {
			const node = addNode(true, () => ({isNeeded: true, isProver: true}));
			await clock.tickAsync(5000);
			source.release = 4;
			await clock.tickAsync(1700);
			expect(node.state.getNumber()).to.equal(4);
			expect(getAgeMs(node)).to.be.at.most(800 + (2 * answerMs));
		});
	});

	describe('of a fleet', () => {
		[{size: 24, domains: 4}, {size: 100, domains: 5}, {size: 730, domains: 6}].forEach(({size, domains}) => {
			it(`add at most a few a second for ${size} nodes, and none while freshness isn't needed`, async () => {
				const before = await measureCalls(size, domains, undefined);
				const unneeded = await measureCalls(size, domains, index => ({isNeeded: false, isProver: index < domains}));
				const supplied = await measureCalls(size, domains, index => {
					const isProver = index < domains;
					const node = nodes[index];
					const prover = nodes[index % domains];
					// The other watchers get proofs from the provers of their domains, as the exchange between nodes supplies them.
					if (!isProver && node && prover && getAgeMs(prover) < 1000) {
						node.freshness.recordProof(node.freshness.readClocks(), 3, getAgeMs(prover));
					}

					return {isNeeded: true, isProver};
				});
				const unsupplied = await measureCalls(size, domains, index => ({isNeeded: true, isProver: index < domains}));
				const provers = domains / 0.8;
				const figures = `${size} nodes: ${before} before, ${unneeded} unneeded, ${supplied} supplied, ${unsupplied} unsupplied`;
				expect(Math.abs(unneeded - before), figures).to.be.below(1);
				expect(supplied - before, figures).to.be.below(provers + 0.5);
				expect(unsupplied - before, figures).to.be.below(provers + (domains * (watchersPerDomain - 1) / 2) + 0.5);
			});
		});
	});
});
