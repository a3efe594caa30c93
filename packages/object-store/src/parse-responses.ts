/** Checks what the object API answers. */
import {createFailure, FailureError} from '@limpetbarrow/core';
import {
	type ObjectEvent, type ObjectList, type StoredObject, type WatchResult,
} from './types.js';

type JsonObject = Readonly<Record<string, unknown>>;

function failMalformed(what: string): never {
	throw new FailureError(createFailure('platformMalformed', `the answer is not ${what}`));
}

function toJsonObject(value: unknown, what: string): JsonObject {
	return typeof value === 'object' && value !== null ? value as JsonObject : failMalformed(what);
}

function isVersion(value: unknown): boolean {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Checks one object. */
export function parseObject(value: unknown): StoredObject {
	const fields = toJsonObject(value, 'an object');
	return typeof fields.key === 'string' && isVersion(fields.version) && typeof fields.value === 'string'
		? value as StoredObject
		: failMalformed('an object');
}

function parseEvent(value: unknown): ObjectEvent {
	const fields = toJsonObject(value, 'a change');
	return typeof fields.key === 'string' && isVersion(fields.version) && (fields.value === undefined || typeof fields.value === 'string')
		? value as ObjectEvent
		: failMalformed('a change');
}

/** Checks a list. */
export function parseList(value: unknown): ObjectList {
	const {objects, version} = toJsonObject(value, 'a list');
	return Array.isArray(objects) && isVersion(version)
		? {objects: objects.map(object => parseObject(object)), version: version as number}
		: failMalformed('a list');
}

/** Checks the answer of a watch. */
export function parseWatch(value: unknown): WatchResult {
	const {events, version} = toJsonObject(value, 'a watch');
	return Array.isArray(events) && isVersion(version)
		? {events: events.map(event => parseEvent(event)), version: version as number}
		: failMalformed('a watch');
}
