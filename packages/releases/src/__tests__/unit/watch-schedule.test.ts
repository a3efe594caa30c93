import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {EitherAsync, Left, Right} from 'purify-ts';
import {
	createFailure, SilentLogger, type Failure, type Unregister,
} from '@limpetbarrow/core';
import {type WatchOptions} from '@limpetbarrow/object-store';
import {createSeededRandom} from '@limpetbarrow/stand-ins';
import {
	ConfigurationSource, ConfigurationWatcher, emptyConfiguration, ReleaseState, type SourceReadResult,
} from '../../index.js';

/** Time beyond its wait after which a watch without an answer fails, in milliseconds. */
const answerTimeoutMs = 1500;
/** Time in which a change must be in force after the connections have been silent for the contact time, in milliseconds. */
const contactMs = 4000;
const applyMs = 2500;
/** Time that the other nodes need to fetch a change from the first one that has it, in milliseconds. */
const spreadMs = 1500;
const changePeriodMs = 7000;

async function wait(ms: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, ms);
	});
}

/** A source whose connections can go silent: a watch in progress gets no answer then, a later call does. */
class SilentSource extends ConfigurationSource {
	release = 1;
	calls = 0;
	/** Monotonic times of the last read and of the last watch that failed, in milliseconds. */
	readAt = 0;
	failedAt = 0;
	#silentCount = 0;
	#waiters: ReadonlyArray<() => void> = [];

	/** Publishes the next release. */
	writeNext(): void {
		this.release++;
		this.#waiters.forEach(wakeUp => {
			wakeUp();
		});
		this.#waiters = [];
	}

	/** Makes all watches in progress silent; later calls are answered. */
	pause(): void {
		this.#silentCount++;
		this.#waiters = [];
	}

	override registerRestoreListener(): Unregister {
		return () => undefined;
	}

	override read(): EitherAsync<Failure, SourceReadResult> {
		this.calls++;
		this.readAt = performance.now();
		return EitherAsync.liftEither(Right(this.#createResult(0)));
	}

	override watch(fromVersion: number, {waitMs = 0, signal}: WatchOptions): EitherAsync<Failure, SourceReadResult> {
		this.calls++;
		return EitherAsync<Failure, SourceReadResult>(async ({liftEither}) => {
			const silentCount = this.#silentCount;
			if (fromVersion === this.release) {
				await this.#wait(waitMs, signal);
			}

			if (silentCount === this.#silentCount) {
				return this.#createResult(fromVersion);
			}

			await wait(answerTimeoutMs);
			this.failedAt = performance.now();
			return liftEither(Left(createFailure('platformUnavailable', 'no answer')));
		});
	}

	async #wait(waitMs: number, signal: AbortSignal | undefined): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, waitMs);
			const finish = (): void => {
				clearTimeout(timer);
				resolve();
			};

			this.#waiters = [...this.#waiters, finish];
			signal?.addEventListener('abort', finish);
		});
	}

	#createResult(fromVersion: number): SourceReadResult {
		return {version: this.release, configuration: this.release > fromVersion ? {...emptyConfiguration, release: this.release} : undefined};
	}
}

type Fleet = {
	readonly source: SilentSource;
	readonly states: readonly ReleaseState[];
	readonly stop: () => void;
};

describe('the watches of a fleet', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	function startFleet(size: number, seed: number, countWatchers = () => size): Fleet {
		const source = new SilentSource();
		const random = createSeededRandom(seed);
		const states = Array.from({length: size}, () => new ReleaseState());
		const watchers = states.map(state => new ConfigurationWatcher({
			source, state, logger: new SilentLogger(), countWatchers, random,
		}));
		watchers.forEach(watcher => {
			watcher.start();
		});
		return {
			source, states, stop() {
				watchers.forEach(watcher => {
					watcher.stop();
				});
			},
		};
	}

	[1, 2, 3, 6, 12, 18, 24, 32].forEach(size => {
		// Guards against a fleet whose watches, begun together after a change, all wait on silent connections for as long.
		it(`notices silent connections in time, at any moment after a change: ${size} nodes`, async () => {
			const missed = await Array.from({length: 20}, (_, index) => index).reduce<Promise<readonly number[]>>(async (before, index) => {
				const earlier = await before;
				const {source, states, stop} = startFleet(size, index + 1);
				await clock.tickAsync(1000);
				source.writeNext();
				const silentAfterMs = 400 + (index * 700);
				await clock.tickAsync(silentAfterMs);
				source.pause();
				await clock.tickAsync(contactMs);
				source.writeNext();
				await clock.tickAsync(applyMs - spreadMs);
				stop();
				return states.some(state => state.getNumber() === source.release) ? earlier : [...earlier, silentAfterMs];
			}, Promise.resolve([]));
			expect(missed).to.deep.equal([]);
		});

		it(`cost a tenth of a call a node and second, or two a second over a small fleet: ${size} nodes`, async () => {
			const {source, stop} = startFleet(size, 77);
			await clock.tickAsync(15_000);
			const {calls} = source;
			await clock.tickAsync(60_000);
			stop();
			expect((source.calls - calls) / 60).to.be.at.most(Math.max(size / 10, 2) * 1.05);
		});
	});

	it('cost at most one more call a change and node than the change itself', async () => {
		const size = 24;
		const {source, stop} = startFleet(size, 78);
		await clock.tickAsync(15_000);
		const {calls} = source;
		await Array.from({length: 10}).reduce<Promise<void>>(async before => {
			await before;
			source.writeNext();
			await clock.tickAsync(changePeriodMs);
		}, Promise.resolve());
		stop();
		expect((source.calls - calls) / size / 10).to.be.at.most((changePeriodMs / 10_000) + 2);
	});

	// Guards against a node that is cut off from the others and waits on a silent connection as long as if they could tell it.
	it('of a node that is out of touch begin again, so that a change reaches it', async () => {
		const missed = await Array.from({length: 20}, (_, index) => index).reduce<Promise<readonly number[]>>(async (before, index) => {
			const earlier = await before;
			const known = {watchers: 24};
			const {source, states, stop} = startFleet(1, 5, () => known.watchers);
			const silentAfterMs = 11_000 + (index * 500);
			await clock.tickAsync(silentAfterMs);
			source.pause();
			known.watchers = 1;
			await clock.tickAsync(contactMs);
			source.writeNext();
			await clock.tickAsync(applyMs);
			stop();
			return states.some(state => state.getNumber() === source.release) ? earlier : [...earlier, silentAfterMs];
		}, Promise.resolve([]));
		expect(missed).to.deep.equal([]);
	});

	it('that got no answer are followed by a read at once', async () => {
		const {source, stop} = startFleet(1, 5);
		await clock.tickAsync(11_000);
		source.pause();
		await clock.tickAsync(contactMs);
		stop();
		expect(source.failedAt).to.be.above(11_000);
		expect(source.readAt - source.failedAt).to.be.within(0, 50);
	});
});
