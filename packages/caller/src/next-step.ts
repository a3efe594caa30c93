/** Decides what to do after one send, from the resend advice of its result code. The functions have no side effects. */
import {
	ranHeader, resultCodes, resultHeader, type RanState, type ResendAdvice,
} from '@limpetbarrow/core';
import {type SendResult} from './types.js';

/** Properties of the request that decide whether it may be resent. */
export type RequestProperties = {
	/** True when the request has an idempotency key. */
	readonly isKeyed: boolean;
	/** True when running the request twice does no harm. */
	readonly isRepeatable: boolean;
};

/** Outcome of one send. */
export type SendOutcome = {
	/** Result code; undefined for an answer of a backend server and when no answer arrived. */
	readonly code: number | undefined;
	/** `ran` for an answer of a backend server. */
	readonly ran: RanState | 'ran';
	readonly resend: ResendAdvice;
	readonly retryAfterMs: number;
	readonly detail: string;
};

/** What to do next. `mint` renews the terms and resends; a keyed request gets a new key. */
export type NextStep = 'finish' | 'give-up' | 'resend' | 'resend-later' | 'mint';

const msPerS = 1000;
const defaultRetryAfterMs = 1000;
const resultCodeEntries = Object.entries(resultCodes);
const codesByName = Object.fromEntries(resultCodeEntries.map(([name, {code}]) => [name, code])) as Readonly<Record<keyof typeof resultCodes, number>>;
/** Result codes after which the request can be resent under renewed terms and, if keyed, with a new key. */
const termsRenewalCodes: ReadonlySet<number> = new Set([codesByName.termsExpired, codesByName.homeGone]);

/** Derives the outcome of a send from the result and its headers. */
export function readOutcome(result: SendResult): SendOutcome {
	if (result.kind !== 'answer') {
		const isNotSent = result.kind === 'not-sent';
		return {
			code: undefined, ran: isNotSent ? 'not-run' : 'unknown', resend: isNotSent ? 'anywhere' : 'same-key', retryAfterMs: 0, detail: result.detail,
		};
	}

	const {headers, text} = result;
	const code = headers[resultHeader] === undefined ? undefined : Number(headers[resultHeader]);
	if (code === undefined) {
		return {
			code, ran: 'ran', resend: 'never', retryAfterMs: 0, detail: '',
		};
	}

	const known = resultCodeEntries.find(([, entry]) => entry.code === code)?.[1];
	const isNotRun = headers[ranHeader] === 'not-run';
	return {
		code,
		ran: isNotRun ? 'not-run' : 'unknown',
		resend: known?.resend ?? (isNotRun ? 'anywhere' : 'same-key'),
		retryAfterMs: headers['retry-after'] === undefined ? defaultRetryAfterMs : Number(headers['retry-after']) * msPerS,
		detail: text.slice(0, 500),
	};
}

function chooseStepAfterNotRun({code, resend}: SendOutcome, {isKeyed}: RequestProperties): NextStep {
	if (code !== undefined && termsRenewalCodes.has(code)) {
		return 'mint';
	}

	if (isKeyed && code === codesByName.nodeStopping) {
		return 'mint';
	}

	if (resend === 'later') {
		return 'resend-later';
	}

	return resend === 'anywhere' ? 'resend' : 'give-up';
}

/**
 * Chooses the next step. A request that is not repeatable is resent only with its idempotency key or when it is proven not to
 * have run.
 */
export function chooseNextStep(outcome: SendOutcome, state: RequestProperties): NextStep {
	if (outcome.ran === 'ran') {
		return 'finish';
	}

	if (outcome.ran === 'not-run') {
		return chooseStepAfterNotRun(outcome, state);
	}

	const isSafeToResend = state.isKeyed || state.isRepeatable;
	return isSafeToResend && outcome.resend !== 'never' ? 'resend' : 'give-up';
}
