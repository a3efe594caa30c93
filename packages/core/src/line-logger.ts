/** A logger that writes JSON lines to a file descriptor, limits their rate and never blocks its callers. */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {logEvents, type LogEventName, type LogLevel} from './log-events.js';
import {Logger, type LogFields} from './logger.js';

/** Limits of a line logger. */
export type LineLoggerBounds = {
	/** Average number of lines per second. */
	readonly linesPerS: number;
	/** Most lines in one burst. */
	readonly burstLines: number;
	/** Most bytes that wait to be written; lines beyond them are dropped. */
	readonly maxBytes: number;
	/** Time for which lines are collected before one write, in milliseconds. */
	readonly flushMs: number;
};

/** The rate is twice that of a node at the peak of present deployments; the burst is what one second of such a burst logs. */
export const defaultLineLoggerBounds: LineLoggerBounds = {
	linesPerS: 100, burstLines: 300, maxBytes: 262_144, flushMs: 200,
};

/** Writes bytes to the destination of the log and calls `handleDone` once they are written. */
export type WriteBytes = (bytes: Uint8Array, handleDone: () => void) => void;

const levelRanks: Readonly<Record<LogLevel, number>> = {
	error: 0, warn: 1, info: 2, debug: 3,
};
const msPerS = 1000;

/** Creates a writer that uses the runtime's thread pool, so that a pipe that nobody reads does not block requests. */
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

/** Writes each event as one line of JSON. Lines beyond the limits are dropped; `logLinesDropped` reports how many. */
export class LineLogger extends Logger {
	readonly #writeBytes: WriteBytes;
	readonly #baseFields: LogFields;
	readonly #bounds: LineLoggerBounds;
	#level: LogLevel;
	#pendingLines: string[] = [];
	#pendingBytes = 0;
	#isWriting = false;
	#timer: NodeJS.Timeout | undefined;
	#tokens: number;
	#refilledAt = performance.now();
	#droppedCount = 0;

	constructor(writeBytes: WriteBytes, level: LogLevel, base: LogFields = {}, bounds = defaultLineLoggerBounds) {
		super();
		this.#writeBytes = writeBytes;
		this.#level = level;
		this.#baseFields = base;
		this.#bounds = bounds;
		this.#tokens = bounds.burstLines;
	}

	/** Sets the lowest severity that is written. */
	setLevel(level: LogLevel): void {
		this.#level = level;
	}

	override log(event: LogEventName, fields: LogFields = {}): void {
		const {level} = logEvents[event];
		if (levelRanks[level] > levelRanks[this.#level]) {
			return;
		}

		if (!this.#takeToken()) {
			this.#droppedCount++;
			return;
		}

		if (this.#droppedCount > 0) {
			this.#addLine('logLinesDropped', {count: this.#droppedCount});
			this.#droppedCount = 0;
		}

		this.#addLine(event, fields);
	}

	/** Writes the pending lines; resolves once they are written or after `maxWaitMs` milliseconds. */
	async drain(maxWaitMs: number): Promise<void> {
		this.#writeLines();
		await new Promise<void>(resolve => {
			const startedAt = performance.now();
			const check = (): void => {
				if ((!this.#isWriting && this.#pendingLines.length === 0) || performance.now() - startedAt > maxWaitMs) {
					resolve();
				} else {
					setTimeout(check, 1);
				}
			};

			check();
		});
	}

	#addLine(event: LogEventName, fields: LogFields): void {
		const {number, level} = logEvents[event];
		const line = `${JSON.stringify({
			time: new Date().toISOString(), level, event: number, name: event, ...this.#baseFields, ...fields,
		})}\n`;
		if (this.#pendingBytes + line.length > this.#bounds.maxBytes) {
			this.#droppedCount++;
			return;
		}

		this.#pendingLines.push(line);
		this.#pendingBytes += line.length;
		this.#timer ??= setTimeout(() => {
			this.#writeLines();
		}, this.#bounds.flushMs);
		this.#timer.unref();
	}

	#takeToken(): boolean {
		const now = performance.now();
		const {linesPerS, burstLines} = this.#bounds;
		this.#tokens = Math.min(burstLines, this.#tokens + ((now - this.#refilledAt) * linesPerS / msPerS));
		this.#refilledAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}

	#writeLines(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#isWriting || this.#pendingLines.length === 0) {
			return;
		}

		const bytes = Buffer.from(this.#pendingLines.join(''));
		this.#pendingLines = [];
		this.#isWriting = true;
		this.#writeBytes(bytes, () => {
			this.#isWriting = false;
			this.#pendingBytes -= bytes.length;
			if (this.#pendingLines.length > 0) {
				this.#writeLines();
			}
		});
	}
}
