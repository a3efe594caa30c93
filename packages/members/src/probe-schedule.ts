/** Order in which members are probed: each once, in shuffled order, then anew. */

/** Shuffles a list. */
export function pickShuffled<Item>(items: readonly Item[], pickNext: () => number): readonly Item[] {
	return items
		.map(item => ({item, key: pickNext()}))
		.toSorted((a, b) => a.key - b.key)
		.map(({item}) => item);
}

/** Picks up to `count` different items at random. */
export function pickSome<Item>(items: readonly Item[], count: number, pickNext: () => number): readonly Item[] {
	if (items.length <= count) {
		return items;
	}

	const picked = new Set<Item>();
	Array.from({length: count * 3}).forEach(() => {
		const item = items[Math.floor(pickNext() * items.length)]!;
		if (picked.size < count) {
			picked.add(item);
		}
	});
	return [...picked];
}

/** Gives out member ids in turn. */
export class ProbeSchedule {
	readonly #pickNext: () => number;
	#left: readonly string[] = [];

	constructor(pickNext: () => number) {
		this.#pickNext = pickNext;
	}

	/** The next of `ids` to be probed; undefined when there is none. `selectCycle` says which of them a new cycle takes in. */
	pick(ids: ReadonlySet<string>, selectCycle = (candidates: readonly string[]): readonly string[] => candidates): string | undefined {
		const left = this.#left.filter(id => ids.has(id));
		const [next, ...rest] = left.length > 0 ? left : pickShuffled(selectCycle(pickShuffled([...ids], this.#pickNext)), this.#pickNext);
		this.#left = rest;
		return next;
	}
}
