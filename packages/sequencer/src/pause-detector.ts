/** Finds out that the process was paused, so that what it reads afterwards is of unknown age. */
import {pauseBoundMs, pauseGraceMs, pauseTickMs} from './constants.js';

function readClocks(): readonly [number, number] {
	return [performance.now(), Date.now()];
}

/** Ticks while the process runs; both clocks count, since a suspended host stops only the monotonic one. */
export class PauseDetector {
	#lastTick = readClocks();
	#staleUntil = Number.NEGATIVE_INFINITY;
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

	/** True while requests may be read that arrived before or during a pause. */
	isAfterPause(): boolean {
		if (this.#timer) {
			this.#checkTick();
		}

		return performance.now() < this.#staleUntil;
	}

	#checkTick(): void {
		const [monotonic, wall] = readClocks();
		const [lastMonotonic, lastWall] = this.#lastTick;
		this.#lastTick = [monotonic, wall];
		if (Math.max(monotonic - lastMonotonic, wall - lastWall) > pauseBoundMs) {
			this.#staleUntil = monotonic + pauseGraceMs;
		}
	}
}
