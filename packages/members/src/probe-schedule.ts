/** Order in which members are probed: each once, in shuffled order, then anew. */

/** Shuffles a list. */
export function toShuffled<Item>(items: readonly Item[], getRandomNumber: () => number): readonly Item[] {
	return items
		.map(item => ({item, key: getRandomNumber()}))
		.toSorted((a, b) => a.key - b.key)
		.map(({item}) => item);
}

/** Picks up to `count` different items at random. */
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

/** Gives out member ids in turn. */
export class ProbeSchedule {
	readonly #getRandomNumber: () => number;
	#remaining: readonly string[] = [];

	constructor(getRandomNumber: () => number) {
		this.#getRandomNumber = getRandomNumber;
	}

	/** The next of `ids` to be probed; undefined when there is none. `selectCycle` says which of them a new cycle takes in. */
	pick(ids: ReadonlySet<string>, selectCycle = (candidates: readonly string[]): readonly string[] => candidates): string | undefined {
		const remaining = this.#remaining.filter(id => ids.has(id));
		const [next, ...rest] = remaining.length > 0 ? remaining : toShuffled(selectCycle(toShuffled([...ids], this.#getRandomNumber)), this.#getRandomNumber);
		this.#remaining = rest;
		return next;
	}
}
