/** Wire format of the project's own stand-in for the platform: versions are sent in `if-match` and `if-none-match` headers. */
import {parseList, parseObject, parseWatch} from './parse-responses.js';
import {StoreDialect, type ObjectPage, type StoreRequest} from './store-dialect.js';
import {type StoredObject, type WatchResult} from './types.js';

function formatPath(key: string): string {
	return `/objects/${encodeURIComponent(key)}`;
}

/** Sends a key as one encoded path segment and a value as the request body. */
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

	override findEra(): undefined {
		return undefined;
	}

	override parseObject(response: unknown): StoredObject {
		return parseObject(response);
	}

	override parsePage(response: unknown): ObjectPage {
		return parseList(response);
	}

	override parseWatch(response: unknown): WatchResult {
		return parseWatch(response);
	}
}
