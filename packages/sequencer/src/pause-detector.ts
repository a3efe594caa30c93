/** Detects that the process was paused; requests read after a pause are of unknown age. */
import {pauseThresholdMs, pauseGraceMs, pauseTickMs} from './constants.js';

function readClocks(): readonly [number, number] {
	return [performance.now(), Date.now()];
}

/**
 * Detects pauses as gaps between timer ticks. It compares both clocks, because only the monotonic clock stops while the
 * host is suspended.
 */
export class PauseDetector {
	#lastTick = readClocks();
	#graceEndsAt = Number.NEGATIVE_INFINITY;
	#timer: NodeJS.Timeout | undefined;

	start(): void {
		this.#lastTick = readClocks();
		this.#timer = setInterval(() => {
			this.#checkTick();
		}, pauseTickMs);
		this.#timer.unref();
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#timer = undefined;
	}

	/** Returns true for `pauseGraceMs` after a pause: requests read then may have arrived before or during the pause. */
	isAfterPause(): boolean {
		if (this.#timer) {
			this.#checkTick();
		}

		return performance.now() < this.#graceEndsAt;
	}

	#checkTick(): void {
		const [monotonic, wall] = readClocks();
		const [lastMonotonic, lastWall] = this.#lastTick;
		this.#lastTick = [monotonic, wall];
		if (Math.max(monotonic - lastMonotonic, wall - lastWall) > pauseThresholdMs) {
			this.#graceEndsAt = monotonic + pauseGraceMs;
		}
	}
}
