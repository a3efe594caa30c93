/** Structured logging: numbered events with fields. */
import {type LogEventName} from './log-events.js';

/** Names and values of an event's fields. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Output format of the log lines. */
export type LogForm = 'text' | 'json';

/** Writes log events. */
export abstract class Logger {
	abstract log(event: LogEventName, fields?: LogFields): void;
}

/** Discards every event; for tests and for use as a library. */
export class SilentLogger extends Logger {
	override log(_event: LogEventName, _fields?: LogFields): void {
		// Discards the event on purpose.
	}
}
