/** The wire form of frames: arrays whose places are named here, each with the guard that checks it. */
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, resultCodes, type Failure, type LoadHint, type NodeIdentity, type RequestHead, type ResponseHead, type ResultName,
} from '@limpetbarrow/core';
import {type Frame} from './types.js';

type Guard = (value: unknown) => boolean;
type Guards<Shape> = {readonly [Field in keyof Required<Shape>]: Guard};
type Fields = Readonly<Record<string, unknown>>;
type KindEntry = {
	readonly kind: Frame['kind'];
	readonly fields: readonly string[];
	readonly guards: Fields;
};

const maxTextLength = 65_536;
const firstSuccess = 200;
const lastStatus = 999;
const resultNames: ReadonlyMap<number, ResultName> = new Map(Object.entries(resultCodes).map(([name, {code}]) => [code, name as ResultName]));

const isText: Guard = value => typeof value === 'string' && value.length <= maxTextLength;
const isCount: Guard = value => typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
const isStream: Guard = value => isCount(value) && value !== 0;
const isFlag: Guard = value => typeof value === 'boolean';
const isDuration: Guard = value => typeof value === 'number' && Number.isFinite(value) && value >= 0;
const isStatus: Guard = value => isCount(value) && (value as number) >= firstSuccess && (value as number) <= lastStatus;
const isHeaders: Guard = value => Array.isArray(value) && value.length % 2 === 0 && value.every(text => typeof text === 'string');
const isNothing: Guard = value => value === undefined || value === null;

function isOptional(guard: Guard): Guard {
	return value => isNothing(value) || guard(value);
}

function hasFields(guards: Fields): Guard {
	const checks = Object.entries(guards) as ReadonlyArray<readonly [string, Guard]>;
	return value => typeof value === 'object' && value !== null && checks.every(([field, guard]) => guard((value as Fields)[field]));
}

const identityGuards: Guards<NodeIdentity> = {id: isText, incarnation: isCount};
const loadGuards: Guards<LoadHint> = {serverId: isText, freeSlots: Number.isSafeInteger, queued: isCount};
const isTarget: Guard = value => hasFields({kind: (kind: unknown) => kind === 'sequencer'})(value)
	|| hasFields({kind: (kind: unknown) => kind === 'egress', serverId: isText})(value);

/** Every field of a request's head; the order is that of the wire. */
const requestHeadGuards: Guards<RequestHead> = {
	requestId: isText,
	target: isTarget,
	service: isText,
	method: isText,
	path: isText,
	headers: isHeaders,
	remainingMs: isDuration,
	isRepeatable: isFlag,
	organisation: isText,
	idempotencyKey: isOptional(isText),
	fingerprint: isOptional(isText),
};

/** Every field of an answer's head; the order is that of the wire. */
const responseHeadGuards: Guards<ResponseHead> = {
	status: isStatus,
	headers: isHeaders,
	load: isOptional(hasFields(loadGuards)),
};

const failureGuards = {
	code: (value: unknown) => typeof value === 'number' && resultNames.has(value),
	detail: isText,
	retryAfterMs: isOptional(isDuration),
};

const helloGuards = {
	session: isText,
	node: hasFields(identityGuards),
	peer: hasFields(identityGuards),
	attempt: isStream,
	isResumed: isFlag,
	received: isCount,
};

/** Frame kinds; the index is the kind's number on the wire. */
const kinds: readonly KindEntry[] = ([
	['hello', helloGuards],
	['heartbeat', {isProbe: isFlag}],
	['close', {received: isOptional(isCount)}],
	['request', {stream: isStream, ...requestHeadGuards}],
	['response', {stream: isStream, ...responseHeadGuards}],
	['data', {stream: isStream}],
	['end', {stream: isStream}],
	['credit', {stream: isStream, bytes: isCount}],
	['cancel', {stream: isStream}],
	['failure', {stream: isStream, ...failureGuards}],
] as const).map(([kind, guards]) => ({kind, fields: Object.keys(guards), guards}));
const kindNumbers: ReadonlyMap<string, number> = new Map(kinds.map(({kind}, index) => [kind, index]));
const controlPlaces = 3;

function flattenFrame(frame: Frame): Fields {
	if (frame.kind === 'request' || frame.kind === 'response') {
		return {...frame.head, stream: frame.stream};
	}

	if (frame.kind === 'failure') {
		const {code, detail, retryAfterMs} = frame.failure;
		return {
			stream: frame.stream, code, detail, retryAfterMs,
		};
	}

	return frame;
}

function createFrame(kind: Frame['kind'], fields: Fields): Frame {
	if (kind === 'request' || kind === 'response') {
		const {stream, ...head} = fields;
		return {kind, stream, head} as unknown as Frame;
	}

	if (kind === 'failure') {
		const name = resultNames.get(fields.code as number)!;
		const failure = createFailure(name, fields.detail as string, fields.retryAfterMs as number | undefined);
		return {kind, stream: fields.stream as number, failure};
	}

	return {kind, ...fields} as unknown as Frame;
}

/** Turns a frame into its array: number of the kind, sequence, acknowledged, then the fields in order. */
export function toWireArray(frame: Frame, sequence: number, acknowledged: number): readonly unknown[] {
	const kindNumber = kindNumbers.get(frame.kind)!;
	const fields = flattenFrame(frame);
	return [kindNumber, sequence, acknowledged, ...kinds[kindNumber]!.fields.map(field => fields[field])];
}

/** A checked frame with its numbers. */
export type NumberedFrame = {
	readonly frame: Frame;
	readonly sequence: number;
	readonly acknowledged: number;
};

/** Checks each place of an array from the wire. */
export function parseWireArray(value: unknown): Either<Failure, NumberedFrame> {
	const places = Array.isArray(value) ? value as readonly unknown[] : [];
	const [kindNumber, sequence, acknowledged] = places;
	const entry = typeof kindNumber === 'number' ? kinds[kindNumber] : undefined;
	if (!entry || !isCount(sequence) || !isCount(acknowledged) || places.length !== entry.fields.length + controlPlaces) {
		return Left(createFailure('malformedFrame', 'the header is not a frame'));
	}

	const wrong = entry.fields.find((field, index) => !(entry.guards[field] as Guard)(places[index + controlPlaces]));
	const isControl = entry.kind === 'hello' || entry.kind === 'heartbeat' || entry.kind === 'close';
	if (wrong !== undefined || isControl !== (sequence === 0)) {
		return Left(createFailure('malformedFrame', `${entry.kind} has a wrong ${wrong ?? 'sequence'}`));
	}

	const fields = Object.fromEntries(entry.fields
		.map((field, index) => [field, places[index + controlPlaces]] as const)
		.filter(([, place]) => !isNothing(place)));
	return Right({frame: createFrame(entry.kind, fields), sequence: sequence as number, acknowledged: acknowledged as number});
}
