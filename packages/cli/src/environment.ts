/**
 * Flags from environment variables.
 *
 * Each command reads only the variables of its own flags. The library's own reading of a whole prefix would take
 * variables meant for another command as unknown flags.
 */
import {type Options} from 'yargs';

const prefix = 'LIMPETBARROW_';

/** Environment variables, as `process.env` has them. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Name of the variable that sets a flag, such as `LIMPETBARROW_STOP_TIMEOUT_MS`. */
export function getVariableName(flag: string): string {
	return `${prefix}${flag.replaceAll('-', '_').toUpperCase()}`;
}

function parseVariable(text: string, type: Options['type']): string | number | boolean {
	if (type === 'number') {
		return Number(text);
	}

	return type === 'boolean' ? text === 'true' || text === '1' : text;
}

/** Flags whose defaults are replaced by the variables that are set. A flag on the command line still goes first. */
export function applyEnvironment<Flags extends Readonly<Record<string, Options>>>(flags: Flags, environment: Environment): Flags {
	return Object.fromEntries(Object.entries(flags).map(([flag, options]) => {
		const text = environment[getVariableName(flag)];
		return [flag, text === undefined ? options : {...options, default: parseVariable(text, options.type), demandOption: false}];
	})) as Flags;
}
