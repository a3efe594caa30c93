/** A logger that uses consola to write events as text or as JSON lines. */
import process from 'node:process';
import {createConsola, type ConsolaInstance, type ConsolaReporter} from 'consola';
import {logEvents, type LogEventName, type LogLevel} from './log-events.js';
import {Logger, type LogFields, type LogForm} from './logger.js';

const consolaLevels: Readonly<Record<LogLevel, number>> = {
	error: 0, warn: 1, info: 3, debug: 4,
};

/** Writes events to standard error through consola. */
export class ConsolaLogger extends Logger {
	readonly #consola: ConsolaInstance;
	readonly #form: LogForm;
	readonly #baseFields: LogFields;

	constructor(form: LogForm, level: LogLevel, base: LogFields = {}) {
		super();
		this.#form = form;
		this.#baseFields = base;
		this.#consola = createConsola({
			level: consolaLevels[level],
			stdout: process.stderr,
			stderr: process.stderr,
			...(form === 'json' && {reporters: [jsonReporter]}),
		});
	}

	override log(event: LogEventName, fields: LogFields = {}): void {
		const {number, level, meaning} = logEvents[event];
		const all = {...this.#baseFields, ...fields};
		const line = this.#form === 'json'
			? JSON.stringify({
				time: new Date().toISOString(), level, event: number, name: event, ...all,
			})
			: `[${number} ${event}] ${meaning} ${formatFields(all)}`;
		this.#consola[level](line);
	}
}

const jsonReporter: ConsolaReporter = {
	log(entry) {
		process.stderr.write(`${String(entry.args[0])}\n`);
	},
};

function formatFields(fields: LogFields): string {
	return Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([name, value]) => `${name}=${String(value)}`)
		.join(' ');
}
