/** Encodes the terms of a caller as a signed token. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {createFailure, foldResult, type Failure} from '@limpetbarrow/core';

const termsSchema = z.strictObject({
	/** Id of these terms; the idempotency keys of the caller start with it. */
	id: z.string().regex(/^[\w\-]{1,32}$/v),
	/** Id of the caller, which stays the same over renewals; rate limits are keyed on it. */
	caller: z.string().regex(/^[\w\-]{1,32}$/v),
	organisation: z.string().min(1).max(63),
	/** Name of the kind of caller. */
	kind: z.string().min(1).max(63),
	/** Requests per second. */
	rate: z.number().positive(),
	/** Longest time that a request of the caller may take, in milliseconds. */
	timeoutMs: z.int().positive(),
	/** The node, with its incarnation, that keeps the caller's idempotency keys. */
	home: z.strictObject({id: z.string().max(63), incarnation: z.int()}),
	/** Number of renewals that count towards the growth of the limits. */
	renewals: z.int().min(0),
	/** Time of issue, in Unix milliseconds. */
	issuedAt: z.int(),
	/** Time of expiry, in Unix milliseconds. */
	expiresAt: z.int(),
}).readonly();

/** Terms of one caller. */
export type Terms = z.output<typeof termsSchema>;

/** A secret key that signs terms, with the id that tokens name it by. */
export type SigningKey = {
	readonly id: string;
	readonly secret: Uint8Array;
};

const maxTokenLength = 2048;

function signText(key: SigningKey, text: string): Uint8Array {
	return createHmac('sha256', key.secret).update(text).digest();
}

function encodeText(bytes: Uint8Array): string {
	return Buffer.from(bytes).toString('base64url');
}

/** Encodes and signs terms as `keyId.payload.signature`; payload and signature are in base64url. */
export function signTerms(terms: Terms, key: SigningKey): string {
	const text = `${key.id}.${encodeText(Buffer.from(JSON.stringify(terms)))}`;
	return `${text}.${encodeText(signText(key, text))}`;
}

function parsePayload(payload: string): Either<Failure, Terms> {
	try {
		const result = termsSchema.safeParse(JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')));
		return result.success ? Right(result.data) : Left(createFailure('termsInvalid', 'the payload does not match the schema of terms'));
	} catch {
		return Left(createFailure('termsInvalid', 'the payload is not valid JSON'));
	}
}

type TokenParts = {
	readonly keyId: string;
	readonly payload: string;
	readonly signature: string;
};

function parseParts(token: string): Either<Failure, TokenParts> {
	const [keyId, payload, signature, ...rest] = token.length > maxTokenLength ? [] : token.split('.');
	return !keyId || !payload || !signature || rest.length > 0
		? Left(createFailure('termsInvalid', 'the token is not of the form keyId.payload.signature, or too long'))
		: Right({keyId, payload, signature});
}

function isSignedBy(key: SigningKey, {keyId, payload, signature}: TokenParts): boolean {
	const given = Buffer.from(signature, 'base64url');
	const expected = signText(key, `${keyId}.${payload}`);
	return given.length === expected.length && timingSafeEqual(given, expected);
}

/** Finds the id of the key that signed a token, unverified; undefined when the token is malformed. */
export function findKeyId(token: string): string | undefined {
	return foldResult(parseParts(token), () => undefined, ({keyId}) => keyId);
}

/** Verifies the form and the signature of a token but not its expiry; fails with `termsInvalid`. */
export function readTerms(token: string, keys: readonly SigningKey[]): Either<Failure, Terms> {
	return parseParts(token).chain(parts => keys.some(key => key.id === parts.keyId && isSignedBy(key, parts))
		? parsePayload(parts.payload)
		: Left(createFailure('termsInvalid', 'the token is not signed with a known key')));
}

/** Verifies form, signature and expiry of a token; fails with `termsInvalid` or `termsExpired`. `now` is in Unix milliseconds. */
export function verifyTerms(token: string, keys: readonly SigningKey[], now: number): Either<Failure, Terms> {
	return readTerms(token, keys).chain(terms => terms.expiresAt > now
		? Right(terms)
		: Left(createFailure('termsExpired', `expired at ${new Date(terms.expiresAt).toISOString()}`)));
}

/** Parses the terms of a token without verifying its signature. It serves to find the home node, which verifies the token. */
export function parseUnverifiedTerms(token: string): Either<Failure, Terms> {
	return parseParts(token).chain(({payload}) => parsePayload(payload));
}
