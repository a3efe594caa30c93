/** The quotas of organisations, as the ingress uses them. */
import {type Failure} from '@limpetbarrow/core';
import {type KeyedOrganisation} from '@limpetbarrow/releases';
import {type Either} from 'purify-ts';

/** Receives a permit, or the failure `limitExceeded`; called once, at once or later. */
export type HandlePermit = (result: Either<Failure, void>) => void;

/** Holds the requests of all nodes together to the quotas of their organisations. */
export abstract class OrganisationQuotas {
	/** Takes a permit for one request. The returned function gives up the request while it waits. */
	abstract takePermit(organisation: KeyedOrganisation, handlePermit: HandlePermit): () => void;
	/** Gives back the permit of a request that has not run. */
	abstract releasePermit(organisation: KeyedOrganisation): void;
}
