/** Watches the release log in the platform. */
import {EitherAsync, Right, type Either} from 'purify-ts';
import {type Failure, type Logger} from '@limpetbarrow/core';
import {type ObjectStore, type WatchOptions} from '@limpetbarrow/object-store';
import {computeBackOffMs} from './back-off.js';
import {releasePrefix} from './release-keys.js';
import {type ReleaseLog} from './release-log.js';
import {type ReleaseReader} from './release-reader.js';
import {type ReleaseState} from './release-state.js';
import {type Release} from './types.js';
import {WatchSchedule} from './watch-schedule.js';

/** Prefix of no object's key; listing it returns only the store's version. */
const unusedPrefix = `${releasePrefix}none`;

/** Dependencies of a store watcher. */
export type StoreWatcherOptions = {
	readonly store: ObjectStore;
	readonly log: ReleaseLog;
	readonly reader: ReleaseReader;
	readonly state: ReleaseState;
	readonly logger: Logger;
	readonly random: () => number;
	/** Returns the number of nodes that watch, this one included. */
	readonly countWatchers: () => number;
};

/**
 * Watches from the store's version at which the last watch ended. Reads the log again when it starts, after each failure,
 * and when a release arrives whose predecessor is missing.
 */
export class StoreWatcher {
	readonly #options: StoreWatcherOptions;
	readonly #schedule: WatchSchedule;
	#isRunning = false;
	/** Aborts the step in progress. Each step has its own controller, so that listeners do not accumulate on one signal. */
	#abortController = new AbortController();
	#timer: NodeJS.Timeout | undefined;
	#failureCount = 0;
	/** Version to watch from; undefined while the log must be read first. */
	#version: number | undefined;

	constructor(options: StoreWatcherOptions) {
		this.#options = options;
		this.#schedule = new WatchSchedule(options.countWatchers, options.random);
	}

	isRunning(): boolean {
		return this.#isRunning;
	}

	start(): void {
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		this.#version = undefined;
		this.#startTimer(0);
	}

	stop(): void {
		this.#isRunning = false;
		clearTimeout(this.#timer);
		this.#abortController.abort();
	}

	#startTimer(delayMs: number): void {
		this.#timer = setTimeout(() => {
			this.#abortController = new AbortController();
			void this.#runStep(this.#abortController.signal);
		}, delayMs);
	}

	async #runStep(signal: AbortSignal): Promise<void> {
		const startedAt = performance.now();
		const waitMs = this.#version === undefined ? undefined : this.#schedule.chooseWaitMs();
		const releaseBefore = this.#options.state.getNumber();
		const result = await (this.#version === undefined ? this.#resume() : this.#watch(this.#version, {waitMs, signal})).run();
		if (signal.aborted) {
			return;
		}

		this.#recordResult(result);
		if (waitMs === undefined || this.#options.state.getNumber() > releaseBefore) {
			this.#schedule.markAligned();
		}

		// A watch without an answer tells of its connection, not of the platform, so the platform is read without delay.
		const isSilent = result.isLeft() && waitMs !== undefined && performance.now() - startedAt >= waitMs;
		this.#startTimer(this.#failureCount === 0 || isSilent ? 0 : computeBackOffMs(this.#failureCount, this.#options.random));
	}

	/** Gets the store's version before it reads the log, so that no change between the two is missed. */
	#resume(): EitherAsync<Failure, number> {
		const {store, reader} = this.#options;
		return store.list(unusedPrefix).chain(({version}) => reader.readConfiguration().map(() => version));
	}

	#watch(fromVersion: number, options: WatchOptions): EitherAsync<Failure, number> {
		const {store, log, reader, state} = this.#options;
		return store.watch(releasePrefix, fromVersion, options).chain(({events, version}) => {
			const texts = events.map(({value}) => value).filter(value => value !== undefined);
			return EitherAsync.sequence(texts.map(text => log.parse(text))).chain(releases => {
				state.apply(releases);
				return hasGap(releases, state.getNumber())
					? reader.readConfiguration().map(() => version)
					: EitherAsync.liftEither(Right(version));
			});
		});
	}

	#recordResult(result: Either<Failure, number>): void {
		const {logger} = this.#options;
		if (this.#failureCount === 0) {
			result.ifLeft(({name, detail}) => {
				logger.log(name === 'releaseUnreadable' ? 'releaseUnreadable' : 'platformLost', {detail});
			});
		}

		if (result.isRight() && this.#failureCount > 0) {
			logger.log('platformBack');
		}

		this.#failureCount = result.isLeft() ? this.#failureCount + 1 : 0;
		this.#version = result.map<number | undefined>(version => version).orDefault(undefined);
	}
}

function hasGap(releases: readonly Release[], currentNumber: number): boolean {
	return releases.some(({number}) => number > currentNumber);
}
