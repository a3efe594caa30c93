/** Prints the result of a command. */
import process from 'node:process';
import {type Either} from 'purify-ts';
import {foldResult, formatFailure, type Failure} from '@limpetbarrow/core';

/** Exit code after a reported failure. */
export const failureExitCode = 2;

/** Prints a failure to standard error and returns the exit code. */
export function reportFailure(failure: Failure): number {
	process.stderr.write(`${formatFailure(failure)}\n`);
	return failureExitCode;
}

/** Prints a result, as text or as JSON, and returns the exit code. */
export function reportResult<T>(result: Either<Failure, T>, isJson: boolean, format: (value: T) => string): number {
	return foldResult(result, reportFailure, value => {
		process.stdout.write(`${isJson ? JSON.stringify(value, null, 2) : format(value)}\n`);
		return 0;
	});
}
