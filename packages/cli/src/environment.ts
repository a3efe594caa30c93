/**
 * Reads flags from environment variables.
 *
 * Each command reads only the variables of its own flags. The `env` option of yargs reads every variable with a prefix, and
 * would reject variables meant for another command as unknown flags.
 */
import {type Options} from 'yargs';

const variablePrefix = 'LIMPETBARROW_';

/** Environment variables, in the form of `process.env`. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Returns the name of the variable that sets a flag, such as `LIMPETBARROW_STOP_TIMEOUT_MS`. */
export function getVariableName(flag: string): string {
	return `${variablePrefix}${flag.replaceAll('-', '_').toUpperCase()}`;
}

function parseVariable(text: string, type: Options['type']): string | number | boolean {
	if (type === 'number') {
		return Number(text);
	}

	return type === 'boolean' ? text === 'true' || text === '1' : text;
}

/** Replaces the defaults of flags by the variables that are set. A flag on the command line still takes precedence. */
export function applyEnvironment<Flags extends Readonly<Record<string, Options>>>(flags: Flags, environment: Environment): Flags {
	return Object.fromEntries(Object.entries(flags).map(([flag, options]) => {
		const text = environment[getVariableName(flag)];
		return [flag, text === undefined ? options : {...options, default: parseVariable(text, options.type), demandOption: false}];
	})) as Flags;
}
