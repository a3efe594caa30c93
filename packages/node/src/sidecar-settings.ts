/** Settings of a sidecar node: one process beside the one backend server of its host. */
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {createFailure, parseAddress, type Failure} from '@limpetbarrow/core';

const maxDurationMs = 3_600_000;

const addressSchema = z.string().transform((text, context) => {
	const address = parseAddress(text);
	if (!address) {
		context.addIssue({code: 'custom', message: `${text} is not host:port`});
		return z.NEVER;
	}

	return address;
});
const nameSchema = z.string().min(1).max(63);

const settingsSchema = z.object({
	/** Name of the node, unique in the fleet. */
	id: nameSchema,
	region: nameSchema,
	/** Unique across regions. */
	failureDomain: nameSchema,
	/** Service of the backend server on this host; told to others as the caller's. */
	service: nameSchema,
	/** Address of the backend server on this host; no other may announce itself. */
	serverAddress: addressSchema,
	/** Address for the host's callers. */
	ingress: addressSchema,
	/** Address that the platform asks whether the node takes callers. */
	readiness: addressSchema,
	/** Address for announcements of the host's backend server. */
	announcements: addressSchema,
	/** Address for metrics. */
	metrics: addressSchema,
	/** TCP address for other nodes. */
	link: addressSchema,
	/** UDP address for other nodes. */
	gossip: addressSchema,
	/** Addresses at which other nodes reach this one, where something between them maps addresses; otherwise those above. */
	advertisedLink: addressSchema.optional(),
	advertisedGossip: addressSchema.optional(),
	/** Base URL of the object API. */
	platform: z.url({protocol: /^https?$/v}).transform(url => url.replace(/\/$/v, '')),
	/** Time between two announcements of a backend server, in milliseconds. */
	announcementPeriodMs: z.number().min(1).max(maxDurationMs),
	/** Window of the retry budget, in milliseconds. */
	retryWindowMs: z.number().min(1).max(maxDurationMs),
	/** Retries that the whole fleet may send a service, for each of its requests. */
	retryRatio: z.number().min(0).max(1),
	/** Retries in each window beside those, for the whole fleet and each service. */
	retryAllowance: z.number().min(0),
	/** Longest time a planned stop takes, in milliseconds. */
	stopTimeoutMs: z.number().min(0).max(maxDurationMs),
	/** Time for which a stopping node goes on listening, in milliseconds. */
	lameDuckMs: z.number().min(0).max(maxDurationMs).default(3000),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
}).readonly();

/** Checked settings of a sidecar node. */
export type SidecarSettings = z.output<typeof settingsSchema>;

/** Settings as they are read, before they are checked. */
export type SidecarSettingsInput = Readonly<Record<keyof SidecarSettings, unknown>>;

/** Settings that a running node applies; the others take a restart. */
export const reloadableSettings = [
	'service', 'serverAddress', 'retryWindowMs', 'retryRatio', 'retryAllowance', 'stopTimeoutMs', 'lameDuckMs', 'logLevel',
] as const satisfies ReadonlyArray<keyof SidecarSettings>;

/** Checks settings, naming every one that is wrong. */
export function parseSidecarSettings(input: Partial<SidecarSettingsInput>): Either<Failure, SidecarSettings> {
	const result = settingsSchema.safeParse(input);
	return result.success
		? Right(result.data)
		: Left(createFailure('settingsInvalid', result.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; ')));
}

/** Names of the settings in which two differ. */
export function listChangedSettings(before: SidecarSettings, after: SidecarSettings): ReadonlyArray<keyof SidecarSettings> {
	return (Object.keys(after) as ReadonlyArray<keyof SidecarSettings>)
		.filter(name => JSON.stringify(before[name]) !== JSON.stringify(after[name]));
}
