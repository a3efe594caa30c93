/** Issues and renews the terms of callers, over HTTP on the ingress. */
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
import {sendFailure, sendJson} from './http-responses.js';
import {type TermsKeys} from './terms-keys.js';

/** What terms are issued from. */
export type TermsServiceOptions = {
	readonly releases: ReleaseState;
	readonly keys: TermsKeys;
	/** The run of a node that new terms name as home. */
	readonly chooseHome: () => NodeIdentity;
	readonly isShedding: () => boolean;
	readonly getNow: () => number;
	readonly logger: Logger;
};

/** Terms and the token that proves them. */
export type IssuedTerms = {
	readonly token: string;
	readonly terms: Terms;
};

type Offered = {
	readonly organisation: Organisation;
	readonly offer: TermsOffer;
};

const termsPath = `${reservedPathPrefix}terms`;
const maxBodyBytes = 8192;

const bodySchema = z.union([
	z.strictObject({token: z.string()}),
	z.strictObject({organisation: z.string(), secret: z.string().default('')}),
]);

type TermsBody = z.output<typeof bodySchema>;

function isSecret({secretHash}: Organisation, secret: string): boolean {
	const given = createHash('sha256').update(secret).digest();
	return secretHash === undefined || timingSafeEqual(given, Buffer.from(secretHash, 'hex'));
}

async function readBody(message: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of message) {
		size += (chunk as Uint8Array).length;
		if (size > maxBodyBytes) {
			throw new FailureError(createFailure('bodyTooLarge', `the terms service takes ${maxBodyBytes} bytes`));
		}

		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
}

function parseBody(text: string): Either<Failure, TermsBody> {
	try {
		const result = bodySchema.safeParse(JSON.parse(text));
		return result.success ? Right(result.data) : Left(createFailure('malformedRequest', 'send {"organisation", "secret"} or {"token"}'));
	} catch {
		return Left(createFailure('malformedRequest', 'the body is not JSON'));
	}
}

/** Serves `POST /.limpetbarrow/terms`. No limit applies to it. */
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

	/** Issues terms for an organisation and its secret, or renews terms held. */
	issue(body: TermsBody): Either<Failure, IssuedTerms> {
		const {keys, getNow} = this.#options;
		const key = keys.findSigningKey(getNow());
		if (!key) {
			return Left(createFailure('platformUnavailable', 'no signing keys are known yet'));
		}

		return 'token' in body ? this.#renew(body.token, key) : this.#issueFirst(body.organisation, body.secret, key);
	}

	#issueFirst(name: string, secret: string, key: SigningKey): Either<Failure, IssuedTerms> {
		return this.#findOffer(name)
			.chain(offered => isSecret(offered.organisation, secret) ? Right(offered) : Left(createUnknownFailure()))
			.map(offered => this.#create(offered, undefined, key));
	}

	/** Ended terms may still be renewed for as long again as they lasted. */
	#renew(token: string, key: SigningKey): Either<Failure, IssuedTerms> {
		return readTerms(token, this.#options.keys.listKeys())
			.chain(terms => this.#options.getNow() < (2 * terms.expiresAt) - terms.issuedAt
				? Right(terms)
				: Left(createFailure('termsExpired', 'show the organisation\'s secret')))
			.chain(terms => this.#findOffer(terms.organisation).map(offered => this.#create(offered, terms, key)));
	}

	#findOffer(name: string): Either<Failure, Offered> {
		const {organisations, terms, release} = this.#options.releases.getConfiguration();
		if (release === 0) {
			return Left(createFailure('noRelease', 'no release is known yet'));
		}

		const organisation = organisations.get(name);
		const offer = organisation && terms.get(organisation.terms);
		return organisation && offer ? Right({organisation, offer}) : Left(createUnknownFailure());
	}

	#create({organisation, offer}: Offered, previous: Terms | undefined, key: SigningKey): IssuedTerms {
		const {chooseHome, isShedding, getNow, logger} = this.#options;
		const terms = issueTerms({
			organisation, offer, home: chooseHome(), isShedding: isShedding(), now: Math.floor(getNow()), ...(previous && {previous}),
		});
		logger.log('termsIssued', {organisation: terms.organisation, renewals: terms.renewals, home: terms.home.id});
		return {token: signTerms(terms, key), terms};
	}
}

function createUnknownFailure(): Failure {
	return createFailure('unknownOrganisation', 'no organisation of this name with this secret is configured');
}

function toFailure(error: unknown): Failure {
	if (error instanceof FailureError) {
		return error.failure;
	}

	return error instanceof Error ? createFailure('malformedRequest', error.message) : error as Failure;
}
