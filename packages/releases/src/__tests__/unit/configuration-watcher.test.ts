import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {EitherAsync, Left, Right} from 'purify-ts';
import {
	createFailure, SilentLogger, type Failure, type LogEventName, type LogFields, type Unregister,
} from '@limpetbarrow/core';
import {
	ConfigurationSource, ConfigurationWatcher, emptyConfiguration, ReleaseState, type SourceReadResult,
} from '../../index.js';

const watchMs = 10_000;

/** Counts its calls; a watch ends when the version changes or its wait time is over. */
class CountingSource extends ConfigurationSource {
	reads = 0;
	watches = 0;
	release = 3;
	isUnavailable = false;
	#waiters: Array<() => void> = [];
	#watchFailure: Failure | undefined;

	write(release: number): void {
		this.release = release;
		this.#waiters.forEach(wakeUp => {
			wakeUp();
		});
		this.#waiters = [];
	}

	/** Makes all later watches fail. */
	failWatches(detail: string): void {
		this.#watchFailure = createFailure('platformUnavailable', detail);
	}

	override registerRestoreListener(): Unregister {
		return () => undefined;
	}

	override read(): EitherAsync<Failure, SourceReadResult> {
		this.reads++;
		return EitherAsync.liftEither(this.isUnavailable ? Left(createFailure('platformUnavailable', 'away')) : Right(this.#createReadResult(0)));
	}

	override watch(fromVersion: number): EitherAsync<Failure, SourceReadResult> {
		this.watches++;
		if (this.#watchFailure) {
			return EitherAsync.liftEither(Left(this.#watchFailure));
		}

		return EitherAsync.fromPromise(async () => {
			if (fromVersion >= this.release) {
				await new Promise<void>(resolve => {
					this.#waiters.push(resolve);
					setTimeout(resolve, watchMs);
				});
			}

			return Right(this.#createReadResult(fromVersion));
		});
	}

	#createReadResult(fromVersion: number): SourceReadResult {
		return {version: this.release, configuration: this.release > fromVersion && this.release > 0 ? {...emptyConfiguration, release: this.release} : undefined};
	}
}

describe('a configuration watcher in a large fleet', () => {
	let clock: Clock;
	let source: CountingSource;
	let state: ReleaseState;
	let isSelected: boolean;
	let liveNodes: number;
	let watcher: ConfigurationWatcher;

	beforeEach(() => {
		clock = install();
		source = new CountingSource();
		state = new ReleaseState();
		isSelected = false;
		liveNodes = 1_000_000;
		watcher = new ConfigurationWatcher({
			source, state, logger: new SilentLogger(), isSelectedWatcher: () => isSelected, countLiveNodes: () => liveNodes, random: () => 0.5,
		});
	});

	afterEach(() => {
		watcher.stop();
		clock.uninstall();
	});

	it('reads once and does not watch while it is not selected', async () => {
		watcher.start();
		await clock.tickAsync(60_000);
		expect({reads: source.reads, watches: source.watches, release: state.getNumber()}).to.deep.equal({reads: 1, watches: 0, release: 3});
		expect(watcher.isWatching()).to.equal(false);
	});

	it('watches from the version it has read once it is selected, and gets the changes made since', async () => {
		watcher.start();
		await clock.tickAsync(5000);
		source.write(4);
		await clock.tickAsync(5000);
		expect(state.getNumber()).to.equal(3);
		isSelected = true;
		await clock.tickAsync(600);
		expect(state.getNumber()).to.equal(4);
		expect(watcher.isWatching()).to.equal(true);
		expect(source.reads).to.equal(1);
	});

	it('reads at once on readNow and still does not watch', async () => {
		watcher.start();
		await clock.tickAsync(5000);
		source.write(6);
		watcher.readNow();
		await clock.tickAsync(10);
		expect(state.getNumber()).to.equal(6);
		await clock.tickAsync(5000);
		expect({reads: source.reads, watches: source.watches}).to.deep.equal({reads: 2, watches: 0});
	});

	// Guards against a node that knows of a change and waits for a watch that will not deliver it.
	it('gives up a silent watch on readNow, and has the change at once', async () => {
		isSelected = true;
		watcher.start();
		await clock.tickAsync(6000);
		expect(watcher.isWatching()).to.equal(true);
		source.release = 5;
		await clock.tickAsync(50);
		expect(state.getNumber()).to.equal(3);
		watcher.readNow();
		await clock.tickAsync(10);
		expect(state.getNumber()).to.equal(5);
	});

	// Guards against a node that knows of a change and waits for its back-off, though the source answers others again.
	it('gives up the pause after failures on readNow', async () => {
		source.isUnavailable = true;
		watcher.start();
		await clock.tickAsync(6000);
		source.isUnavailable = false;
		watcher.readNow();
		await clock.tickAsync(10);
		expect(state.getNumber()).to.equal(3);
	});

	// Guards against watchers that all pause for longer than a change may take after an outage of the source.
	it('has a change within a second of the end of a long outage once it is selected', async () => {
		watcher.stop();
		watcher = new ConfigurationWatcher({
			source, state, logger: new SilentLogger(), isSelectedWatcher: () => true, random: () => 0.999,
		});
		source.isUnavailable = true;
		watcher.start();
		const delays = await Array.from({length: 8}).reduce<Promise<readonly number[]>>(async (before, _, index) => {
			const earlier = await before;
			source.isUnavailable = true;
			source.failWatches('away');
			await clock.tickAsync(12_000 + (index * 470));
			source.isUnavailable = false;
			source.release++;
			const backAt = clock.now;
			await clock.tickAsync(1010);
			return [...earlier, state.getNumber() === source.release ? 0 : clock.now - backAt];
		}, Promise.resolve([]));
		expect(delays.filter(delayMs => delayMs > 0)).to.deep.equal([]);
	});

	it('reads ever more rarely on readNow while reads bring no newer release', async () => {
		watcher.start();
		await clock.tickAsync(5000);
		const {reads} = source;
		await Array.from({length: 75}).reduce<Promise<unknown>>(async before => {
			await before;
			watcher.readNow();
			await clock.tickAsync(400);
		}, Promise.resolve());
		expect(source.reads - reads).to.be.within(4, 7);
	});

	it('watches without being selected while it has no configuration', async () => {
		source.release = 0;
		watcher.start();
		await clock.tickAsync(1000);
		expect(source.watches).to.equal(1);
		source.write(5);
		await clock.tickAsync(100);
		expect(state.getNumber()).to.equal(5);
	});

	it('reads at random times, so that it finds a change even when no node watches', async () => {
		liveNodes = 1;
		watcher = new ConfigurationWatcher({
			source, state, logger: new SilentLogger(), isSelectedWatcher: () => false, countLiveNodes: () => liveNodes, random: () => 0.2,
		});
		watcher.start();
		await clock.tickAsync(1000);
		source.write(9);
		await clock.tickAsync(2000);
		expect(state.getNumber()).to.equal(9);
	});

	it('reads less than once a second over the whole fleet, whatever its size', async () => {
		const sizes = [24, 96, 234, 730];
		const rates = await sizes.reduce<Promise<readonly number[]>>(async (before, size) => {
			const previousRates = await before;
			const fleetSource = new CountingSource();
			const watchers = Array.from({length: size}, () => new ConfigurationWatcher({
				source: fleetSource, state: new ReleaseState(), logger: new SilentLogger(), isSelectedWatcher: () => false, countLiveNodes: () => size,
			}));
			watchers.forEach(oneWatcher => {
				oneWatcher.start();
			});
			await clock.tickAsync(1000);
			const started = fleetSource.reads;
			await clock.tickAsync(40_000);
			watchers.forEach(oneWatcher => {
				oneWatcher.stop();
			});
			return [...previousRates, (fleetSource.reads - started) / 40];
		}, Promise.resolve([]));
		rates.forEach(readsPerSecond => {
			expect(readsPerSecond).to.be.below(1);
		});
	});
});

/** Keeps the log lines for checks. */
class RecordingLogger extends SilentLogger {
	lines: ReadonlyArray<{readonly event: string; readonly fields: LogFields}> = [];

	override log(event: LogEventName, fields: LogFields = {}): void {
		this.lines = [...this.lines, {event, fields}];
	}
}

describe('the log of a configuration watcher', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('says which call failed, from which version and after how long, and how old the last answer is', async () => {
		const logger = new RecordingLogger();
		const source = new CountingSource();
		const state = new ReleaseState();
		const watcher = new ConfigurationWatcher({source, state, logger});
		watcher.start();
		await clock.tickAsync(1000);
		source.isUnavailable = true;
		source.write(4);
		await clock.tickAsync(200);
		expect(state.store.getState().source).to.equal('watch');
		source.failWatches('away');
		await clock.tickAsync(1000);
		watcher.stop();
		const lost = logger.lines.find(({event}) => event === 'platformLost');
		expect(lost?.fields).to.deep.equal({
			call: 'watch', version: 4, ms: 0, detail: 'away',
		});
		expect(watcher.getAnswerAgeMs()).to.equal(1200);
	});
});
