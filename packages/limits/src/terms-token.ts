/** Terms a caller holds, as a signed token. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {createFailure, foldResult, type Failure} from '@limpetbarrow/core';

const termsSchema = z.strictObject({
	/** Id of these terms; idempotency keys start with it. */
	id: z.string().regex(/^[\w\-]{1,32}$/v),
	/** Stays the same over renewals; limits are keyed on it. */
	caller: z.string().regex(/^[\w\-]{1,32}$/v),
	organisation: z.string().min(1).max(63),
	/** Name of the kind of caller. */
	kind: z.string().min(1).max(63),
	/** Requests per second. */
	rate: z.number().positive(),
	/** Longest time the caller's requests may wait for an answer, in milliseconds. */
	timeoutMs: z.int().positive(),
	/** The run of the node that keeps the caller's idempotency keys. */
	home: z.strictObject({id: z.string().max(63), incarnation: z.int()}),
	/** Renewals so far. */
	renewals: z.int().min(0),
	/** Unix milliseconds. */
	issuedAt: z.int(),
	/** Unix milliseconds. */
	expiresAt: z.int(),
}).readonly();

/** Terms of one caller. */
export type Terms = z.output<typeof termsSchema>;

/** A key that signs terms. */
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

/** Signs terms: `key id.payload.signature`, each URL-safe. */
export function signTerms(terms: Terms, key: SigningKey): string {
	const text = `${key.id}.${encodeText(Buffer.from(JSON.stringify(terms)))}`;
	return `${text}.${encodeText(signText(key, text))}`;
}

function parsePayload(payload: string): Either<Failure, Terms> {
	try {
		const result = termsSchema.safeParse(JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')));
		return result.success ? Right(result.data) : Left(createFailure('termsInvalid', 'the payload is not terms'));
	} catch {
		return Left(createFailure('termsInvalid', 'the payload is not JSON'));
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
		? Left(createFailure('termsInvalid', 'the token is malformed'))
		: Right({keyId, payload, signature});
}

function isSignedBy(key: SigningKey, {keyId, payload, signature}: TokenParts): boolean {
	const given = Buffer.from(signature, 'base64url');
	const expected = signText(key, `${keyId}.${payload}`);
	return given.length === expected.length && timingSafeEqual(given, expected);
}

/** Id of the key a token names; undefined when the token is malformed. */
export function findKeyId(token: string): string | undefined {
	return foldResult(parseParts(token), () => undefined, ({keyId}) => keyId);
}

/** Checks a token's form and signature, not its expiry. */
export function readTerms(token: string, keys: readonly SigningKey[]): Either<Failure, Terms> {
	return parseParts(token).chain(parts => keys.some(key => key.id === parts.keyId && isSignedBy(key, parts))
		? parsePayload(parts.payload)
		: Left(createFailure('termsInvalid', 'the signature is wrong')));
}

/** Checks a token's form, signature and expiry. */
export function verifyTerms(token: string, keys: readonly SigningKey[], now: number): Either<Failure, Terms> {
	return readTerms(token, keys).chain(terms => terms.expiresAt > now
		? Right(terms)
		: Left(createFailure('termsExpired', `expired at ${new Date(terms.expiresAt).toISOString()}`)));
}

/** Reads the terms of a token without checking who signed it; for finding the home, which checks it. */
export function parseUnverifiedTerms(token: string): Either<Failure, Terms> {
	return parseParts(token).chain(({payload}) => parsePayload(payload));
}
