/** Routes keyed requests to their home node. */
import {Left, Right, type Either} from 'purify-ts';
import {
	Carrier, createFailure, type Exchange, type ExchangeHandler, type Failure, type NodeIdentity, type RawHeaders, type RequestHead, type ResultName,
} from '@limpetbarrow/core';
import {type LinkPeer} from '@limpetbarrow/link';
import {type Terms} from '@limpetbarrow/limits';
import {type Member} from '@limpetbarrow/members';
import {type IngressRequest} from '../callers/ingress-request.js';
import {parseAttempt, replaceUnprovenFailure} from './keyed-request.js';

/** Dependencies of a home router. */
export type HomeRouterOptions = {
	readonly self: NodeIdentity;
	readonly sequencer: Carrier;
	readonly forwarder: Carrier;
	readonly findMember: (id: string) => Member | undefined;
	readonly getLink: (peer: LinkPeer) => Carrier;
};

const connectionLossFailures: ReadonlySet<ResultName> = new Set(['linkLost', 'malformedFrame', 'frameTooLarge']);

function isFirstAttempt(headers: RawHeaders): boolean {
	return parseAttempt(headers).orDefault(0) === 1;
}

/**
 * Converts a link failure to the failure reported for the key. The link knows nothing about the caller's earlier attempts,
 * so "not run" is reported only for the first one.
 */
function replaceLinkFailure(headers: RawHeaders, failure: Failure): Failure {
	const detail = `${failure.code} ${failure.name}: ${failure.detail}`;
	if (failure.name === 'linkUnreachable') {
		return createFailure(isFirstAttempt(headers) ? 'homeGone' : 'homeUnreachable', detail);
	}

	if (failure.name === 'deadlinePassed') {
		return replaceUnprovenFailure(headers, failure);
	}

	return connectionLossFailures.has(failure.name) ? createFailure('homeUnreachable', detail) : failure;
}

/** Carries requests over the link to a home node. */
class HomeLinkCarrier extends Carrier {
	readonly #link: Carrier;

	constructor(link: Carrier) {
		super();
		this.#link = link;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		return this.#link.openExchange(head, {
			...handler,
			handleFailure(failure) {
				handler.handleFailure(replaceLinkFailure(head.headers, failure));
			},
		});
	}
}

/** Routes keyed requests to the node incarnation named in their terms and to no other, and other requests to the forwarder. */
export class HomeRouter {
	readonly #options: HomeRouterOptions;

	constructor(options: HomeRouterOptions) {
		this.#options = options;
	}

	selectCarrier(request: IngressRequest, terms: Terms | undefined): Either<Failure, Carrier> {
		if (request.idempotencyKey === undefined || !terms) {
			return Right(this.#options.forwarder);
		}

		return this.findHome(terms.home).mapLeft(failure => isFirstAttempt(request.headers)
			? createFailure('homeGone', failure.detail)
			: failure);
	}

	/** Finds the carrier to the sequencer of a home node. */
	findHome(home: NodeIdentity): Either<Failure, Carrier> {
		const {self, sequencer, findMember, getLink} = this.#options;
		if (home.id === self.id && home.incarnation === self.incarnation) {
			return Right(sequencer);
		}

		const member = findMember(home.id);
		if (home.id === self.id || (member && member.record.incarnation > home.incarnation)) {
			return Left(createFailure('keyOutcomeUnknown', `node ${home.id} was restarted since the terms were issued`));
		}

		return member?.record.incarnation === home.incarnation && member.status !== 'dead'
			? Right(new HomeLinkCarrier(getLink({identity: home, address: member.record.linkAddress})))
			: Left(createFailure('homeUnreachable', `node ${home.id} is unknown, dead or not yet known in this incarnation`));
	}
}
