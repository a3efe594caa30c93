/** Command line of limpetbarrow. */
import process from 'node:process';
import {readFile} from 'node:fs/promises';
import yargs from 'yargs';
import {createFailure, FailureError} from '@limpetbarrow/core';
import {addNodeCommand, addStandInCommands} from './daemon-commands.js';
import {type Environment} from './environment.js';
import {addFleetCommands, addReleaseCommands} from './release-commands.js';
import {reportFailure} from './report-result.js';

async function readVersion(): Promise<string> {
	const text = await readFile(new URL('../package.json', import.meta.url), 'utf8');
	return (JSON.parse(text) as {readonly version: string}).version;
}

/** Runs the command in `args` and resolves to its exit code. */
export async function runCommandLine(args: readonly string[], environment: Environment = process.env): Promise<number> {
	let code = 0;
	const setExitCode = (exitCode: number): void => {
		code = exitCode;
	};

	const parser = yargs([...args])
		.scriptName('limpetbarrow')
		.epilogue('Each flag is also read from an environment variable: LIMPETBARROW_ and its name in capitals, with _ for -.')
		.version(await readVersion())
		.strict()
		.command('release', 'Check, apply and inspect releases', builder => addReleaseCommands(builder, environment, setExitCode))
		.demandCommand(1, 'name a command; --help lists them')
		.exitProcess(false)
		.fail((message, error: Error | undefined) => {
			// Throwing keeps yargs from running a command whose arguments are invalid.
			throw error ?? new FailureError(createFailure('settingsInvalid', message));
		});
	addNodeCommand(parser, environment, setExitCode);
	addFleetCommands(parser, environment, setExitCode);
	addStandInCommands(parser, setExitCode);
	try {
		await parser.parseAsync();
		return code;
	} catch (error) {
		return reportFailure(error instanceof FailureError ? error.failure : createFailure('internalError', String(error)));
	}
}
