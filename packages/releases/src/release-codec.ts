/** Releases and configurations as text in the object API and between nodes. */
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {maxValueBytes} from '@limpetbarrow/object-store';
import {hashText} from './part-text.js';
import {
	callerLimitsSchema, organisationSchema, releaseNoteSchema, routeSchema, serviceSchema, termsSchema,
} from './release-note.js';
import {type Configuration, type Release, type ReleaseNote} from './types.js';

const numberSchema = z.int().min(1).max(999_999_999);

const releaseSchema = z.strictObject({
	number: numberSchema,
	acceptedAt: z.int(),
	note: releaseNoteSchema,
}).readonly();

const dividedReleaseSchema = z.strictObject({
	number: numberSchema,
	acceptedAt: z.int(),
	noteId: z.string(),
	/** SHA-256 of the note's text. */
	digest: z.string(),
	partCount: z.int().min(1).max(10_000),
}).readonly();

const snapshotSchema = z.strictObject({
	release: numberSchema,
	services: z.array(serviceSchema),
	routes: z.array(routeSchema),
	terms: z.array(termsSchema),
	organisations: z.array(organisationSchema),
	callerLimits: callerLimitsSchema.optional(),
});

/** A release whose note is held in parts. */
export type DividedRelease = z.output<typeof dividedReleaseSchema>;

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function parseBy<T>(schema: z.ZodType<T>, input: unknown, what: string): Either<Failure, T> {
	const result = schema.safeParse(input);
	return result.success
		? Right(result.data)
		: Left(createFailure('releaseUnreadable', `${what}: ${result.error.issues.slice(0, 3).map(({path, message}) => `${path.join('.')} ${message}`).join('; ').slice(0, 300)}`));
}

/** Checks a release that another node sent. */
export function parseRelease(input: unknown): Either<Failure, Release> {
	return parseBy(releaseSchema, input, 'release');
}

/** Reads the text of a release's object, whole or divided. */
export function parseStoredRelease(text: string): Either<Failure, Release | DividedRelease> {
	return parseBy(z.union([releaseSchema, dividedReleaseSchema]), parseJson(text), 'stored release');
}

/** True when the note of a stored release is held in parts. */
export function isDivided(stored: Release | DividedRelease): stored is DividedRelease {
	return 'digest' in stored;
}

/** Puts a divided release together from the text of its note. */
export function parseDividedNote({number, acceptedAt, noteId, digest}: DividedRelease, text: string): Either<Failure, Release> {
	return hashText(text) === digest
		? parseBy(releaseNoteSchema, parseJson(text), `note ${noteId}`).map(note => ({number, acceptedAt, note}))
		: Left(createFailure('releaseUnreadable', `the parts of note ${noteId} do not have the digest of release ${number}`));
}

/** True when a release fits into one value. */
export function isWhole(releaseText: string): boolean {
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
	return parseBy(snapshotSchema, input, 'configuration').map(({release, services, routes, terms, organisations, callerLimits}) => ({
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
