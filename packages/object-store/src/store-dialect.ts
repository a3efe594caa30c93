/** How the object API's calls look on the wire. */
import {type ObjectList, type StoredObject, type WatchResult} from './types.js';

/** One call as HTTP sees it. */
export type StoreRequest = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	/** Path with query. */
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** One page of a list; `next` names where the next page begins. */
export type ObjectPage = ObjectList & {
	readonly next?: string;
};

/** Writes calls and reads answers; a reader throws `platformMalformed` for what it can't read. */
export abstract class StoreDialect {
	abstract formatGet(key: string): StoreRequest;
	abstract formatList(prefix: string, after?: string): StoreRequest;
	abstract formatCreate(key: string, value: string): StoreRequest;
	abstract formatUpdate(key: string, value: string, version: number): StoreRequest;
	abstract formatRemove(key: string, version: number): StoreRequest;
	/** `waitMs` is the longest time the store may wait for a change. */
	abstract formatWatch(prefix: string, fromVersion: number, waitMs: number): StoreRequest;
	abstract parseObject(answer: unknown, key: string): StoredObject;
	abstract parsePage(answer: unknown, prefix: string): ObjectPage;
	abstract parseWatch(answer: unknown, prefix: string): WatchResult;
}
