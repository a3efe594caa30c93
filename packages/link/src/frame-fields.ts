/** Wire format of frame headers: arrays whose elements are listed here by name, each with the guard that validates it. */
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, resultCodes, type Failure, type LoadHint, type NodeIdentity, type RequestHead, type ResponseHead, type ResultName,
} from '@limpetbarrow/core';
import {type Frame} from './types.js';

type Guard = (value: unknown) => boolean;
type Guards<Shape> = {readonly [Field in keyof Required<Shape>]: Guard};
type Fields = Readonly<Record<string, unknown>>;
type FrameLayout = {
	readonly kind: Frame['kind'];
	readonly hasStream: boolean;
	readonly fields: readonly string[];
	readonly guards: readonly Guard[];
};

const maxStringLength = 65_536;
const minFinalStatus = 200;
const maxStatus = 999;
const resultNames: ReadonlyMap<number, ResultName> = new Map(Object.entries(resultCodes).map(([name, {code}]) => [code, name as ResultName]));

const isBoundedString: Guard = value => typeof value === 'string' && value.length <= maxStringLength;
const isString: Guard = value => typeof value === 'string';
const isNonNegativeInteger: Guard = value => typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
const isPositiveInteger: Guard = value => isNonNegativeInteger(value) && value !== 0;
const isBoolean: Guard = value => typeof value === 'boolean';
const isDuration: Guard = value => typeof value === 'number' && Number.isFinite(value) && value >= 0;
const isFinalStatus: Guard = value => isNonNegativeInteger(value) && (value as number) >= minFinalStatus && (value as number) <= maxStatus;
const isHeaderList: Guard = value => Array.isArray(value) && value.length % 2 === 0 && value.every(isString);
const isAbsent: Guard = value => value === undefined || value === null;

function isOptional(guard: Guard): Guard {
	return value => isAbsent(value) || guard(value);
}

function hasFields(guards: Fields): Guard {
	const checks = Object.entries(guards) as ReadonlyArray<readonly [string, Guard]>;
	return value => typeof value === 'object' && value !== null && checks.every(([field, guard]) => guard((value as Fields)[field]));
}

const identityGuards: Guards<NodeIdentity> = {id: isBoundedString, incarnation: isNonNegativeInteger};
const loadGuards: Guards<LoadHint> = {
	serverId: isBoundedString,
	freeSlots: Number.isSafeInteger,
	queued: isNonNegativeInteger,
	waitMs: isOptional(isDuration),
	workMs: isOptional(isDuration),
	isUnwell: isOptional(isBoolean),
	isShedding: isOptional(isBoolean),
	limitPerSecond: isOptional(isDuration),
};
const isSequencerTarget = hasFields({kind: (kind: unknown) => kind === 'sequencer'});
const isEgressTarget = hasFields({kind: (kind: unknown) => kind === 'egress', serverId: isBoundedString, knownLimit: isOptional(isDuration)});
const isTarget: Guard = value => isEgressTarget(value) || isSequencerTarget(value);

/** Fields of a request's head, in the order of the wire format. */
const requestHeadGuards: Guards<RequestHead> = {
	requestId: isBoundedString,
	target: isTarget,
	service: isBoundedString,
	method: isBoundedString,
	path: isBoundedString,
	headers: isHeaderList,
	remainingMs: isDuration,
	isRepeatable: isBoolean,
	organisation: isBoundedString,
	idempotencyKey: isOptional(isBoundedString),
	fingerprint: isOptional(isBoundedString),
	route: isOptional(isBoundedString),
	priority: isOptional(isNonNegativeInteger),
	maxAttempts: isOptional(isNonNegativeInteger),
	objectiveMs: isOptional(isDuration),
	earlierAttempts: isOptional(isNonNegativeInteger),
	callerService: isOptional(isBoundedString),
	patienceMs: isOptional(isDuration),
	isLastResort: isOptional(isBoolean),
	cause: isOptional(value => value === 'call' || value === 'repeatedCall'),
};

/** Fields of a response's head, in the order of the wire format. */
const responseHeadGuards: Guards<ResponseHead> = {
	status: isFinalStatus,
	headers: isHeaderList,
	load: isOptional(hasFields(loadGuards)),
	isUnframed: isOptional(isBoolean),
};

const failureGuards = {
	code: (value: unknown) => typeof value === 'number' && resultNames.has(value),
	detail: isBoundedString,
	retryAfterMs: isOptional(isDuration),
};

const helloGuards = {
	session: isBoundedString,
	node: hasFields(identityGuards),
	peer: hasFields(identityGuards),
	attempt: isPositiveInteger,
	isResumed: isBoolean,
	received: isNonNegativeInteger,
};

/** Layouts of all frame kinds. The index is the kind's number on the wire. Only exchange frames have a stream. */
const frameLayouts: readonly FrameLayout[] = ([
	['hello', false, helloGuards],
	['heartbeat', false, {isProbe: isBoolean}],
	['close', false, {received: isOptional(isNonNegativeInteger)}],
	['request', true, requestHeadGuards],
	['response', true, responseHeadGuards],
	['data', true, {}],
	['end', true, {}],
	['credit', true, {bytes: isNonNegativeInteger}],
	['cancel', true, {}],
	['failure', true, failureGuards],
	['accepted', true, {}],
] as const).map(([kind, hasStream, guards]) => ({
	kind, hasStream, fields: Object.keys(guards), guards: Object.values<Guard>(guards),
}));
const kindNumbers: ReadonlyMap<string, number> = new Map(frameLayouts.map(({kind}, index) => [kind, index]));
const commonElementCount = 3;

/** Returns the object that holds the fields of a frame, apart from its stream. */
function getFieldSource(frame: Frame): Fields {
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

/** Converts a frame to its wire array: kind number, sequence, acknowledged, stream if any, then the fields in order. */
export function toWireArray(frame: Frame, sequence: number, acknowledged: number): readonly unknown[] {
	const kindNumber = kindNumbers.get(frame.kind)!;
	const source = getFieldSource(frame);
	const elements: unknown[] = 'stream' in frame ? [kindNumber, sequence, acknowledged, frame.stream] : [kindNumber, sequence, acknowledged];
	frameLayouts[kindNumber]!.fields.forEach(field => {
		elements.push(source[field]);
	});
	return elements;
}

/** A validated frame with its sequence number and acknowledgement. */
export type NumberedFrame = {
	readonly frame: Frame;
	readonly sequence: number;
	readonly acknowledged: number;
};

/** Validates each element of a wire array and converts it to a frame; `malformedFrame` if it matches no layout. */
export function parseWireArray(value: unknown): Either<Failure, NumberedFrame> {
	const elements = Array.isArray(value) ? value as readonly unknown[] : [];
	const [kindNumber, sequence, acknowledged] = elements;
	const layout = typeof kindNumber === 'number' ? frameLayouts[kindNumber] : undefined;
	const start = layout?.hasStream ? commonElementCount + 1 : commonElementCount;
	if (!layout || !isNonNegativeInteger(sequence) || !isNonNegativeInteger(acknowledged) || elements.length !== layout.fields.length + start) {
		return Left(createFailure('malformedFrame', 'the header does not match the layout of a known frame kind'));
	}

	const stream = layout.hasStream ? elements[commonElementCount] : undefined;
	const invalidField = layout.hasStream && !isPositiveInteger(stream) ? 'stream' : layout.fields.find((_, index) => !layout.guards[index]!(elements[start + index]));
	if (invalidField !== undefined || layout.hasStream !== (sequence !== 0)) {
		return Left(createFailure('malformedFrame', `a ${layout.kind} frame has an invalid ${invalidField ?? 'sequence'}`));
	}

	const fields: Record<string, unknown> = {};
	layout.fields.forEach((field, index) => {
		const element = elements[start + index];
		if (!isAbsent(element)) {
			fields[field] = element;
		}
	});
	return Right({frame: createFrame(layout.kind, stream, fields), sequence: sequence as number, acknowledged: acknowledged as number});
}
