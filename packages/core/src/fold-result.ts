/** Handles both sides of an `Either`. */
import {type Either} from 'purify-ts';

/** Calls `handleProblem` with a left value or `handleValue` with a right one and returns what the called function returns. */
export function foldResult<Problem, Value, Output>(result: Either<Problem, Value>, handleProblem: (problem: Problem) => Output, handleValue: (value: Value) => Output): Output {
	// eslint-disable-next-line @typescript-eslint/naming-convention -- purify-ts defines these names
	return result.caseOf({Left: handleProblem, Right: handleValue});
}
