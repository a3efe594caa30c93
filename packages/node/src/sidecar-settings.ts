/** Settings of a sidecar node, which runs beside the single backend server of its host. */
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {createFailure, parseAddress, type Failure} from '@limpetbarrow/core';
import {computeResourceLimits, type ResourceLimits} from './callers/resource-limits.js';

const maxDurationMs = 3_600_000;
const bytesPerMb = 1_048_576;

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
	/** Service of the backend server on this host; requests from this host name it as the caller's service. */
	service: nameSchema,
	/** Address of the backend server on this host; announcements of any other address are refused. */
	serverAddress: addressSchema,
	/** Address for callers on this host. */
	ingress: addressSchema,
	/** Address for the platform's readiness checks, which ask whether the node accepts callers. */
	readiness: addressSchema,
	/** Address for announcements of the host's backend server. */
	announcements: addressSchema,
	/** Address for metrics. */
	metrics: addressSchema,
	/** TCP address for other nodes. */
	link: addressSchema,
	/** UDP address for other nodes. */
	gossip: addressSchema,
	/** Addresses at which other nodes reach this one if addresses are translated between them (NAT); by default those above. */
	advertisedLink: addressSchema.optional(),
	advertisedGossip: addressSchema.optional(),
	/** Base URL of the object API. */
	platform: z.url({protocol: /^https?$/v}).transform(url => url.replace(/\/$/v, '')),
	/** Time between two announcements of the backend server, in milliseconds. */
	announcementPeriodMs: z.number().min(1).max(maxDurationMs),
	/** Window of the retry budget, in milliseconds. */
	retryWindowMs: z.number().min(1).max(maxDurationMs),
	/** Retries that the whole fleet may send to a service, per request to it. */
	retryRatio: z.number().min(0).max(1),
	/** Retries that the whole fleet may send to a service in each window in addition to those. */
	retryAllowance: z.number().min(0),
	/** Longest time that a planned stop takes, in milliseconds. */
	stopTimeoutMs: z.number().min(0).max(maxDurationMs),
	/** Time for which a stopping node keeps listening, in milliseconds. */
	lameDuckMs: z.number().min(0).max(maxDurationMs).default(3000),
	/** Memory of the host that the process may use, in MiB; unknown by default. */
	memoryMb: z.number().min(1).optional(),
	/** File descriptors that the process may have open; unknown by default. */
	maxDescriptors: z.int().min(1).optional(),
	/** Largest sum of what is held for all callers, in bytes; by default derived from the heap and the memory of the host. */
	callerMemoryBytes: z.int().min(1).optional(),
	/** Bytes of requests in progress from which on a caller's connection is not read further. */
	connectionMemoryBytes: z.int().min(1).optional(),
	/** Largest number of callers' connections; by default derived from the descriptors. */
	maxCallerConnections: z.int().min(1).optional(),
	/** Serves requests with keys only while the configuration is proven fresh, so that a revoked key stops working in time. */
	isRevocationStrict: z.boolean().default(false),
	/** Time in which a revoked key must stop working, in milliseconds. */
	revocationMs: z.number().min(1).max(maxDurationMs).optional(),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
}).readonly();

/** Validated settings of a sidecar node. */
export type SidecarSettings = z.output<typeof settingsSchema>;

/** Settings as they are read, before validation. */
export type SidecarSettingsInput = Readonly<Record<keyof SidecarSettings, unknown>>;

/** Settings that a running node applies when its file changes; the others need a restart. */
export const reloadableSettings = [
	'service', 'serverAddress', 'retryWindowMs', 'retryRatio', 'retryAllowance', 'stopTimeoutMs', 'lameDuckMs', 'logLevel',
] as const satisfies ReadonlyArray<keyof SidecarSettings>;

/** Validates settings; the failure names every invalid one. */
export function parseSidecarSettings(input: Partial<SidecarSettingsInput>): Either<Failure, SidecarSettings> {
	const result = settingsSchema.safeParse(input);
	return result.success
		? Right(result.data)
		: Left(createFailure('settingsInvalid', result.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; ')));
}

/** Returns the bounds of what is held for callers: those that are set, else the ones that follow from memory and descriptors. */
export function selectResourceLimits({memoryMb, maxDescriptors, callerMemoryBytes, connectionMemoryBytes, maxCallerConnections}: SidecarSettings): ResourceLimits {
	const defaults = computeResourceLimits({memoryBytes: memoryMb === undefined ? undefined : memoryMb * bytesPerMb, maxDescriptors});
	return {
		...defaults,
		callerMemoryBytes: callerMemoryBytes ?? defaults.callerMemoryBytes,
		connectionMemoryBytes: connectionMemoryBytes ?? defaults.connectionMemoryBytes,
		maxCallerConnections: maxCallerConnections ?? defaults.maxCallerConnections,
	};
}

/** Lists the names of the settings that differ. */
export function listChangedSettings(before: SidecarSettings, after: SidecarSettings): ReadonlyArray<keyof SidecarSettings> {
	return (Object.keys(after) as ReadonlyArray<keyof SidecarSettings>)
		.filter(name => JSON.stringify(before[name]) !== JSON.stringify(after[name]));
}
