/** Identifies the organisation of a request by its key. */
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, selectHeaders, type Failure, type RawHeaders, type RequestHead,
} from '@limpetbarrow/core';
import {
	hashKey, type Configuration, type KeyedOrganisation, type Route,
} from '@limpetbarrow/releases';

/** Names of the headers that concern organisations, in lower case. */
export type OrganisationHeaderNames = {
	/** Carries the caller's key; it is never forwarded. */
	readonly key: string;
	/** Tells the backend server the organisation; a caller's own value is dropped. */
	readonly organisation: string;
};

/** Who sent a request, and with which rank. */
export type CallerIdentity = {
	/** Undefined for a request without a key: of a public route, or a call of the host's backend server. */
	readonly organisation: KeyedOrganisation | undefined;
	readonly priority: number;
	/** Headers of the request without those that concern organisations. */
	readonly headers: RawHeaders;
};

/** The parts of a request that its identity depends on. */
export type IdentifiedRequest = {
	readonly requestId?: string | undefined;
	readonly headers: RawHeaders;
};

/** Dependencies of an identifier. */
export type CallerIdentifierOptions = {
	readonly headerNames: OrganisationHeaderNames;
	/** Finds the running request that caused a call of the host's backend server. */
	readonly findParent: (requestId: string) => RequestHead | undefined;
	/** True for a call whose parent has ended a short time ago. */
	readonly isCallOfEnded: (requestId: string) => boolean;
	/** False while nothing proves that the configuration is fresh enough to judge keys by. */
	readonly isConfigurationProven: () => boolean;
};

/** Number of route priorities, which an organisation's priority goes before. */
const routePriorities = 1001;
const lowestPriority = routePriorities - 1;
/** Time after which a request that was refused for lack of proof may come again, in milliseconds. */
const staleRetryMs = 1000;
const bearerPattern = /^bearer[ \t]+(?<key>[^\s,]+)[ \t]*$/iv;

/** Combines the priorities of an organisation and of a route; a missing one ranks last. */
export function computeRank(organisationPriority = lowestPriority, routePriority = lowestPriority): number {
	return (organisationPriority * routePriorities) + Math.min(lowestPriority, routePriority);
}

/** Returns the organisation's part of a rank. */
function getOrganisationPriority({priority}: RequestHead): number | undefined {
	return priority === undefined ? undefined : Math.floor(priority / routePriorities);
}

function listValues(headers: RawHeaders, name: string): readonly string[] {
	return headers.filter((_, position) => position % 2 === 1 && headers[position - 1]!.toLowerCase() === name);
}

/** Parses the key of a request; fails if there is none, more than one header, or another scheme. */
function parseKey(values: readonly string[]): Either<Failure, string> {
	const key = values.length === 1 ? bearerPattern.exec(values[0]!)?.groups?.key : undefined;
	return key === undefined ? Left(createFailure('keyInvalid', values.length === 0 ? 'the key is missing' : 'exactly one bearer key is required')) : Right(key);
}

/** Finds organisations by the digests of their keys. */
class KeyIndex {
	readonly #byDigest: ReadonlyMap<string, KeyedOrganisation>;

	constructor(organisations: ReadonlyMap<string, KeyedOrganisation>) {
		this.#byDigest = new Map([...organisations.values()].flatMap(organisation => organisation.keyDigests.map(digest => [digest, organisation] as const)));
	}

	findOrganisation(key: string): KeyedOrganisation | undefined {
		return this.#byDigest.get(hashKey(key));
	}
}

/** Identifies callers where the configuration has organisations with keys; other configurations leave requests as they are. */
export class CallerIdentifier {
	readonly #options: CallerIdentifierOptions;
	#organisations: ReadonlyMap<string, KeyedOrganisation> | undefined;
	#index = new KeyIndex(new Map());

	constructor(options: CallerIdentifierOptions) {
		this.#options = options;
	}

	/**
	 * Returns who sent the request; undefined where the configuration knows no keys. Fails with `keyInvalid`, and with
	 * `configurationUnproven` while keys can't be judged.
	 */
	findIdentity(request: IdentifiedRequest, route: Route, {keyedOrganisations}: Configuration): Either<Failure, CallerIdentity | undefined> {
		if (keyedOrganisations === undefined) {
			return Right(undefined);
		}

		if (keyedOrganisations !== this.#organisations) {
			this.#organisations = keyedOrganisations;
			this.#index = new KeyIndex(keyedOrganisations);
		}

		const {headerNames} = this.#options;
		const values = listValues(request.headers, headerNames.key);
		const headers = selectHeaders(request.headers, name => name !== headerNames.key && name !== headerNames.organisation);
		return this.#findOrganisation(request, route, values).map(({organisation, organisationPriority}) => ({
			organisation, priority: computeRank(organisationPriority, route.priority), headers,
		}));
	}

	#findOrganisation({requestId}: IdentifiedRequest, route: Route, values: readonly string[]): Either<Failure, {readonly organisation: KeyedOrganisation | undefined; readonly organisationPriority: number | undefined}> {
		const parent = values.length === 0 && requestId !== undefined ? this.#options.findParent(requestId) : undefined;
		if (parent) {
			return Right({organisation: undefined, organisationPriority: getOrganisationPriority(parent)});
		}

		const known = parseKey(values).chain(key => {
			const organisation = this.#index.findOrganisation(key);
			return organisation ? Right(organisation) : Left(createFailure('keyInvalid', 'the key is unknown'));
		});
		if (route.isPublic === true) {
			// A key that can't be judged now, or none, leaves the request without an organisation.
			const organisation = this.#options.isConfigurationProven() ? known.toMaybe().extractNullable() ?? undefined : undefined;
			return Right({organisation, organisationPriority: organisation?.priority});
		}

		if (values.length === 0 && requestId !== undefined && this.#options.isCallOfEnded(requestId)) {
			return Left(createFailure('callOrphaned', 'the request that caused the call has ended'));
		}

		if (!this.#options.isConfigurationProven()) {
			return Left(createFailure('configurationUnproven', 'nothing proves that the configuration is fresh enough', staleRetryMs));
		}

		return known.map(organisation => ({organisation, organisationPriority: organisation.priority}));
	}
}
