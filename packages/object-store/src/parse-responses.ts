/** Validates the responses of the object API. */
import {createFailure, FailureError} from '@limpetbarrow/core';
import {
	type ObjectEvent, type ObjectList, type StoredObject, type WatchResult,
} from './types.js';

type JsonObject = Readonly<Record<string, unknown>>;

function failMalformed(expected: string): never {
	throw new FailureError(createFailure('platformMalformed', `the response is not ${expected}`));
}

function toJsonObject(value: unknown, expected: string): JsonObject {
	return typeof value === 'object' && value !== null ? value as JsonObject : failMalformed(expected);
}

function isVersion(value: unknown): boolean {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Validates one stored object. */
export function parseObject(value: unknown): StoredObject {
	const fields = toJsonObject(value, 'a stored object');
	return typeof fields.key === 'string' && isVersion(fields.version) && typeof fields.value === 'string'
		? value as StoredObject
		: failMalformed('a stored object');
}

function parseEvent(value: unknown): ObjectEvent {
	const fields = toJsonObject(value, 'a change event');
	return typeof fields.key === 'string' && isVersion(fields.version) && (fields.value === undefined || typeof fields.value === 'string')
		? value as ObjectEvent
		: failMalformed('a change event');
}

/** Validates the response to a list. */
export function parseList(value: unknown): ObjectList {
	const {objects, version} = toJsonObject(value, 'an object list');
	return Array.isArray(objects) && isVersion(version)
		? {objects: objects.map(object => parseObject(object)), version: version as number}
		: failMalformed('an object list');
}

/** Validates the response to a watch. */
export function parseWatch(value: unknown): WatchResult {
	const {events, version} = toJsonObject(value, 'a watch result');
	return Array.isArray(events) && isVersion(version)
		? {events: events.map(event => parseEvent(event)), version: version as number}
		: failMalformed('a watch result');
}
