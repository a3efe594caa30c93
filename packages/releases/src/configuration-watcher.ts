/** Keeps a node's configuration up to date from a source that holds it whole. */
import {type Either} from 'purify-ts';
import {type Failure, type Logger} from '@limpetbarrow/core';
import {computeBackOff} from './back-off.js';
import {type ConfigurationSource, type SourceReading} from './configuration-source.js';
import {type ReleaseState} from './release-state.js';

/** What a watcher reads from and writes to. */
export type ConfigurationWatcherOptions = {
	readonly source: ConfigurationSource;
	readonly state: ReleaseState;
	readonly logger: Logger;
	readonly random?: () => number;
};

/** Pause after a change, in milliseconds: changes in quick succession come by one call, well within the time to take effect. */
const changePauseMs = 300;

/** Reads, then watches from what it has read; reads anew after a failure. */
export class ConfigurationWatcher {
	readonly #options: ConfigurationWatcherOptions;
	#abort = new AbortController();
	#timer: NodeJS.Timeout | undefined;
	#failures = 0;
	/** Version to watch from; undefined while the source must be read first. */
	#version: number | undefined;
	#isRunning = false;

	constructor(options: ConfigurationWatcherOptions) {
		this.#options = options;
	}

	start(): void {
		this.#isRunning = true;
		this.#startTimer(0);
	}

	stop(): void {
		this.#isRunning = false;
		clearTimeout(this.#timer);
		this.#abort.abort();
	}

	#startTimer(delayMs: number): void {
		if (this.#isRunning) {
			this.#timer = setTimeout(() => {
				this.#abort = new AbortController();
				void this.#runStep(this.#abort.signal);
			}, delayMs);
		}
	}

	async #runStep(signal: AbortSignal): Promise<void> {
		const {source, random = Math.random} = this.#options;
		const result = await (this.#version === undefined ? source.read() : source.watch(this.#version, signal)).run();
		if (signal.aborted) {
			return;
		}

		this.#recordResult(result);
		const hasChanged = result.map(({configuration}) => configuration !== undefined).orDefault(false);
		this.#startTimer(this.#failures === 0 ? (hasChanged ? changePauseMs : 0) : computeBackOff(this.#failures, random));
	}

	/** History that is gone is no outage: the source is read again at once. */
	#recordResult(result: Either<Failure, SourceReading>): void {
		const {logger, state} = this.#options;
		result.ifRight(({configuration, version}) => {
			if (this.#failures > 0) {
				logger.log('platformBack', {version});
			}

			this.#failures = 0;
			this.#version = version;
			if (configuration) {
				state.applyConfiguration(configuration);
			}
		}).ifLeft(({name, detail}) => {
			const isGone = name === 'platformHistoryGone';
			if (isGone) {
				logger.log('watchStopped', {detail});
			} else if (this.#failures === 0) {
				logger.log(name === 'releaseUnreadable' ? 'releaseUnreadable' : 'platformLost', {detail});
			}

			this.#failures += Number(!isGone);
			this.#version = undefined;
		});
	}
}
