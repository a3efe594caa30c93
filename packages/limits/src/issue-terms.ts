/** Issues and renews the terms of callers. */
import {createRandomId, type NodeIdentity} from '@limpetbarrow/core';
import {type Organisation, type TermsOffer} from '@limpetbarrow/releases';
import {minHeldLifetimeShare} from './constants.js';
import {type Terms} from './terms-token.js';

/** Input for issuing terms. */
export type TermsRequest = {
	readonly organisation: Organisation;
	readonly offer: TermsOffer;
	/** The node, with its incarnation, that will keep the caller's idempotency keys. */
	readonly home: NodeIdentity;
	/** The terms to renew, if any. */
	readonly previous?: Terms;
	/** True while the fleet has no spare capacity; a renewal then raises no limits. */
	readonly isShedding: boolean;
	/** Time of issue, in Unix milliseconds. */
	readonly now: number;
};

/** Counts the renewals that raise limits. Only terms held long enough count, so that renewing in a loop gains nothing. */
function computeRenewals({previous, isShedding, now}: TermsRequest): number {
	if (!previous) {
		return 0;
	}

	const {renewals, issuedAt, expiresAt} = previous;
	const isHeldLongEnough = now - issuedAt >= (expiresAt - issuedAt) * minHeldLifetimeShare;
	return renewals + (isHeldLongEnough && !isShedding ? 1 : 0);
}

/** Issues terms. Each renewal multiplies rate and timeout by the growth of the offer, up to its top values. */
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
