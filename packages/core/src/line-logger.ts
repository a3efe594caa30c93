/** JSON log lines on a descriptor, bounded in number and never waited for. */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {logEvents, type LogEventName, type LogLevel} from './log-events.js';
import {Logger, type LogFields} from './logger.js';

/** Bounds of a line logger. */
export type LineBounds = {
	/** Lines a second on average, and at once. */
	readonly linesPerS: number;
	readonly burstLines: number;
	/** Bytes that wait to be written; more are left out. */
	readonly maxBytes: number;
	/** Time for which lines are gathered before they are written, in milliseconds. */
	readonly flushMs: number;
};

/** Twice the lines of a node at the peak of today's deployments, and a second's worth of a burst. */
export const defaultLineBounds: LineBounds = {
	linesPerS: 100, burstLines: 300, maxBytes: 262_144, flushMs: 200,
};

/** Hands bytes to where the lines go and calls back when they are written. */
export type WriteBytes = (bytes: Uint8Array, handleDone: () => void) => void;

const levelRanks: Readonly<Record<LogLevel, number>> = {
	error: 0, warn: 1, info: 2, debug: 3,
};
const msPerS = 1000;

/** Writes to a descriptor from a thread of the runtime's pool, so that a pipe that nobody reads holds up no request. */
export function createDescriptorWriter(descriptor: number): WriteBytes {
	const writeBytes: WriteBytes = (bytes, handleDone) => {
		write(descriptor, bytes, (error, written) => {
			if (error === null && written < bytes.length) {
				writeBytes(bytes.subarray(written), handleDone);
			} else {
				handleDone();
			}
		});
	};

	return writeBytes;
}

/** Writes each event as one line of JSON. */
export class LineLogger extends Logger {
	readonly #writeBytes: WriteBytes;
	readonly #base: LogFields;
	readonly #bounds: LineBounds;
	#level: LogLevel;
	#lines: string[] = [];
	#bytes = 0;
	#isWriting = false;
	#timer: NodeJS.Timeout | undefined;
	#tokens: number;
	#filledAt = performance.now();
	#dropped = 0;

	constructor(writeBytes: WriteBytes, level: LogLevel, base: LogFields = {}, bounds = defaultLineBounds) {
		super();
		this.#writeBytes = writeBytes;
		this.#level = level;
		this.#base = base;
		this.#bounds = bounds;
		this.#tokens = bounds.burstLines;
	}

	/** Changes the least severity that is written. */
	setLevel(level: LogLevel): void {
		this.#level = level;
	}

	override log(event: LogEventName, fields: LogFields = {}): void {
		const {level} = logEvents[event];
		if (levelRanks[level] > levelRanks[this.#level]) {
			return;
		}

		if (!this.#takeToken()) {
			this.#dropped++;
			return;
		}

		if (this.#dropped > 0) {
			this.#add('logLinesDropped', {count: this.#dropped});
			this.#dropped = 0;
		}

		this.#add(event, fields);
	}

	/** Writes what waits; resolves once it is written or after `boundMs`. */
	async drain(boundMs: number): Promise<void> {
		this.#writeLines();
		await new Promise<void>(resolve => {
			const startedAt = performance.now();
			const check = (): void => {
				if ((!this.#isWriting && this.#lines.length === 0) || performance.now() - startedAt > boundMs) {
					resolve();
				} else {
					setTimeout(check, 1);
				}
			};

			check();
		});
	}

	#add(event: LogEventName, fields: LogFields): void {
		const {number, level} = logEvents[event];
		const line = `${JSON.stringify({
			time: new Date().toISOString(), level, event: number, name: event, ...this.#base, ...fields,
		})}\n`;
		if (this.#bytes + line.length > this.#bounds.maxBytes) {
			this.#dropped++;
			return;
		}

		this.#lines.push(line);
		this.#bytes += line.length;
		this.#timer ??= setTimeout(() => {
			this.#writeLines();
		}, this.#bounds.flushMs);
		this.#timer.unref();
	}

	#takeToken(): boolean {
		const now = performance.now();
		const {linesPerS, burstLines} = this.#bounds;
		this.#tokens = Math.min(burstLines, this.#tokens + ((now - this.#filledAt) * linesPerS / msPerS));
		this.#filledAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}

	#writeLines(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#isWriting || this.#lines.length === 0) {
			return;
		}

		const bytes = Buffer.from(this.#lines.join(''));
		this.#lines = [];
		this.#isWriting = true;
		this.#writeBytes(bytes, () => {
			this.#isWriting = false;
			this.#bytes -= bytes.length;
			if (this.#lines.length > 0) {
				this.#writeLines();
			}
		});
	}
}
