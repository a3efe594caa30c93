/** Reports when the process could not run its timers in time, which tells a process that is behind from one that waits. */
import {type Logger} from '@limpetbarrow/core';

/** Least lateness that is reported, in milliseconds. */
const minReportedMs = 100;

/** Follows the runs of one periodic timer. */
export class TimerDelay {
	readonly #periodMs: number;
	readonly #logger: Logger;
	#expectedAt: number;

	/** `periodMs` is the timer's period; it starts now. */
	constructor(periodMs: number, logger: Logger) {
		this.#periodMs = periodMs;
		this.#logger = logger;
		this.#expectedAt = performance.now() + periodMs;
	}

	/** Records a run of the timer, and logs it if it is late. */
	recordRun(): void {
		const now = performance.now();
		const lateMs = now - this.#expectedAt;
		this.#expectedAt = now + this.#periodMs;
		if (lateMs >= minReportedMs) {
			this.#logger.log('processDelayed', {ms: Math.round(lateMs)});
		}
	}
}
