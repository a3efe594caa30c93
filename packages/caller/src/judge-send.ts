/** Decides what to do after one send: pure, by the resend advice of the result codes. */
import {
	ranHeader, resultCodes, resultHeader, type RanState, type ResendAdvice,
} from '@limpetbarrow/core';
import {type SendResult} from './types.js';

/** What is known of the request besides the last send. */
export type SendState = {
	readonly isKeyed: boolean;
	readonly isRepeatable: boolean;
};

/** What one send came to. */
export type SendOutcome = {
	readonly code: number | undefined;
	readonly ran: RanState | 'ran';
	readonly resend: ResendAdvice;
	readonly retryAfterMs: number;
	readonly detail: string;
};

/** What to do next. `mint` sends again under renewed terms, a keyed request with a new key. */
export type NextStep = 'finish' | 'give-up' | 'resend' | 'resend-later' | 'mint';

const msPerS = 1000;
const defaultRetryMs = 1000;
const entries = Object.entries(resultCodes);
const codeOf = Object.fromEntries(entries.map(([name, {code}]) => [name, code])) as Readonly<Record<keyof typeof resultCodes, number>>;
/** Codes after which renewed terms, and a new key, let the request be sent. */
const renewCodes: ReadonlySet<number> = new Set([codeOf.termsExpired, codeOf.homeGone]);

/** Reads the outcome of a send. */
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

	const known = entries.find(([, entry]) => entry.code === code)?.[1];
	const isNotRun = headers[ranHeader] === 'not-run';
	return {
		code,
		ran: isNotRun ? 'not-run' : 'unknown',
		resend: known?.resend ?? (isNotRun ? 'anywhere' : 'same-key'),
		retryAfterMs: headers['retry-after'] === undefined ? defaultRetryMs : Number(headers['retry-after']) * msPerS,
		detail: text.slice(0, 500),
	};
}

function judgeNotRun({code, resend}: SendOutcome, {isKeyed}: SendState): NextStep {
	if (code !== undefined && renewCodes.has(code)) {
		return 'mint';
	}

	if (isKeyed && code === codeOf.nodeStopping) {
		return 'mint';
	}

	if (resend === 'later') {
		return 'resend-later';
	}

	return resend === 'anywhere' ? 'resend' : 'give-up';
}

/** Decides the next step. A request that may not be repeated is sent again only with its key or after a proven "not run". */
export function judgeSend(outcome: SendOutcome, state: SendState): NextStep {
	if (outcome.ran === 'ran') {
		return 'finish';
	}

	if (outcome.ran === 'not-run') {
		return judgeNotRun(outcome, state);
	}

	const isSafe = state.isKeyed || state.isRepeatable;
	return isSafe && outcome.resend !== 'never' ? 'resend' : 'give-up';
}
