/**
 * Keeps a node's configuration up to date from a source that holds it whole. Where only some nodes watch, the others read
 * once, hear of changes from nodes that watch, and read now and then at a rate that doesn't grow with the fleet.
 */
import {type Either} from 'purify-ts';
import {type Failure, type Logger} from '@limpetbarrow/core';
import {computeBackOffMs} from './back-off.js';
import {type ConfigurationSource, type SourceReadResult} from './configuration-source.js';
import {type ReleaseState} from './release-state.js';

/** What a watcher reads from and writes to. */
export type ConfigurationWatcherOptions = {
	readonly source: ConfigurationSource;
	readonly state: ReleaseState;
	readonly logger: Logger;
	readonly random?: () => number;
	/** True while this node is one of those that watch; all do without it. */
	readonly isSelectedWatcher?: () => boolean;
	/** Nodes of the fleet that are alive, by which occasional reads are spread. */
	readonly countLiveNodes?: () => number;
};

/** Pause after a change, in milliseconds: changes in quick succession come by one call, well within the time to take effect. */
const changePauseMs = 300;

/** Time between two looks whether this node is to watch, in milliseconds. */
const standbyCheckPeriodMs = 500;
/** Time between two reads by nodes that don't watch, over the whole fleet, in milliseconds. */
const fleetReadPeriodMs = 2000;
/** Time after a start in which a node hears of the others before it takes itself for one that watches, in milliseconds. */
const joinGracePeriodMs = 3000;

/** Reads, then watches from what it has read; reads anew after a failure. */
export class ConfigurationWatcher {
	readonly #options: ConfigurationWatcherOptions;
	#abortController = new AbortController();
	#timer: NodeJS.Timeout | undefined;
	#failureCount = 0;
	/** Version to watch from; undefined while the source must be read first. */
	#version: number | undefined;
	#isRunning = false;
	#watchAllowedAt = 0;
	#isWatching = false;
	#isInStandby = false;

	constructor(options: ConfigurationWatcherOptions) {
		this.#options = options;
	}

	start(): void {
		this.#isRunning = true;
		this.#watchAllowedAt = performance.now() + (this.#options.isSelectedWatcher ? joinGracePeriodMs : 0);
		this.#startTimer(0);
	}

	stop(): void {
		this.#isRunning = false;
		clearTimeout(this.#timer);
		this.#abortController.abort();
	}

	/** Reads at once, where this node doesn't watch: it has heard of a change and can't get it from another node. */
	readNow(): void {
		if (this.#isRunning && this.#isInStandby) {
			this.#version = undefined;
			clearTimeout(this.#timer);
			this.#startTimer(0);
		}
	}

	/** True while this node hears of changes by its own watch. */
	isWatching(): boolean {
		return this.#isWatching;
	}

	/** A node without a configuration watches in any case: it can't serve before it has one. */
	#isStandby(): boolean {
		const {isSelectedWatcher = () => true, state} = this.#options;
		return this.#version !== undefined && state.getNumber() > 0 && !(performance.now() >= this.#watchAllowedAt && isSelectedWatcher());
	}

	#updateWatching(isWatching: boolean): void {
		if (isWatching !== this.#isWatching) {
			this.#isWatching = isWatching;
			this.#options.logger.log(isWatching ? 'watchStarted' : 'watchStopped');
		}
	}

	#waitInStandby(): void {
		const {random = Math.random, countLiveNodes = () => 1} = this.#options;
		this.#isInStandby = true;
		this.#updateWatching(false);
		if (random() < standbyCheckPeriodMs / (fleetReadPeriodMs * Math.max(1, countLiveNodes()))) {
			this.#version = undefined;
		}

		this.#startTimer(standbyCheckPeriodMs);
	}

	#startTimer(delayMs: number): void {
		if (this.#isRunning) {
			this.#timer = setTimeout(() => {
				this.#abortController = new AbortController();
				void this.#runStep(this.#abortController.signal);
			}, delayMs);
		}
	}

	async #runStep(signal: AbortSignal): Promise<void> {
		const {source, random = Math.random} = this.#options;
		if (this.#isStandby()) {
			this.#waitInStandby();
			return;
		}

		this.#isInStandby = false;
		this.#updateWatching(this.#version !== undefined);
		const result = await (this.#version === undefined ? source.read() : source.watch(this.#version, signal)).run();
		if (signal.aborted) {
			return;
		}

		this.#recordResult(result);
		const hasChanged = result.map(({configuration}) => configuration !== undefined).orDefault(false);
		this.#startTimer(this.#failureCount === 0 ? (hasChanged ? changePauseMs : 0) : computeBackOffMs(this.#failureCount, random));
	}

	/** History that is gone is no outage: the source is read again at once. */
	#recordResult(result: Either<Failure, SourceReadResult>): void {
		const {logger, state} = this.#options;
		result.ifRight(({configuration, version}) => {
			if (this.#failureCount > 0) {
				logger.log('platformBack', {version});
			}

			this.#failureCount = 0;
			this.#version = version;
			if (configuration) {
				state.applyConfiguration(configuration);
			}
		}).ifLeft(({name, detail}) => {
			const isGone = name === 'platformHistoryGone';
			if (isGone) {
				logger.log('watchStopped', {detail});
			} else if (this.#failureCount === 0) {
				logger.log(name === 'releaseUnreadable' ? 'releaseUnreadable' : 'platformLost', {detail});
			}

			this.#failureCount += Number(!isGone);
			this.#version = undefined;
		});
	}
}
