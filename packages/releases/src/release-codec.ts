/** Encoding of releases and configurations for the object API and between nodes. */
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {maxValueBytes} from '@limpetbarrow/object-store';
import {hashText} from './text-parts.js';
import {
	callerLimitsSchema, keyedOrganisationSchema, organisationSchema, releaseNoteSchema, routeSchema, serviceSchema, termsSchema,
} from './release-note.js';
import {type Configuration, type Release, type ReleaseNote} from './types.js';

const releaseNumberSchema = z.int().min(1).max(999_999_999);

const releaseSchema = z.strictObject({
	number: releaseNumberSchema,
	acceptedAt: z.int(),
	note: releaseNoteSchema,
}).readonly();

const multipartReleaseSchema = z.strictObject({
	number: releaseNumberSchema,
	acceptedAt: z.int(),
	noteId: z.string(),
	/** SHA-256 hash of the note's text. */
	digest: z.string(),
	partCount: z.int().min(1).max(10_000),
}).readonly();

const configurationSchema = z.strictObject({
	release: releaseNumberSchema,
	services: z.array(serviceSchema),
	routes: z.array(routeSchema),
	terms: z.array(termsSchema),
	organisations: z.array(organisationSchema),
	callerLimits: callerLimitsSchema.optional(),
	keyedOrganisations: z.array(keyedOrganisationSchema).optional(),
});

/** A stored release whose note is too large for one value and is stored in parts. */
export type MultipartRelease = z.output<typeof multipartReleaseSchema>;

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function parseWithSchema<T>(schema: z.ZodType<T>, input: unknown, subject: string): Either<Failure, T> {
	const result = schema.safeParse(input);
	return result.success
		? Right(result.data)
		: Left(createFailure('releaseUnreadable', `${subject}: ${result.error.issues.slice(0, 3).map(({path, message}) => `${path.join('.')} ${message}`).join('; ').slice(0, 300)}`));
}

/** Validates a release that another node sent. */
export function parseRelease(input: unknown): Either<Failure, Release> {
	return parseWithSchema(releaseSchema, input, 'release');
}

/** Parses the stored text of a release, with its note or with a reference to the parts of the note. */
export function parseStoredRelease(text: string): Either<Failure, Release | MultipartRelease> {
	return parseWithSchema(z.union([releaseSchema, multipartReleaseSchema]), parseJson(text), 'stored release');
}

/** True when the note of a stored release is stored in parts. */
export function isMultipart(stored: Release | MultipartRelease): stored is MultipartRelease {
	return 'digest' in stored;
}

/** Assembles a multipart release from the joined text of its note; fails when the text does not have the stored digest. */
export function parseMultipartNote({number, acceptedAt, noteId, digest}: MultipartRelease, text: string): Either<Failure, Release> {
	return hashText(text) === digest
		? parseWithSchema(releaseNoteSchema, parseJson(text), `note ${noteId}`).map(note => ({number, acceptedAt, note}))
		: Left(createFailure('releaseUnreadable', `the parts of note ${noteId} do not have the digest of release ${number}`));
}

/** True when the text of a release fits into one value of the object API. */
export function isWithinValueLimit(releaseText: string): boolean {
	return Buffer.byteLength(releaseText) <= maxValueBytes;
}

/** Hashes a note without its base, so that two notes that request the same change have the same hash. */
export function hashNote(note: ReleaseNote): string {
	return hashText(JSON.stringify({...note, base: 0}));
}

/** Encodes a configuration as a JSON value. */
export function encodeConfiguration({release, services, routes, terms, organisations, callerLimits, keyedOrganisations}: Configuration): unknown {
	return {
		release,
		services: [...services.values()],
		routes: [...routes.values()],
		terms: [...terms.values()],
		organisations: [...organisations.values()],
		...(callerLimits && {callerLimits}),
		...(keyedOrganisations && {keyedOrganisations: [...keyedOrganisations.values()]}),
	};
}

function groupByName<Item extends {readonly name: string}>(items: readonly Item[]): ReadonlyMap<string, Item> {
	return new Map(items.map(item => [item.name, item]));
}

/** Validates a configuration that another node sent or that a snapshot holds. */
export function parseConfiguration(input: unknown): Either<Failure, Configuration> {
	return parseWithSchema(configurationSchema, input, 'configuration').map(({release, services, routes, terms, organisations, callerLimits, keyedOrganisations}) => ({
		release,
		services: groupByName(services),
		routes: groupByName(routes),
		terms: groupByName(terms),
		organisations: groupByName(organisations),
		...(callerLimits && {callerLimits}),
		...(keyedOrganisations && {keyedOrganisations: groupByName(keyedOrganisations)}),
	}));
}

/** Parses a configuration from JSON text. */
export function parseConfigurationText(text: string): Either<Failure, Configuration> {
	return parseConfiguration(parseJson(text));
}
