/** Reads a result in one of two ways. */
import {type Either} from 'purify-ts';

/** Calls the function for the side that the result is on and returns what it returns. */
export function foldResult<Problem, Value, Output>(result: Either<Problem, Value>, handleProblem: (problem: Problem) => Output, handleValue: (value: Value) => Output): Output {
	// eslint-disable-next-line @typescript-eslint/naming-convention -- the names are purify-ts's
	return result.caseOf({Left: handleProblem, Right: handleValue});
}
