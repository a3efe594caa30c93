/** Encodes messages between members as datagrams, and decodes and validates them. */
import {Encoder} from 'cbor-x';
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {
	createFailure, formatAddress, parseAddress, type Failure,
} from '@limpetbarrow/core';
import {digestBuckets, maxParts} from './constants.js';
import {type MemberMessage} from './message.js';
import {
	firstServerSlot, poisonSlot, profileSlot, releaseSlot, type PartValue, type Profile,
} from './record-parts.js';
import {type MemberUpdate} from './types.js';

const codec = new Encoder({useRecords: false, mapsAsObjects: true});
const messageKinds = ['ping', 'ack', 'indirect', 'rumor', 'digest', 'summary', 'pull', 'parts', 'query', 'reply'] as const;
const statuses = ['alive', 'suspect', 'dead'] as const;
const profileStates = ['serving', 'stopping'] as const;
const maxListItems = 1024;
const maxQueryItems = 16;
const maxQueryTextLength = 128;
const maxTopicLength = 32;

const shortKeys: ReadonlyMap<string, string> = new Map([
	['id', 'i'], ['service', 's'], ['slots', 'n'], ['state', 't'], ['generation', 'g'], ['badness', 'b'],
]);
const longKeys: ReadonlyMap<string, string> = new Map([...shortKeys].map(([long, short]) => [short, long]));

const idSchema = z.string().min(1).max(63);
const countSchema = z.int().min(0);
const addressSchema = z.object({host: z.string().min(1).max(63), port: z.int().min(0).max(65_535)});
const statusSchema = z.int().min(0).max(statuses.length - 1).transform(index => statuses[index]!);

const profileSchema = z.looseObject({
	placement: z.object({region: z.string().max(63), failureDomain: z.string().max(63)}),
	linkAddress: addressSchema,
	gossipAddress: addressSchema,
	ingressAddress: addressSchema,
	adminAddress: addressSchema,
	state: z.enum(['serving', 'stopping']),
	storeEra: countSchema.optional(),
});

const serverSchema = z.looseObject({
	id: idSchema,
	service: z.string().min(1).max(63),
	slots: z.int().min(1),
	state: z.enum(['ready', 'warming', 'probation', 'ejected', 'leaving']),
	generation: countSchema,
	badness: z.number(),
});

const poisonSchema = z.array(z.looseObject({
	fingerprint: z.string().max(128),
	serverIds: z.array(z.string().max(63)).max(16),
	expiresAt: z.number(),
})).max(64);

const senderSchema = z.tuple([idSchema, countSchema, countSchema])
	.transform(([id, incarnation, refutation]) => ({id, incarnation, refutation}));

const statusUpdateSchema = z.tuple([idSchema, countSchema, countSchema, statusSchema]).transform(([id, incarnation, refutation, status]) => ({
	kind: 'status' as const, id, incarnation, refutation, status,
}));

const partUpdateSchema = z.tuple([idSchema, countSchema, z.int().min(0).max(maxParts - 1), countSchema, z.unknown()])
	.transform(([id, incarnation, slot, version, value], context) => {
		const result = selectValueSchema(slot).safeParse(decodePartValue(slot, value));
		if (!result.success) {
			context.addIssue({code: 'custom', message: `invalid value in slot ${slot}`});
			return z.NEVER;
		}

		return {
			kind: 'part' as const, id, incarnation, part: {slot, version, value: result.data as PartValue},
		};
	});

/** Length of an encoded status update; a part update has five elements. Only the schema for the given length is tried. */
const statusUpdateLength = 4;
const updatesSchema = z.array(z.unknown().transform((value, context): MemberUpdate => {
	const isStatus = Array.isArray(value) && value.length === statusUpdateLength;
	const result = (isStatus ? statusUpdateSchema : partUpdateSchema).safeParse(value);
	if (!result.success) {
		context.addIssue({code: 'custom', message: result.error.issues.at(0)?.message ?? 'not a valid update'});
		return z.NEVER;
	}

	return result.data;
})).max(maxListItems);
const summarySchema = z.tuple([idSchema, countSchema, countSchema, statusSchema, countSchema])
	.transform(([id, incarnation, refutation, status, partsHash]) => ({
		id, incarnation, refutation, status, partsHash,
	}));
const recordRequestSchema = z.tuple([idSchema, countSchema, z.array(countSchema).max(2 * maxParts)])
	.transform(([id, incarnation, versions]) => ({id, incarnation, versions}));

const queryBodySchema = z.array(z.union([z.number(), z.boolean(), z.string().max(maxQueryTextLength)])).max(maxQueryItems);

const probeSchema = z.tuple([z.int(), senderSchema, countSchema, updatesSchema])
	.transform(([kind, sender, sequence, updates]) => ({
		kind: messageKinds[kind]! as 'ping' | 'ack', sender, sequence, updates,
	}));

/**
 * Schemas by the number of the message kind on the wire. A union would try every schema and build an error message for
 * each that fails.
 */
const messageSchemas: ReadonlyArray<z.ZodType<MemberMessage>> = [
	probeSchema,
	probeSchema,
	z.tuple([z.literal(2), senderSchema, countSchema, addressSchema])
		.transform(([, sender, sequence, target]) => ({
			kind: 'indirect' as const, sender, sequence, target,
		})),
	z.tuple([z.literal(3), senderSchema, updatesSchema])
		.transform(([, sender, updates]) => ({kind: 'rumor' as const, sender, updates})),
	z.tuple([z.literal(4), senderSchema, z.array(countSchema).length(digestBuckets)])
		.transform(([, sender, buckets]) => ({kind: 'digest' as const, sender, buckets})),
	z.tuple([z.literal(5), senderSchema, z.array(summarySchema).max(maxListItems)])
		.transform(([, sender, entries]) => ({kind: 'summary' as const, sender, entries})),
	z.tuple([z.literal(6), senderSchema, z.array(recordRequestSchema).max(maxListItems)])
		.transform(([, sender, wants]) => ({kind: 'pull' as const, sender, wants})),
	z.tuple([z.literal(7), senderSchema, updatesSchema])
		.transform(([, sender, updates]) => ({kind: 'parts' as const, sender, updates})),
	z.tuple([z.literal(8), senderSchema, countSchema, z.string().min(1).max(maxTopicLength), queryBodySchema])
		.transform(([, sender, sequence, topic, body]) => ({
			kind: 'query' as const, sender, sequence, topic, body,
		})),
	z.tuple([z.literal(9), senderSchema, countSchema, queryBodySchema])
		.transform(([, sender, sequence, body]) => ({
			kind: 'reply' as const, sender, sequence, body,
		})),
];

function selectValueSchema(slot: number): z.ZodType {
	if (slot === profileSlot) {
		return profileSchema;
	}

	if (slot === releaseSlot) {
		return countSchema;
	}

	return slot === poisonSlot ? poisonSchema : serverSchema.optional();
}

function replaceKeys(value: unknown, keys: ReadonlyMap<string, string>): unknown {
	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value).map(([key, item]) => [keys.get(key) ?? key, item as unknown]))
		: value;
}

/** Encodes a profile as an array; older builds ignore what follows the state. An address with the same host as the link address is shortened to its port. */
function flattenProfile({placement, linkAddress, gossipAddress, ingressAddress, adminAddress, state, storeEra}: Profile): readonly unknown[] {
	const {host} = linkAddress;
	const others = [gossipAddress, ingressAddress, adminAddress].map(address => address.host === host ? address.port : formatAddress(address));
	return [placement.region, placement.failureDomain, formatAddress(linkAddress), ...others, profileStates.indexOf(state), ...(storeEra === undefined ? [] : [storeEra])];
}

function toAddress(value: unknown, host: string): unknown {
	return typeof value === 'number' ? {host, port: value} : parseAddress(String(value));
}

function toProfile(value: unknown): unknown {
	if (!Array.isArray(value)) {
		return undefined;
	}

	const [region, failureDomain, link, gossip, ingress, admin, state, storeEra] = value as readonly unknown[];
	const linkAddress = parseAddress(String(link));
	const host = linkAddress?.host ?? '';
	return {
		placement: {region, failureDomain},
		linkAddress,
		gossipAddress: toAddress(gossip, host),
		ingressAddress: toAddress(ingress, host),
		adminAddress: toAddress(admin, host),
		state: profileStates[state as number],
		...(storeEra !== undefined && {storeEra}),
	};
}

function decodePartValue(slot: number, value: unknown): unknown {
	if (slot === profileSlot) {
		return toProfile(value);
	}

	return slot >= firstServerSlot ? replaceKeys(value, longKeys) ?? undefined : value;
}

function flattenPartValue(slot: number, value: PartValue): unknown {
	if (slot === profileSlot) {
		return flattenProfile(value as Profile);
	}

	return slot >= firstServerSlot ? replaceKeys(value, shortKeys) ?? null : value;
}

function flattenUpdate(update: MemberUpdate): readonly unknown[] {
	if (update.kind === 'status') {
		return [update.id, update.incarnation, update.refutation, statuses.indexOf(update.status)];
	}

	const {slot, version, value} = update.part;
	return [update.id, update.incarnation, slot, version, flattenPartValue(slot, value)];
}

function flattenBody(message: MemberMessage): readonly unknown[] {
	switch (message.kind) {
		case 'ping':
		case 'ack': {
			return [message.sequence, message.updates.map(update => flattenUpdate(update))];
		}

		case 'indirect': {
			return [message.sequence, message.target];
		}

		case 'rumor':
		case 'parts': {
			return [message.updates.map(update => flattenUpdate(update))];
		}

		case 'digest': {
			return [message.buckets];
		}

		case 'summary': {
			return [message.entries.map(({id, incarnation, refutation, status, partsHash}) => [id, incarnation, refutation, statuses.indexOf(status), partsHash])];
		}

		case 'pull': {
			return [message.wants.map(({id, incarnation, versions}) => [id, incarnation, versions])];
		}

		case 'query': {
			return [message.sequence, message.topic, message.body];
		}

		case 'reply': {
			return [message.sequence, message.body];
		}
	}
}

/** Encodes a message as a datagram. */
export function encodeMessage(message: MemberMessage): Uint8Array {
	const {id, incarnation, refutation} = message.sender;
	return codec.encode([messageKinds.indexOf(message.kind), [id, incarnation, refutation], ...flattenBody(message)]);
}

/** Computes the encoded size of an update, in bytes. */
export function computeUpdateBytes(update: MemberUpdate): number {
	return codec.encode(flattenUpdate(update)).length;
}

/** Decodes a datagram. Anything but a valid message gives the failure `gossipMalformed`. */
export function decodeMessage(bytes: Uint8Array): Either<Failure, MemberMessage> {
	try {
		const fields: unknown = codec.decode(bytes);
		const [kind] = Array.isArray(fields) ? fields as readonly unknown[] : [];
		const schema = typeof kind === 'number' ? messageSchemas[kind] : undefined;
		if (!schema) {
			return Left(createFailure('gossipMalformed', 'the datagram has no known message kind'));
		}

		const result = schema.safeParse(fields);
		return result.success
			? Right(result.data)
			: Left(createFailure('gossipMalformed', result.error.issues.at(0)?.message ?? 'not a valid message'));
	} catch (error) {
		return Left(createFailure('gossipMalformed', String(error)));
	}
}
