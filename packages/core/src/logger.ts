/** Structured logs: numbered events with fields. */
import {type LogEventName} from './log-events.js';

/** Values of an event's fields. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Form of the log lines. */
export type LogForm = 'text' | 'json';

/** Writes log events. */
export abstract class Logger {
	abstract log(event: LogEventName, fields?: LogFields): void;
}

/** Drops every event; for tests and libraries. */
export class SilentLogger extends Logger {
	override log(_event: LogEventName, _fields?: LogFields): void {
		// Drops the event on purpose.
	}
}
