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
	readonly hasStream: boolean;
	readonly fields: readonly string[];
	readonly guards: readonly Guard[];
};

const maxTextLength = 65_536;
const firstSuccess = 200;
const lastStatus = 999;
const resultNames: ReadonlyMap<number, ResultName> = new Map(Object.entries(resultCodes).map(([name, {code}]) => [code, name as ResultName]));

const isText: Guard = value => typeof value === 'string' && value.length <= maxTextLength;
const isString: Guard = value => typeof value === 'string';
const isCount: Guard = value => typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
const isStream: Guard = value => isCount(value) && value !== 0;
const isFlag: Guard = value => typeof value === 'boolean';
const isDuration: Guard = value => typeof value === 'number' && Number.isFinite(value) && value >= 0;
const isStatus: Guard = value => isCount(value) && (value as number) >= firstSuccess && (value as number) <= lastStatus;
const isHeaders: Guard = value => Array.isArray(value) && value.length % 2 === 0 && value.every(isString);
const isNothing: Guard = value => value === undefined || value === null;

function isOptional(guard: Guard): Guard {
	return value => isNothing(value) || guard(value);
}

function hasFields(guards: Fields): Guard {
	const checks = Object.entries(guards) as ReadonlyArray<readonly [string, Guard]>;
	return value => typeof value === 'object' && value !== null && checks.every(([field, guard]) => guard((value as Fields)[field]));
}

const identityGuards: Guards<NodeIdentity> = {id: isText, incarnation: isCount};
const loadGuards: Guards<LoadHint> = {
	serverId: isText,
	freeSlots: Number.isSafeInteger,
	queued: isCount,
	waitMs: isOptional(isDuration),
	workMs: isOptional(isDuration),
	isUnwell: isOptional(isFlag),
	isShedding: isOptional(isFlag),
};
const isSequencer = hasFields({kind: (kind: unknown) => kind === 'sequencer'});
const isEgress = hasFields({kind: (kind: unknown) => kind === 'egress', serverId: isText});
const isTarget: Guard = value => isEgress(value) || isSequencer(value);

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
	route: isOptional(isText),
	priority: isOptional(isCount),
	maxAttempts: isOptional(isCount),
	objectiveMs: isOptional(isDuration),
	earlierAttempts: isOptional(isCount),
	callerService: isOptional(isText),
	patienceMs: isOptional(isDuration),
	isLastResort: isOptional(isFlag),
	cause: isOptional(value => value === 'call' || value === 'repeatedCall'),
};

/** Every field of an answer's head; the order is that of the wire. */
const responseHeadGuards: Guards<ResponseHead> = {
	status: isStatus,
	headers: isHeaders,
	load: isOptional(hasFields(loadGuards)),
	isUnframed: isOptional(isFlag),
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

/** Frame kinds; the index is the kind's number on the wire. Frames of an exchange have a stream. */
const kinds: readonly KindEntry[] = ([
	['hello', false, helloGuards],
	['heartbeat', false, {isProbe: isFlag}],
	['close', false, {received: isOptional(isCount)}],
	['request', true, requestHeadGuards],
	['response', true, responseHeadGuards],
	['data', true, {}],
	['end', true, {}],
	['credit', true, {bytes: isCount}],
	['cancel', true, {}],
	['failure', true, failureGuards],
	['accepted', true, {}],
] as const).map(([kind, hasStream, guards]) => ({
	kind, hasStream, fields: Object.keys(guards), guards: Object.values<Guard>(guards),
}));
const kindNumbers: ReadonlyMap<string, number> = new Map(kinds.map(({kind}, index) => [kind, index]));
const controlPlaces = 3;

/** The object that has the fields of a frame, apart from its stream. */
function getFieldsOwner(frame: Frame): Fields {
	if (frame.kind === 'request' || frame.kind === 'response') {
		return frame.head;
	}

	return frame.kind === 'failure' ? frame.failure : frame;
}

function createFrame(kind: Frame['kind'], stream: unknown, fields: Fields): Frame {
	if (kind === 'request' || kind === 'response') {
		return {kind, stream, head: fields} as unknown as Frame;
	}

	if (kind === 'failure') {
		const name = resultNames.get(fields.code as number)!;
		const failure = createFailure(name, fields.detail as string, fields.retryAfterMs as number | undefined);
		return {kind, stream: stream as number, failure};
	}

	return (stream === undefined ? {kind, ...fields} : {kind, stream, ...fields}) as unknown as Frame;
}

/** Turns a frame into its array: number of the kind, sequence, acknowledged, the stream if any, the fields in order. */
export function toWireArray(frame: Frame, sequence: number, acknowledged: number): readonly unknown[] {
	const kindNumber = kindNumbers.get(frame.kind)!;
	const owner = getFieldsOwner(frame);
	const places: unknown[] = 'stream' in frame ? [kindNumber, sequence, acknowledged, frame.stream] : [kindNumber, sequence, acknowledged];
	kinds[kindNumber]!.fields.forEach(field => {
		places.push(owner[field]);
	});
	return places;
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
	const start = entry?.hasStream ? controlPlaces + 1 : controlPlaces;
	if (!entry || !isCount(sequence) || !isCount(acknowledged) || places.length !== entry.fields.length + start) {
		return Left(createFailure('malformedFrame', 'the header is not a frame'));
	}

	const stream = entry.hasStream ? places[controlPlaces] : undefined;
	const wrong = entry.hasStream && !isStream(stream) ? 'stream' : entry.fields.find((_, index) => !entry.guards[index]!(places[start + index]));
	if (wrong !== undefined || entry.hasStream !== (sequence !== 0)) {
		return Left(createFailure('malformedFrame', `${entry.kind} has a wrong ${wrong ?? 'sequence'}`));
	}

	const fields: Record<string, unknown> = {};
	entry.fields.forEach((field, index) => {
		const place = places[start + index];
		if (!isNothing(place)) {
			fields[field] = place;
		}
	});
	return Right({frame: createFrame(entry.kind, stream, fields), sequence: sequence as number, acknowledged: acknowledged as number});
}
