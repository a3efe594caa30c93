/** Issues and renews terms. */
import {createRandomId, type NodeIdentity} from '@limpetbarrow/core';
import {type Organisation, type TermsOffer} from '@limpetbarrow/releases';
import {type Terms} from './terms-token.js';

/** What terms are issued from. */
export type TermsRequest = {
	readonly organisation: Organisation;
	readonly offer: TermsOffer;
	/** The run of the node that is to keep the caller's idempotency keys. */
	readonly home: NodeIdentity;
	/** The terms being renewed, if any. */
	readonly previous?: Terms;
	/** True while the service has no capacity to spare; renewed terms then do not grow. */
	readonly isShedding: boolean;
	/** Unix milliseconds. */
	readonly now: number;
};

function computeRenewals({previous, isShedding}: TermsRequest): number {
	const held = previous?.renewals ?? 0;
	return previous && !isShedding ? held + 1 : held;
}

/** Issues terms; each renewal multiplies rate and timeout by the offer's growth, up to its top. */
export function issueTerms(request: TermsRequest): Terms {
	const {organisation, offer, home, now} = request;
	const renewals = computeRenewals(request);
	const factor = offer.growth ** renewals;
	return {
		id: createRandomId(),
		organisation: organisation.name,
		kind: offer.name,
		rate: Math.min(offer.topRate, offer.initialRate * factor),
		timeoutMs: Math.round(Math.min(offer.topTimeoutMs, offer.initialTimeoutMs * factor)),
		home,
		renewals,
		expiresAt: now + offer.lifetimeMs,
	};
}
