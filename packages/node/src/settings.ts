/** Settings of a node, read from flags and environment variables. */
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {
	createFailure, parseAddress, type Address, type Failure, type LogForm, type LogLevel,
} from '@limpetbarrow/core';

const defaultLameDuckMs = 6000;

/** Validated settings of a node. */
export type NodeSettings = {
	readonly id: string;
	readonly region: string;
	readonly failureDomain: string;
	/** Addresses to listen on; port 0 picks a free port. */
	readonly ingress: Address;
	readonly admin: Address;
	readonly link: Address;
	readonly gossip: Address;
	/** Gossip addresses of a few other nodes. */
	readonly seeds: readonly Address[];
	/** Base URL of the platform's object API. */
	readonly platform: string;
	/** Longest time that a planned stop takes, in milliseconds; requests that are still in progress then are cut off. */
	readonly stopTimeoutMs: number;
	/** Longest time that a planned stop serves callers' open connections before it stops listening, in milliseconds. */
	readonly lameDuckMs: number;
	readonly logForm: LogForm;
	readonly logLevel: LogLevel;
};

/**
 * Flags of `limpetbarrow node`, in the form that yargs takes. Each is also read from the environment variable
 * `LIMPETBARROW_` plus its name.
 */
export const nodeFlags = {
	id: {type: 'string', describe: 'Required. Name of this node, unique in the fleet'},
	region: {type: 'string', describe: 'Required. Region this host is in'},
	'failure-domain': {type: 'string', describe: 'Required. Failure domain this host is in, unique across regions'},
	ingress: {type: 'string', default: '127.0.0.1:8080', describe: 'Address for callers, as host:port'},
	admin: {type: 'string', default: '127.0.0.1:8081', describe: 'Address for operators and backend servers, as host:port'},
	link: {type: 'string', default: '127.0.0.1:8082', describe: 'TCP address for other nodes, as host:port'},
	gossip: {type: 'string', default: '127.0.0.1:8083', describe: 'UDP address for other nodes, as host:port'},
	seeds: {type: 'string', default: '', describe: 'Gossip addresses of a few other nodes, separated by commas'},
	platform: {type: 'string', describe: 'Required. Base URL of the platform\'s object API'},
	'stop-timeout-ms': {type: 'number', default: 30_000, describe: 'Longest time that a planned stop takes, in milliseconds'},
	'lame-duck-ms': {type: 'number', default: defaultLameDuckMs, describe: 'Longest time that a stopping node keeps listening, in milliseconds'},
	'log-form': {
		type: 'string', default: 'text', describe: 'Form of log lines: text or json',
	},
	'log-level': {
		type: 'string', default: 'info', describe: 'Least severity that is logged: debug, info, warn or error',
	},
} as const;

const addressSchema = z.string().transform((text, context) => {
	const address = parseAddress(text);
	if (!address) {
		context.addIssue({code: 'custom', message: `${text} is not host:port`});
		return z.NEVER;
	}

	return address;
});

const settingsSchema = z.object({
	id: z.string().regex(/^[\w.\-]{1,63}$/v, 'use up to 63 letters, digits, dots and hyphens'),
	region: z.string().min(1).max(63),
	failureDomain: z.string().min(1).max(63),
	ingress: addressSchema,
	admin: addressSchema,
	link: addressSchema,
	gossip: addressSchema,
	seeds: z.string().transform(text => text.split(',').filter(part => part.trim() !== '')).pipe(z.array(addressSchema)),
	platform: z.url({protocol: /^https?$/v}).transform(url => url.replace(/\/$/v, '')),
	stopTimeoutMs: z.int().min(0).max(3_600_000),
	lameDuckMs: z.int().min(0).max(3_600_000).default(defaultLameDuckMs),
	logForm: z.enum(['text', 'json']),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']),
});

function formatIssue({path, message}: z.core.$ZodIssue, input: unknown): string {
	const [property = ''] = path;
	const flag = String(property).replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`);
	const isMissing = (input as Readonly<Record<PropertyKey, unknown>>)[property] === undefined;
	return `--${flag}: ${isMissing ? 'is required' : message}`;
}

/** Validates settings that yargs has read; the failure names every invalid one. */
export function parseSettings(input: Record<string, unknown>): Either<Failure, NodeSettings> {
	const result = settingsSchema.safeParse(input);
	return result.success
		? Right(result.data)
		: Left(createFailure('settingsInvalid', result.error.issues.map(issue => formatIssue(issue, input)).join('; ')));
}
