/** Order in which members are probed: cycles that contain each selected member once, in random order. */

/** Returns the items in random order. */
export function toShuffled<Item>(items: readonly Item[], getRandomNumber: () => number): readonly Item[] {
	return items
		.map(item => ({item, key: getRandomNumber()}))
		.toSorted((a, b) => a.key - b.key)
		.map(({item}) => item);
}

/**
 * Picks up to `count` different items at random, in at most 3 * `count` draws. It may return fewer items than `count` if
 * draws repeat.
 */
export function pickSample<Item>(items: readonly Item[], count: number, getRandomNumber: () => number): readonly Item[] {
	if (items.length <= count) {
		return items;
	}

	const picked = new Set<Item>();
	Array.from({length: count * 3}).forEach(() => {
		const item = items[Math.floor(getRandomNumber() * items.length)]!;
		if (picked.size < count) {
			picked.add(item);
		}
	});
	return [...picked];
}

/** Returns member ids one after the other, in cycles. */
export class ProbeSchedule {
	readonly #getRandomNumber: () => number;
	#remaining: readonly string[] = [];

	constructor(getRandomNumber: () => number) {
		this.#getRandomNumber = getRandomNumber;
	}

	/** Returns the next of `ids` to probe; undefined if there is none. `selectCycle` selects the ids of a new cycle. */
	pick(ids: ReadonlySet<string>, selectCycle = (candidates: readonly string[]): readonly string[] => candidates): string | undefined {
		const remaining = this.#remaining.filter(id => ids.has(id));
		const [next, ...rest] = remaining.length > 0 ? remaining : toShuffled(selectCycle(toShuffled([...ids], this.#getRandomNumber)), this.#getRandomNumber);
		this.#remaining = rest;
		return next;
	}
}
