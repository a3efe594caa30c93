/** Events of a model in the order of their time. */

type TimedEvent = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

/** Binary heap of events; events of the same time run in the order they were added. */
export class EventQueue {
	readonly #heap: TimedEvent[] = [];
	#order = 0;
	#now = 0;

	getNow(): number {
		return this.#now;
	}

	/** Adds an event that runs after a delay. */
	add(delay: number, run: () => void): void {
		this.#order++;
		this.#heap.push({at: this.#now + delay, order: this.#order, run});
		this.#updateUpward(this.#heap.length - 1);
	}

	/** Runs events until a time. */
	runUntil(end: number): void {
		let next = this.#takeNext(end);
		while (next) {
			this.#now = next.at;
			next.run();
			next = this.#takeNext(end);
		}
	}

	#takeNext(end: number): TimedEvent | undefined {
		const [first] = this.#heap;
		if (first === undefined || first.at > end) {
			return undefined;
		}

		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#updateDownward(0);
		}

		return first;
	}

	#isBefore(a: number, b: number): boolean {
		const first = this.#heap[a]!;
		const second = this.#heap[b]!;
		return first.at < second.at || (first.at === second.at && first.order < second.order);
	}

	#replace(a: number, b: number): void {
		const first = this.#heap[a]!;
		this.#heap[a] = this.#heap[b]!;
		this.#heap[b] = first;
	}

	#updateUpward(index: number): void {
		const parent = Math.floor((index - 1) / 2);
		if (index > 0 && this.#isBefore(index, parent)) {
			this.#replace(index, parent);
			this.#updateUpward(parent);
		}
	}

	#updateDownward(index: number): void {
		const children = [(2 * index) + 1, (2 * index) + 2].filter(child => child < this.#heap.length);
		const smallest = children.reduce((best, child) => this.#isBefore(child, best) ? child : best, index);
		if (smallest !== index) {
			this.#replace(index, smallest);
			this.#updateDownward(smallest);
		}
	}
}
