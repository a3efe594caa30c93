/** Wire formats of the object API. */
import {type ObjectList, type StoredObject, type WatchResult} from './types.js';

/** HTTP request of one call. */
export type StoreRequest = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	/** Path including the query string. */
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** One page of a list; `next` is where the next page starts, absent on the last page. */
export type ObjectPage = ObjectList & {
	readonly next?: string;
};

/** Headers of a response, their names in lower case. */
export type ResponseHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Formats requests and parses responses; a parser throws a `FailureError` with `platformMalformed` for an invalid response. */
export abstract class StoreDialect {
	abstract formatGet(key: string): StoreRequest;
	abstract formatList(prefix: string, after?: string): StoreRequest;
	abstract formatCreate(key: string, value: string): StoreRequest;
	abstract formatUpdate(key: string, value: string, version: number): StoreRequest;
	abstract formatRemove(key: string, version: number): StoreRequest;
	/** `waitMs` is the longest time that the store may wait for a change, in milliseconds. */
	abstract formatWatch(prefix: string, fromVersion: number, waitMs: number): StoreRequest;
	/** Returns the era of the store that the headers of a response name; undefined if they name none. */
	abstract findEra(headers: ResponseHeaders): number | undefined;
	abstract parseObject(response: unknown, key: string): StoredObject;
	abstract parsePage(response: unknown, prefix: string): ObjectPage;
	abstract parseWatch(response: unknown, prefix: string): WatchResult;
}
