/** Releases and configurations as text in the object API and between nodes. */
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {maxValueBytes} from '@limpetbarrow/object-store';
import {hashText} from './text-parts.js';
import {
	callerLimitsSchema, organisationSchema, releaseNoteSchema, routeSchema, serviceSchema, termsSchema,
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
	/** SHA-256 of the note's text. */
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
});

/** A release whose note is held in parts. */
export type MultipartRelease = z.output<typeof multipartReleaseSchema>;

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function parseWithSchema<T>(schema: z.ZodType<T>, input: unknown, what: string): Either<Failure, T> {
	const result = schema.safeParse(input);
	return result.success
		? Right(result.data)
		: Left(createFailure('releaseUnreadable', `${what}: ${result.error.issues.slice(0, 3).map(({path, message}) => `${path.join('.')} ${message}`).join('; ').slice(0, 300)}`));
}

/** Checks a release that another node sent. */
export function parseRelease(input: unknown): Either<Failure, Release> {
	return parseWithSchema(releaseSchema, input, 'release');
}

/** Reads the text of a release's object, whole or divided. */
export function parseStoredRelease(text: string): Either<Failure, Release | MultipartRelease> {
	return parseWithSchema(z.union([releaseSchema, multipartReleaseSchema]), parseJson(text), 'stored release');
}

/** True when the note of a stored release is held in parts. */
export function isMultipart(stored: Release | MultipartRelease): stored is MultipartRelease {
	return 'digest' in stored;
}

/** Puts a divided release together from the text of its note. */
export function parseMultipartNote({number, acceptedAt, noteId, digest}: MultipartRelease, text: string): Either<Failure, Release> {
	return hashText(text) === digest
		? parseWithSchema(releaseNoteSchema, parseJson(text), `note ${noteId}`).map(note => ({number, acceptedAt, note}))
		: Left(createFailure('releaseUnreadable', `the parts of note ${noteId} do not have the digest of release ${number}`));
}

/** True when a release fits into one value. */
export function isWithinValueLimit(releaseText: string): boolean {
	return Buffer.byteLength(releaseText) <= maxValueBytes;
}

/** The same for two notes that ask for the same change, whatever their base. */
export function hashNote(note: ReleaseNote): string {
	return hashText(JSON.stringify({...note, base: 0}));
}

/** A configuration as a JSON value. */
export function encodeConfiguration({release, services, routes, terms, organisations, callerLimits}: Configuration): unknown {
	return {
		release,
		services: [...services.values()],
		routes: [...routes.values()],
		terms: [...terms.values()],
		organisations: [...organisations.values()],
		...(callerLimits && {callerLimits}),
	};
}

function groupByName<Item extends {readonly name: string}>(items: readonly Item[]): ReadonlyMap<string, Item> {
	return new Map(items.map(item => [item.name, item]));
}

/** Checks a configuration that another node sent or that a snapshot holds. */
export function parseConfiguration(input: unknown): Either<Failure, Configuration> {
	return parseWithSchema(configurationSchema, input, 'configuration').map(({release, services, routes, terms, organisations, callerLimits}) => ({
		release,
		services: groupByName(services),
		routes: groupByName(routes),
		terms: groupByName(terms),
		organisations: groupByName(organisations),
		...(callerLimits && {callerLimits}),
	}));
}

/** Reads a configuration from text. */
export function parseConfigurationText(text: string): Either<Failure, Configuration> {
	return parseConfiguration(parseJson(text));
}
