/** Issues and renews terms. */
import {createRandomId, type NodeIdentity} from '@limpetbarrow/core';
import {type Organisation, type TermsOffer} from '@limpetbarrow/releases';
import {minHeldLifetimeShare} from './constants.js';
import {type Terms} from './terms-token.js';

/** What terms are issued from. */
export type TermsRequest = {
	readonly organisation: Organisation;
	readonly offer: TermsOffer;
	/** The run of the node that is to keep the caller's idempotency keys. */
	readonly home: NodeIdentity;
	/** The terms being renewed, if any. */
	readonly previous?: Terms;
	/** True while the fleet has no capacity to spare; renewed terms then do not grow. */
	readonly isShedding: boolean;
	/** Unix milliseconds. */
	readonly now: number;
};

/** Terms grow only when held for a while, so that renewing in a loop gains nothing. */
function computeRenewals({previous, isShedding, now}: TermsRequest): number {
	if (!previous) {
		return 0;
	}

	const {renewals, issuedAt, expiresAt} = previous;
	const isHeldLongEnough = now - issuedAt >= (expiresAt - issuedAt) * minHeldLifetimeShare;
	return renewals + (isHeldLongEnough && !isShedding ? 1 : 0);
}

/** Issues terms; each renewal multiplies rate and timeout by the offer's growth, up to its top. */
export function issueTerms(request: TermsRequest): Terms {
	const {organisation, offer, home, now, previous} = request;
	const renewals = computeRenewals(request);
	const factor = offer.growth ** renewals;
	const id = createRandomId();
	return {
		id,
		caller: previous?.caller ?? id,
		organisation: organisation.name,
		kind: offer.name,
		rate: Math.min(offer.topRate, offer.initialRate * factor),
		timeoutMs: Math.round(Math.min(offer.topTimeoutMs, offer.initialTimeoutMs * factor)),
		home,
		renewals,
		issuedAt: now,
		expiresAt: now + offer.lifetimeMs,
	};
}
