/**
 * Use reports: every node tells the home of a caller's terms how many of the caller's requests it has admitted, and the
 * home answers with the permits left.
 */
import {
	createRandomId, Exchange, findHeader, foldResult, reservedPathPrefix, termsHeader, type Carrier, type ExchangeHandler, type RequestHead,
} from '@limpetbarrow/core';
import {
	readTerms, type ReportUsage, type SigningKey, type Terms, type UsageAccounts,
} from '@limpetbarrow/limits';
import {type Either} from 'purify-ts';
import {refuseExchange} from '../routing/closed-exchange.js';

/** Terms with the signed token that proves them. */
export type TermsWithToken = Terms & {
	readonly token: string;
};

const usePath = `${reservedPathPrefix}use`;
const usedHeader = 'limpetbarrow-used';
const permitsHeader = 'limpetbarrow-permits';
const reportTimeoutMs = 1000;

/** The exchange of a use report at its home, which is answered without reading a body. */
class AnsweredExchange extends Exchange {
	override writeBody(_chunk: Uint8Array): void {
		// A report has no body.
	}

	override endBody(): void {
		// The report is already answered.
	}

	override grantCredit(_bytes: number): void {
		// The answer has no body.
	}

	override cancel(): void {
		// The report is already answered.
	}
}

function createReportHead({token, organisation}: TermsWithToken, used: number): RequestHead {
	return {
		requestId: createRandomId(),
		target: {kind: 'sequencer'},
		service: '',
		method: 'POST',
		path: usePath,
		headers: [termsHeader, token, usedHeader, String(used)],
		remainingMs: reportTimeoutMs,
		isRepeatable: false,
		organisation,
	};
}

/** Returns whether a request is a use report. Callers can't send one, since no route has a reserved path. */
export function isUseReport({path}: RequestHead): boolean {
	return path === usePath;
}

/**
 * Creates the function that sends use reports. A report that fails is dropped, and the node continues with its own bucket.
 */
export function createUseReporter(findHome: (terms: Terms) => Either<unknown, Carrier>): ReportUsage<TermsWithToken> {
	return (terms, used, handleLevel) => {
		findHome(terms).ifRight(home => {
			const exchange: Exchange = home.openExchange(createReportHead(terms, used), {
				handleHead({headers}) {
					const permits = Number(findHeader(headers, permitsHeader));
					if (Number.isFinite(permits)) {
						handleLevel(permits, performance.now());
					}
				},
				handleData: () => undefined,
				handleEnd: () => undefined,
				handleFailure: () => undefined,
				handleCredit: () => undefined,
			});
			exchange.endBody();
		});
	};
}

/** Records a use report in the accounts of the home, and answers it with the permits left. */
export function answerUseReport(head: RequestHead, handler: ExchangeHandler, accounts: UsageAccounts, keys: readonly SigningKey[]): Exchange {
	const used = Number(findHeader(head.headers, usedHeader));
	return foldResult(
		readTerms(findHeader(head.headers, termsHeader) ?? '', keys),
		failure => refuseExchange(handler, failure),
		terms => {
			const permits = accounts.recordUsage(terms, Number.isSafeInteger(used) && used > 0 ? used : 0, performance.now());
			queueMicrotask(() => {
				handler.handleHead({status: 200, headers: [permitsHeader, String(permits)]});
				handler.handleEnd();
			});
			return new AnsweredExchange();
		},
	);
}
