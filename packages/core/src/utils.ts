/** Small helpers for ids, headers, addresses and collections. */
import {randomBytes} from 'node:crypto';
import {type Address, type RawHeaders} from './types.js';

const randomIdBytes = 9;

/** Creates a random id of 12 URL-safe characters. */
export function createRandomId(): string {
	return randomBytes(randomIdBytes).toString('base64url');
}

/** Finds the first value of a header; names are compared case-insensitively. */
export function findHeader(headers: RawHeaders, name: string): string | undefined {
	const lowerName = name.toLowerCase();
	const index = headers.findIndex((entry, position) => position % 2 === 0 && entry.toLowerCase() === lowerName);
	return index === -1 ? undefined : headers[index + 1];
}

/** Selects the headers whose lower-case name `accept` returns true for. */
export function selectHeaders(headers: RawHeaders, accept: (lowerName: string) => boolean): RawHeaders {
	return headers.filter((_, position) => accept(headers[position - (position % 2)]!.toLowerCase()));
}

/** Formats an address as `host:port`. */
export function formatAddress({host, port}: Address): string {
	return `${host}:${port}`;
}

/** Parses `host:port`, with an IPv6 host in brackets; returns undefined if the text is not an address. */
export function parseAddress(text: string): Address | undefined {
	const match = /^(?<host>[^:\s]+|\[[\da-f:]+\]):(?<port>\d{1,5})$/iv.exec(text.trim());
	const port = Number(match?.groups?.port);
	return match?.groups && port <= 65_535 ? {host: match.groups.host!.replaceAll(/[\[\]]/gv, ''), port} : undefined;
}

/** Groups items by key; groups and their items keep the order of the input. */
export function groupItems<Item, Key>(items: readonly Item[], getKey: (item: Item) => Key): ReadonlyMap<Key, readonly Item[]> {
	const groups = new Map<Key, Item[]>();
	items.forEach(item => {
		const key = getKey(item);
		const group = groups.get(key);
		if (group) {
			group.push(item);
		} else {
			groups.set(key, [item]);
		}
	});
	return groups;
}

/** Picks up to `count` items at random, each at most once. */
export function pickRandom<Item>(items: readonly Item[], count: number): readonly Item[] {
	return items
		.map(item => ({item, order: Math.random()}))
		.toSorted((a, b) => a.order - b.order)
		.slice(0, count)
		.map(({item}) => item);
}
