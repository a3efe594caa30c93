/** Types of the configuration and of the release notes that change it. */
import {type z} from 'zod';
import {
	type callerLimitsSchema, type keyedOrganisationSchema, type organisationSchema, type releaseNoteSchema, type routeSchema, type serviceSchema, type termsSchema,
} from './release-note.js';

/** A service with its floor, its failure detection setting and its queue limit. */
export type Service = z.output<typeof serviceSchema>;

/** A rule that assigns requests to a service. */
export type Route = z.output<typeof routeSchema>;

/** Terms that are offered to one kind of caller. */
export type TermsOffer = z.output<typeof termsSchema>;

/** An organisation whose callers hold terms. */
export type Organisation = z.output<typeof organisationSchema>;

/** An organisation whose callers prove themselves by keys. */
export type KeyedOrganisation = z.output<typeof keyedOrganisationSchema>;

/** Limits on requests and connections that apply to all callers. */
export type CallerLimits = z.output<typeof callerLimitsSchema>;

/** A parsed release note, with the defaults of the schema filled in. */
export type ReleaseNote = z.output<typeof releaseNoteSchema>;

/** An accepted release note with its number in the log. */
export type Release = {
	readonly number: number;
	/** Unix time in milliseconds. */
	readonly acceptedAt: number;
	readonly note: ReleaseNote;
};

/** The whole configuration as of one release. */
export type Configuration = {
	/** Number of the last release that was applied; 0 before the first. */
	readonly release: number;
	readonly services: ReadonlyMap<string, Service>;
	readonly routes: ReadonlyMap<string, Route>;
	readonly terms: ReadonlyMap<string, TermsOffer>;
	readonly organisations: ReadonlyMap<string, Organisation>;
	readonly callerLimits?: CallerLimits;
	/** Organisations with keys by name; absent where requests carry no keys. */
	readonly keyedOrganisations?: ReadonlyMap<string, KeyedOrganisation>;
	/** Entries that this node could not read and left out, each with its path and the reason. */
	readonly skipped?: readonly string[];
};
