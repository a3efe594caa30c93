/** The order in which queued requests of one priority are started: those of organisations in fair shares. */
import {type QueuedRequest} from './wait-queue.js';

/** Requests of one organisation, by due time. */
type Backlog<Item> = {
	readonly items: readonly Item[];
	readonly startTag: number;
};

type MergeState<Item> = {
	readonly order: readonly Item[];
	/** Requests without an organisation, by due time. */
	readonly plain: readonly Item[];
	readonly backlogs: ReadonlyArray<Backlog<Item>>;
};

/** Groups requests by a key, in the order of its first occurrence. */
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

/** Returns the backlog whose request goes first: the smallest tag, then the earliest due time. */
function findFirstBacklog<Item extends QueuedRequest>(backlogs: ReadonlyArray<Backlog<Item>>): Backlog<Item> | undefined {
	return backlogs.reduce<Backlog<Item> | undefined>((first, backlog) => {
		const difference = first ? backlog.startTag - first.startTag : -1;
		return difference < 0 || (difference === 0 && backlog.items[0]!.dueAt < first!.items[0]!.dueAt) ? backlog : first;
	}, undefined);
}

/** Moves the next request from its backlog, or from those without an organisation, to the end of the order. */
function addNext<Item extends QueuedRequest>({order, plain, backlogs}: MergeState<Item>): MergeState<Item> {
	const first = findFirstBacklog(backlogs);
	const [plainItem, ...laterPlain] = plain;
	const [item, ...later] = first?.items ?? [];
	if (plainItem && (!item || plainItem.dueAt <= item.dueAt)) {
		return {order: [...order, plainItem], plain: laterPlain, backlogs};
	}

	return item === undefined
		? {order, plain, backlogs}
		: {
			order: [...order, item],
			plain,
			backlogs: backlogs.flatMap(backlog => backlog === first ? (later.length > 0 ? [{items: later, startTag: backlog.startTag + item.workMs}] : []) : [backlog]),
		};
}

/**
 * Orders requests of one priority, which are given by due time. Those of organisations go by the start tags of their
 * organisations, and by due time within each. One without an organisation, such as a call that a running request waits for,
 * goes before the first of them if it is due no later than that one: it waits only for requests that are due before it, as it
 * would by due time alone.
 */
export function createFairOrder<Item extends QueuedRequest>(items: readonly Item[], getStartTag: (organisation: string) => number): readonly Item[] {
	const groups = groupItems(items, ({organisation}) => organisation);
	const start: MergeState<Item> = {
		order: [],
		plain: groups.get('') ?? [],
		backlogs: [...groups].filter(([organisation]) => organisation !== '').map(([organisation, own]) => ({items: own, startTag: getStartTag(organisation)})),
	};
	return items.reduce<MergeState<Item>>(state => addNext(state), start).order;
}
