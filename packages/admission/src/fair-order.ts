/** The order in which queued requests of one priority are started: those of organisations in fair shares. */
import {groupItems} from '@limpetbarrow/core';
import {type QueuedRequest} from './wait-queue.js';

/** A request of an organisation with the virtual time at which it is due to start. */
type TaggedItem<Item> = {
	readonly item: Item;
	readonly startTag: number;
};

/** Creates the tags of the requests of one organisation, whose next one has `startTag`. */
function createTaggedItems<Item extends QueuedRequest>(items: readonly Item[], startTag: number): ReadonlyArray<TaggedItem<Item>> {
	let tag = startTag;
	return items.map(item => {
		const tagged = {item, startTag: tag};
		tag += item.workMs;
		return tagged;
	});
}

/**
 * Orders requests of one priority, which are given by due time. Those of organisations go by the start tags of their
 * organisations, and by due time within each. One without an organisation, such as a call that a running request waits for,
 * goes before the first of them if it is due no later than that one: it waits only for requests that are due before it, as it
 * would by due time alone.
 */
export function createFairOrder<Item extends QueuedRequest>(items: readonly Item[], getStartTag: (organisation: string) => number): readonly Item[] {
	const groups = groupItems(items, ({organisation}) => organisation);
	const plain = groups.get('') ?? [];
	const shared = [...groups]
		.flatMap(([organisation, own]) => organisation === '' ? [] : createTaggedItems(own, getStartTag(organisation)))
		.toSorted((one, other) => one.startTag - other.startTag || one.item.dueAt - other.item.dueAt);
	let plainCount = 0;
	const order = shared.flatMap(({item}) => {
		const later = plain.findIndex((other, index) => index >= plainCount && other.dueAt > item.dueAt);
		const before = plain.slice(plainCount, later === -1 ? plain.length : later);
		plainCount += before.length;
		return [...before, item];
	});
	return [...order, ...plain.slice(plainCount)];
}
