/** Schemas of a release note and its items. */
import * as z from 'zod';

const maxNameLength = 63;
const maxFloor = 10_000;
const maxTimeoutMs = 600_000;
const maxBodyBytes = 1_073_741_824;
const defaultMaxBodyBytes = 10_485_760;
const defaultQueueLimit = 12;
const maxWeight = 1_000_000;
const maxPriority = 1000;
const maxAttempts = 100;
const maxOrganisationNameLength = 128;
const maxQuota = 10_000_000;

const nameSchema = z.string().regex(/^[a-z\d][a-z\d.\-]*$/v, 'use lower-case letters, digits, dots and hyphens').max(maxNameLength);

/** A service. */
export const serviceSchema = z.strictObject({
	name: nameSchema,
	/** Minimum number of backend servers that ejection leaves serving. */
	floor: z.int().min(0).max(maxFloor).default(1),
	/** `fast` favours a short detection time, `cautious` favours few false ejections. */
	detection: z.enum(['fast', 'cautious']).default('cautious'),
	/** Maximum number of requests that wait for one backend server. */
	queueLimit: z.int().min(0).max(1000).default(defaultQueueLimit),
}).readonly();

/** A service's share of a route's requests. */
const routeShareSchema = z.strictObject({
	service: nameSchema,
	/** Share of requests relative to the sum of all weights of the route. */
	weight: z.number().min(0).max(maxWeight),
}).readonly();

/** A route. */
export const routeSchema = z.strictObject({
	name: nameSchema,
	host: z.string().regex(/^(?:\*|[a-z\d.\-]+)$/v, 'use a lower-case host name or *').default('*'),
	pathPrefix: z.string().startsWith('/').max(1024),
	/** Methods that the route matches; an empty list matches all. */
	methods: z.array(z.string().regex(/^[A-Z]+$/v)).readonly().default([]),
	service: nameSchema,
	/** True when requests with methods other than GET, HEAD and OPTIONS may also be executed more than once. */
	isRepeatable: z.boolean().default(false),
	timeoutMs: z.int().min(1).max(maxTimeoutMs).default(10_000),
	maxBodyBytes: z.int().min(0).max(maxBodyBytes).default(defaultMaxBodyBytes),
	/** Services among which the route's requests are divided, in place of `service`. */
	shares: z.array(routeShareSchema).readonly().optional(),
	/** True when requests need no key although the configuration has organisations with keys. */
	isPublic: z.boolean().optional(),
	/** True when `isRepeatable` alone decides whether a request is repeatable, whatever its method. */
	ignoresMethod: z.boolean().optional(),
	/** Priority of the route's requests; 0 is the most urgent. */
	priority: z.int().min(0).max(maxPriority).optional(),
	/** Maximum number of backend servers that one request is sent to. */
	maxAttempts: z.int().min(1).max(maxAttempts).optional(),
	/** Target response time in milliseconds; an answer that comes later is worth less to the caller. */
	objectiveMs: z.int().min(1).max(maxTimeoutMs).optional(),
}).readonly();

/** Terms offered to one kind of caller. */
export const termsSchema = z.strictObject({
	/** Name of the kind of caller. */
	name: nameSchema,
	/** Requests per second of the first terms (`initialRate`) and of the most generous ones (`topRate`). */
	initialRate: z.number().positive().max(1_000_000),
	topRate: z.number().positive().max(1_000_000),
	/** Factor by which a renewal raises the rate and the timeout. */
	growth: z.number().min(1).max(10).default(2),
	initialTimeoutMs: z.int().min(1).max(maxTimeoutMs).default(2000),
	topTimeoutMs: z.int().min(1).max(maxTimeoutMs).default(10_000),
	lifetimeMs: z.int().min(1000).max(86_400_000).default(600_000),
}).readonly();

/** An organisation. */
export const organisationSchema = z.strictObject({
	name: nameSchema,
	/** Name of the terms that its callers are offered. */
	terms: nameSchema,
	/** SHA-256 of the secret that its callers present, in hexadecimal. */
	secretHash: z.string().regex(/^[\da-f]{64}$/v, 'use 64 hexadecimal digits').optional(),
}).readonly();

/** An organisation whose callers prove themselves by keys. */
export const keyedOrganisationSchema = z.strictObject({
	name: z.string().min(1).max(maxOrganisationNameLength),
	/** Digests of its keys, as `hashKey` creates them. */
	keyDigests: z.array(z.string().min(1).max(64)).readonly(),
	/** Priority of its requests, which goes before the route's; 0 is the most urgent. */
	priority: z.int().min(0).max(maxPriority).optional(),
	/** Requests per second that all nodes together accept, and how many more at once; without a rate there is no limit. */
	ratePerSecond: z.number().positive().max(maxQuota).optional(),
	burst: z.number().min(0).max(maxQuota).optional(),
}).readonly();

/** Limits for all callers; a node whose configuration has none applies its own limits. */
export const callerLimitsSchema = z.strictObject({
	/** Maximum size of a request's header section, in bytes. */
	maxHeaderBytes: z.int().min(1),
	/** Maximum size of a request's body, in bytes. */
	maxBodyBytes: z.int().min(0),
	/** Time within which a caller must have sent a request's header section, in milliseconds. */
	headerTimeoutMs: z.int().min(1),
	/** Time after which a caller's idle connection times out, in milliseconds. */
	idleTimeoutMs: z.int().min(1),
}).readonly();

const itemsSchema = z.strictObject({
	services: z.array(serviceSchema).readonly().default([]),
	routes: z.array(routeSchema).readonly().default([]),
	terms: z.array(termsSchema).readonly().default([]),
	organisations: z.array(organisationSchema).readonly().default([]),
}).readonly();

const withdrawnSchema = z.strictObject({
	services: z.array(nameSchema).readonly().default([]),
	routes: z.array(nameSchema).readonly().default([]),
	terms: z.array(nameSchema).readonly().default([]),
	organisations: z.array(nameSchema).readonly().default([]),
}).readonly();

/** A release note. */
export const releaseNoteSchema = z.strictObject({
	/** Chosen by the operator. It makes a note idempotent: applying it again under the same id changes nothing. */
	id: z.string().regex(/^[\w.\-]{1,100}$/v),
	operator: z.string().min(1).max(100),
	/** Number of the release on which this note is based. */
	base: z.int().min(0),
	comment: z.string().max(2000).default(''),
	added: itemsSchema.prefault({}),
	changed: itemsSchema.prefault({}),
	withdrawn: withdrawnSchema.prefault({}),
}).readonly();
