/** Issues and renews the terms of callers over HTTP on the ingress. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	EitherAsync, Left, Right, type Either,
} from 'purify-ts';
import * as z from 'zod';
import {
	createFailure, FailureError, foldResult, reservedPathPrefix, type Failure, type Logger, type NodeIdentity,
} from '@limpetbarrow/core';
import {
	issueTerms, readTerms, signTerms, type SigningKey, type Terms,
} from '@limpetbarrow/limits';
import {type Organisation, type ReleaseState, type TermsOffer} from '@limpetbarrow/releases';
import {sendFailure, sendJson} from '../callers/http-responses.js';
import {type TermsKeys} from './terms-keys.js';

/** Dependencies of the terms service. */
export type TermsServiceOptions = {
	readonly releases: ReleaseState;
	readonly keys: TermsKeys;
	/** Chooses the node, with its incarnation, that new terms name as their home. */
	readonly chooseHome: () => NodeIdentity;
	readonly isShedding: () => boolean;
	/** Returns the time in Unix milliseconds. */
	readonly getNow: () => number;
	readonly logger: Logger;
};

/** Terms and the signed token that proves them. */
export type IssuedTerms = {
	readonly token: string;
	readonly terms: Terms;
};

type OrganisationOffer = {
	readonly organisation: Organisation;
	readonly offer: TermsOffer;
};

const termsPath = `${reservedPathPrefix}terms`;
const maxBodyBytes = 8192;

const bodySchema = z.union([
	z.strictObject({token: z.string()}),
	z.strictObject({organisation: z.string(), secret: z.string().default('')}),
]);

type TermsRequest = z.output<typeof bodySchema>;

function isCorrectSecret({secretHash}: Organisation, secret: string): boolean {
	const givenHash = createHash('sha256').update(secret).digest();
	return secretHash === undefined || timingSafeEqual(givenHash, Buffer.from(secretHash, 'hex'));
}

async function readBody(message: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of message) {
		size += (chunk as Uint8Array).length;
		if (size > maxBodyBytes) {
			throw new FailureError(createFailure('bodyTooLarge', `the terms service accepts bodies of at most ${maxBodyBytes} bytes`));
		}

		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
}

function parseBody(text: string): Either<Failure, TermsRequest> {
	try {
		const result = bodySchema.safeParse(JSON.parse(text));
		return result.success ? Right(result.data) : Left(createFailure('malformedRequest', 'send {"organisation", "secret"} or {"token"}'));
	} catch {
		return Left(createFailure('malformedRequest', 'the body is not JSON'));
	}
}

/** Serves `POST /.limpetbarrow/terms`. No rate limit applies to it. */
export class TermsService {
	readonly #options: TermsServiceOptions;

	constructor(options: TermsServiceOptions) {
		this.#options = options;
	}

	/** Answers a request for a reserved path. */
	async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const result = await EitherAsync<Failure, IssuedTerms>(async ({liftEither, throwE}) => {
			if (message.method !== 'POST' || message.url !== termsPath) {
				return throwE(createFailure('unknownRoute', `${message.method} ${message.url}`));
			}

			return liftEither(parseBody(await readBody(message)).chain(body => this.issue(body)));
		}).mapLeft(error => toFailure(error)).run();
		foldResult(
			result,
			failure => {
				sendFailure(message, response, failure);
			},
			issued => {
				sendJson(response, 200, issued);
			},
		);
	}

	/** Issues terms for an organisation that shows its secret, or renews the terms of a token. */
	issue(body: TermsRequest): Either<Failure, IssuedTerms> {
		const {keys, getNow} = this.#options;
		const key = keys.findSigningKey(getNow());
		if (!key) {
			return Left(createFailure('platformUnavailable', 'the signing keys have not been loaded yet'));
		}

		return 'token' in body ? this.#renewTerms(body.token, key) : this.#issueFirst(body.organisation, body.secret, key);
	}

	#issueFirst(name: string, secret: string, key: SigningKey): Either<Failure, IssuedTerms> {
		return this.#findOffer(name)
			.chain(organisationOffer => isCorrectSecret(organisationOffer.organisation, secret) ? Right(organisationOffer) : Left(createUnknownOrganisationFailure()))
			.map(organisationOffer => this.#createTerms(organisationOffer, undefined, key));
	}

	/** Renews terms. After their expiry they can still be renewed for as long again as they lasted. */
	#renewTerms(token: string, key: SigningKey): Either<Failure, IssuedTerms> {
		return readTerms(token, this.#options.keys.listKeys())
			.chain(terms => this.#options.getNow() < (2 * terms.expiresAt) - terms.issuedAt
				? Right(terms)
				: Left(createFailure('termsExpired', 'these terms can no longer be renewed; request new ones with the organisation\'s secret')))
			.chain(terms => this.#findOffer(terms.organisation).map(organisationOffer => this.#createTerms(organisationOffer, terms, key)));
	}

	#findOffer(name: string): Either<Failure, OrganisationOffer> {
		const {organisations, terms, release} = this.#options.releases.getConfiguration();
		if (release === 0) {
			return Left(createFailure('noRelease', 'this node has no release in force yet'));
		}

		const organisation = organisations.get(name);
		const offer = organisation && terms.get(organisation.terms);
		return organisation && offer ? Right({organisation, offer}) : Left(createUnknownOrganisationFailure());
	}

	#createTerms({organisation, offer}: OrganisationOffer, previous: Terms | undefined, key: SigningKey): IssuedTerms {
		const {chooseHome, isShedding, getNow, logger} = this.#options;
		const terms = issueTerms({
			organisation, offer, home: chooseHome(), isShedding: isShedding(), now: Math.floor(getNow()), ...(previous && {previous}),
		});
		logger.log('termsIssued', {organisation: terms.organisation, renewals: terms.renewals, home: terms.home.id});
		return {token: signTerms(terms, key), terms};
	}
}

function createUnknownOrganisationFailure(): Failure {
	return createFailure('unknownOrganisation', 'no organisation of this name with this secret is configured');
}

function toFailure(error: unknown): Failure {
	if (error instanceof FailureError) {
		return error.failure;
	}

	return error instanceof Error ? createFailure('malformedRequest', error.message) : error as Failure;
}
