/** The error type of all packages: a numbered result code with a detail text. */
import {
	resultCodes, type RanState, type ResendAdvice, type ResultName,
} from './result-codes.js';

/** Describes why something was refused or failed. */
export type Failure = {
	readonly name: ResultName;
	readonly code: number;
	readonly status: number;
	readonly ran: RanState;
	readonly resend: ResendAdvice;
	/** Explains to a reader what exactly was wrong. */
	readonly detail: string;
	/** Delay before another attempt is worthwhile, in milliseconds. */
	readonly retryAfterMs?: number;
};

/** Exception that carries a failure: thrown for broken invariants, and where an API reports errors by exceptions. */
export class FailureError extends Error {
	readonly failure: Failure;

	constructor(failure: Failure) {
		super(`${failure.code} ${failure.name}: ${failure.detail}`);
		this.name = 'FailureError';
		this.failure = failure;
	}
}

/** Creates a failure from its entry in `resultCodes`. `retryAfterMs` is in milliseconds. */
export function createFailure(name: ResultName, detail: string, retryAfterMs?: number): Failure {
	const {code, status, ran, resend} = resultCodes[name];
	const failure = {
		name, code, status, ran, resend, detail,
	};
	return retryAfterMs === undefined ? failure : {...failure, retryAfterMs};
}

/** Formats a failure for a log line or a terminal. */
export function formatFailure(failure: Failure): string {
	return `${failure.code} ${failure.name}: ${failure.detail}`;
}

/** Throws a `FailureError` with `invariantBroken` unless `condition` holds. */
export function assertInvariant(condition: boolean, detail: string): asserts condition {
	if (!condition) {
		throw new FailureError(createFailure('invariantBroken', detail));
	}
}
