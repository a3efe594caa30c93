/** The one error type: a numbered result code with detail. */
import {
	resultCodes, type RanState, type ResendAdvice, type ResultName,
} from './result-codes.js';

/** Why something was refused or failed. */
export type Failure = {
	readonly name: ResultName;
	readonly code: number;
	readonly status: number;
	readonly ran: RanState;
	readonly resend: ResendAdvice;
	/** What exactly was wrong, in words. */
	readonly detail: string;
	/** Delay after which sending again makes sense, in milliseconds. */
	readonly retryAfterMs?: number;
};

/** Thrown where the program finds itself in a state it must not be in, and at the edges that want exceptions. */
export class FailureError extends Error {
	readonly failure: Failure;

	constructor(failure: Failure) {
		super(`${failure.code} ${failure.name}: ${failure.detail}`);
		this.name = 'FailureError';
		this.failure = failure;
	}
}

/** Creates a failure from its row in the table. */
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

/** Throws when an invariant of the program does not hold. */
export function assertInvariant(condition: boolean, detail: string): asserts condition {
	if (!condition) {
		throw new FailureError(createFailure('invariantBroken', detail));
	}
}
