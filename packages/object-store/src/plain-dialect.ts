/** The dialect of the project's own stand-in: versions in HTTP's conditional headers. */
import {parseList, parseObject, parseWatch} from './parse-responses.js';
import {StoreDialect, type ObjectPage, type StoreRequest} from './store-dialect.js';
import {type StoredObject, type WatchResult} from './types.js';

function formatPath(key: string): string {
	return `/objects/${encodeURIComponent(key)}`;
}

/** Keys are opaque text; values are the body of a call. */
export class PlainDialect extends StoreDialect {
	override formatGet(key: string): StoreRequest {
		return {method: 'GET', path: formatPath(key)};
	}

	override formatList(prefix: string): StoreRequest {
		return {method: 'GET', path: `/objects?prefix=${encodeURIComponent(prefix)}`};
	}

	override formatCreate(key: string, value: string): StoreRequest {
		return {
			method: 'PUT', path: formatPath(key), headers: {'if-none-match': '*'}, body: value,
		};
	}

	override formatUpdate(key: string, value: string, version: number): StoreRequest {
		return {
			method: 'PUT', path: formatPath(key), headers: {'if-match': String(version)}, body: value,
		};
	}

	override formatRemove(key: string, version: number): StoreRequest {
		return {method: 'DELETE', path: formatPath(key), headers: {'if-match': String(version)}};
	}

	override formatWatch(prefix: string, fromVersion: number, waitMs: number): StoreRequest {
		return {method: 'GET', path: `/watch?prefix=${encodeURIComponent(prefix)}&from=${fromVersion}&wait=${waitMs}`};
	}

	override parseObject(answer: unknown): StoredObject {
		return parseObject(answer);
	}

	override parsePage(answer: unknown): ObjectPage {
		return parseList(answer);
	}

	override parseWatch(answer: unknown): WatchResult {
		return parseWatch(answer);
	}
}
