/**
 * Keeps a node's configuration up to date from a source that holds all of it. Where only selected nodes watch, the others
 * read the source once, learn of changes from the watching nodes, and read again at random times, at a rate that, summed
 * over the fleet, doesn't grow with its size.
 */
import {type Either} from 'purify-ts';
import {type Failure, type Logger, type Unregister} from '@limpetbarrow/core';
import {computeBackOffMs} from './back-off.js';
import {type ClockReading, type ConfigurationFreshness} from './configuration-freshness.js';
import {type ConfigurationSource, type SourceReadResult} from './configuration-source.js';
import {type ReleaseState} from './release-state.js';
import {WatchSchedule} from './watch-schedule.js';

/** What a node must do for the proofs of its failure domain. */
export type FreshnessDuty = {
	/** True while requests are served only under a configuration that is proven fresh. */
	readonly isNeeded: boolean;
	/** True for the one node of the failure domain that asks the source regularly. */
	readonly isProver: boolean;
};

/** Dependencies of a configuration watcher. */
export type ConfigurationWatcherOptions = {
	readonly source: ConfigurationSource;
	readonly state: ReleaseState;
	readonly logger: Logger;
	readonly random?: () => number;
	/** Tells whether this node is selected to watch; without it, every node watches. */
	readonly isSelectedWatcher?: () => boolean;
	/** Returns the number of nodes that watch, this one included; the fewer they are, the sooner each renews its watch. */
	readonly countWatchers?: () => number;
	/** Returns the number of live nodes; the rate of each node's occasional reads is divided by it. */
	readonly countLiveNodes?: () => number;
	/** Gets a proof from each successful call, for the time at which the call began. */
	readonly freshness?: ConfigurationFreshness;
	/** Tells whether this node asks the source for proofs; without it, and while none are needed, it makes no calls for them. */
	readonly getFreshnessDuty?: () => FreshnessDuty;
};

/** A call to the source. */
type SourceCall = {
	readonly name: 'read' | 'watch';
	/** Monotonic time, in milliseconds. */
	readonly startedAt: number;
	/** Both clocks as the call began. */
	readonly clocks: ClockReading | undefined;
	/** Time that a watch waits for a change, in milliseconds; 0 for a read. */
	readonly waitMs: number;
};

/** Pause after a change, in milliseconds, so that one call fetches several quick changes; short against the time in which they must take effect. */
const changePauseMs = 300;

/**
 * Longest pause of a selected watcher after failures, in milliseconds: others rely on it to notice that the source is back, in a part
 * of the time in which a change must be in force. The few selected nodes cost the source little.
 */
const maxWatcherDelayMs = 1000;

/** Period with which a node checks whether it is selected to watch, and whether its watch lasts too long, in milliseconds. */
const checkPeriodMs = 500;
/** Mean time between two reads by nodes that don't watch, over the whole fleet, in milliseconds. */
const fleetReadPeriodMs = 2000;
/** Time after the start in which a node learns of the others before it may consider itself selected, in milliseconds. */
const joinGracePeriodMs = 3000;

/** Least time between the first two reads that are asked for because this node is behind, in milliseconds; it doubles after each. */
const requestedReadPeriodMs = 1000;
const maxRequestedReadDoublings = 4;

/** Time between the starts of two calls of a prover, in milliseconds. */
export const proofPeriodMs = 800;
/** Age of the proof above which a watching node asks the source itself, in milliseconds. */
export const maxWatcherProofAgeMs = 2000;
/** Wait of a watch that is only to prove that there was no change, in milliseconds. */
const proofWaitMs = 1;
const noDuty: FreshnessDuty = {isNeeded: false, isProver: false};

/** Reads the source, then watches from the version it has read; reads again after a failure. */
export class ConfigurationWatcher {
	readonly #options: ConfigurationWatcherOptions;
	readonly #schedule: WatchSchedule;
	#abortController = new AbortController();
	#timer: NodeJS.Timeout | undefined;
	#failureCount = 0;
	/** Version to watch from; undefined while the source must be read first. */
	#version: number | undefined;
	#isRunning = false;
	/** Release of the newest configuration that the source has returned since it was last read; 0 if it holds none. */
	#sourceRelease = 0;
	#askedForProofAt = Number.NEGATIVE_INFINITY;
	#watchAllowedAt = 0;
	#isWatching = false;
	#isInStandby = false;
	#isReading = false;
	/** Reads that were asked for since the configuration last changed, the time of the last one, and the release in force then. */
	#requestedReads = 0;
	#requestedReadAt = Number.NEGATIVE_INFINITY;
	#requestedAtRelease = 0;
	#answeredAt = performance.now();
	#unregisterRestoreListener: Unregister | undefined;

	constructor(options: ConfigurationWatcherOptions) {
		const {countWatchers = () => 1, random = Math.random} = options;
		this.#options = options;
		this.#schedule = new WatchSchedule(countWatchers, random);
	}

	start(): void {
		this.#isRunning = true;
		this.#unregisterRestoreListener = this.#options.source.registerRestoreListener(() => {
			this.#handleRestore();
		});
		this.#watchAllowedAt = performance.now() + (this.#options.isSelectedWatcher ? joinGracePeriodMs : 0);
		this.#startTimer(0);
	}

	stop(): void {
		this.#isRunning = false;
		this.#unregisterRestoreListener?.();
		clearTimeout(this.#timer);
		this.#abortController.abort();
	}

	/**
	 * Reads at once, for a change that this node has heard of but can't get from another one. A watch in progress is given up, as
	 * it would have delivered the change, and so is a pause after a failure, as the source has answered others. A read in progress
	 * goes on. Does nothing within a second of such a read, and for longer while reads don't bring a newer release.
	 */
	readNow(): void {
		const now = performance.now();
		const release = this.#options.state.getNumber();
		const repeats = release === this.#requestedAtRelease ? this.#requestedReads : 0;
		const periodMs = repeats === 0 ? 0 : requestedReadPeriodMs * (2 ** Math.min(maxRequestedReadDoublings, repeats - 1));
		if (this.#isRunning && !this.#isReading && now - this.#requestedReadAt >= periodMs) {
			this.#requestedReadAt = now;
			this.#requestedReads = repeats + 1;
			this.#requestedAtRelease = release;
			this.#version = undefined;
			clearTimeout(this.#timer);
			this.#abortController.abort();
			this.#startTimer(0);
		}
	}

	/** True while this node watches the source itself. */
	isWatching(): boolean {
		return this.#isWatching;
	}

	/** True while the last call to the source has failed. */
	isFailing(): boolean {
		return this.#failureCount > 0;
	}

	/** Returns the time since the source last answered this node, in milliseconds; since the start if it never has. */
	getAnswerAgeMs(): number {
		return performance.now() - this.#answeredAt;
	}

	/**
	 * Reads again when the source was restored: a watch from a version of the lost history misses changes. A read that is in
	 * progress goes on, as its answer is not older. A node that doesn't watch reads at its next check.
	 */
	#handleRestore(): void {
		const isWatching = this.#version !== undefined && !this.#isInStandby;
		this.#version = undefined;
		if (isWatching) {
			clearTimeout(this.#timer);
			this.#abortController.abort();
			this.#startTimer(0);
		}
	}

	/** True when this node leaves watching to others. A node without a configuration always watches, since it can't serve before it has one. */
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
		if (random() < checkPeriodMs / (fleetReadPeriodMs * Math.max(1, countLiveNodes()))) {
			this.#version = undefined;
		}

		this.#startTimer(checkPeriodMs);
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
		const {random = Math.random, isSelectedWatcher = () => true} = this.#options;
		if (this.#isStandby()) {
			this.#waitInStandby();
			return;
		}

		this.#isInStandby = false;
		this.#updateWatching(this.#version !== undefined);
		const call = this.#startCall();
		const result = await this.#runCall(call, signal);
		if (signal.aborted) {
			return;
		}

		this.#recordResult(result, call);
		this.#logWatchEnd(result, call);
		const hasChanged = result.map(({configuration}) => configuration !== undefined).orDefault(false);
		if (hasChanged || call.name === 'read') {
			this.#schedule.markAligned();
		}

		// A watch without an answer tells of its connection, not of the platform, so the platform is read without delay.
		const isSilent = result.isLeft() && call.name === 'watch' && performance.now() - call.startedAt >= call.waitMs;
		const maxDelayMs = isSelectedWatcher() ? maxWatcherDelayMs : undefined;
		const failureDelayMs = isSilent ? 0 : computeBackOffMs(this.#failureCount, random, maxDelayMs);
		if (this.#failureCount > 0) {
			this.#options.logger.log('platformCallFailed', {call: call.name, failures: this.#failureCount, retryMs: failureDelayMs});
		}

		this.#startTimer(this.#failureCount === 0 ? this.#computePauseMs(hasChanged) : failureDelayMs);
	}

	/** Logs the end of a watch, but not of the frequent short ones that only prove that there was no change. */
	#logWatchEnd(result: Either<Failure, SourceReadResult>, {name, startedAt, waitMs}: SourceCall): void {
		if (name === 'watch' && waitMs > proofWaitMs) {
			const hasChanged = result.map(({configuration}) => configuration !== undefined).orDefault(false);
			this.#options.logger.log('watchEnded', {waitMs, ms: Math.round(performance.now() - startedAt), hasChanged});
		}
	}

	#startCall(): SourceCall {
		const {freshness} = this.#options;
		const times = {startedAt: performance.now(), clocks: freshness?.readClocks()};
		if (this.#version === undefined) {
			return {name: 'read', waitMs: 0, ...times};
		}

		if (this.#isProver()) {
			this.#askedForProofAt = times.startedAt;
			return {name: 'watch', waitMs: proofWaitMs, ...times};
		}

		return {name: 'watch', waitMs: this.#schedule.chooseWaitMs(), ...times};
	}

	/** Computes the pause after a successful call, in milliseconds. */
	#computePauseMs(hasChanged: boolean): number {
		const untilProofMs = this.#isProver() ? Math.max(0, Math.ceil(this.#askedForProofAt + proofPeriodMs - performance.now())) : 0;
		return Math.max(hasChanged ? changePauseMs : 0, untilProofMs);
	}

	#getDuty(): FreshnessDuty {
		return this.#options.getFreshnessDuty?.() ?? noDuty;
	}

	/** True while this node asks the source for proofs in place of watching it. */
	#isProver(): boolean {
		const {isNeeded, isProver} = this.#getDuty();
		return isNeeded && isProver;
	}

	/** Asks the source for a proof beside the watch in progress, once it is needed and the present one is too old. */
	#askIfStale(signal: AbortSignal): void {
		const {freshness} = this.#options;
		const now = performance.now();
		if (freshness && this.#getDuty().isNeeded && now - this.#askedForProofAt >= proofPeriodMs && !freshness.isProven(maxWatcherProofAgeMs)) {
			this.#askedForProofAt = now;
			void this.#askForProof(freshness, signal);
		}
	}

	/** Asks the source once. A failure says nothing here: that of the watch in progress is reported. */
	async #askForProof(freshness: ConfigurationFreshness, signal: AbortSignal): Promise<void> {
		const release = this.#sourceRelease;
		const clocks = freshness.readClocks();
		const result = await this.#options.source.watch(this.#version!, {waitMs: proofWaitMs, signal}).run();
		result.ifRight(({configuration}) => {
			if (configuration) {
				this.#options.state.applyConfiguration(configuration, 'watch');
			}

			freshness.recordProof(clocks, configuration?.release ?? release);
		});
	}

	async #runCall({startedAt, waitMs}: SourceCall, signal: AbortSignal): Promise<Either<Failure, SourceReadResult>> {
		const {source} = this.#options;
		if (this.#version === undefined) {
			this.#isReading = true;
			const read = await source.read().run();
			this.#isReading = false;
			return read;
		}

		const check = setInterval(() => {
			if (signal.aborted) {
				return;
			}

			if (this.#schedule.isOverdue(waitMs, performance.now() - startedAt) || (waitMs > proofWaitMs && this.#isProver())) {
				this.#abortController.abort();
				this.#startTimer(0);
			} else if (waitMs > proofWaitMs) {
				this.#askIfStale(signal);
			}
		}, checkPeriodMs);
		const result = await source.watch(this.#version, {waitMs, signal}).run();
		clearInterval(check);
		return result;
	}

	/** Records a result. `platformHistoryGone` is no outage: it adds no back-off, and the source is read again at once. */
	#recordResult(result: Either<Failure, SourceReadResult>, {name: call, startedAt, clocks}: SourceCall): void {
		const {logger, state, freshness} = this.#options;
		const fields = {call, version: this.#version ?? 0, ms: Math.round(performance.now() - startedAt)};
		result.ifRight(({configuration, version}) => {
			this.#answeredAt = performance.now();
			if (this.#failureCount > 0) {
				logger.log('platformBack', {version, failures: this.#failureCount});
			}

			this.#failureCount = 0;
			this.#version = version;
			if (configuration) {
				state.applyConfiguration(configuration, call);
			}

			this.#sourceRelease = configuration?.release ?? (call === 'read' ? 0 : this.#sourceRelease);
			if (freshness && clocks) {
				freshness.recordProof(clocks, this.#sourceRelease);
			}
		}).ifLeft(({name, detail}) => {
			const isGone = name === 'platformHistoryGone';
			if (isGone) {
				logger.log('watchStopped', {...fields, detail});
			} else if (this.#failureCount === 0) {
				logger.log(name === 'releaseUnreadable' ? 'releaseUnreadable' : 'platformLost', {...fields, detail});
			}

			this.#failureCount += Number(!isGone);
			this.#version = undefined;
		});
	}
}
