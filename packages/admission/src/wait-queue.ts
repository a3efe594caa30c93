/**
 * Requests that wait for a slot: the most urgent first, and among equals the one whose answer is due first.
 *
 * It answers overload in which urgent and less urgent work share the same slots: what is urgent never waits behind what
 * is not, a short call that another request waits for goes before long work of its rank, and a request that can't end
 * within its time any more leaves the queue without taking a slot.
 */

/** What orders a waiting request. */
export type QueuedRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time by which the request's answer is due, in milliseconds. */
	readonly dueAt: number;
	/** Monotonic time after which starting the request makes no sense, in milliseconds. */
	readonly latestStartAt: number;
	/** Expected duration, in milliseconds. */
	readonly workMs: number;
};

/** Keeps waiting requests in order. */
export class WaitQueue<Item extends QueuedRequest> {
	#items: readonly Item[] = [];

	count(): number {
		return this.#items.length;
	}

	/** Waiting requests, the next first. */
	list(): readonly Item[] {
		return this.#items;
	}

	/** Requests that would be started before one of that priority that came now. */
	selectAhead(priority: number): readonly Item[] {
		return this.#items.filter(item => item.priority <= priority);
	}

	add(item: Item): void {
		const position = this.#items.findIndex(other => other.priority > item.priority || (other.priority === item.priority && other.dueAt > item.dueAt));
		this.#items = position === -1 ? [...this.#items, item] : this.#items.toSpliced(position, 0, item);
	}

	remove(item: Item): void {
		this.#items = this.#items.filter(other => other !== item);
	}

	/** Takes out the requests whose time is up. */
	removeExpired(now: number): readonly Item[] {
		const expired = this.#items.filter(({latestStartAt}) => latestStartAt < now);
		this.#items = expired.length === 0 ? this.#items : this.#items.filter(({latestStartAt}) => latestStartAt >= now);
		return expired;
	}

	/** Takes the next request out. */
	takeNext(): Item | undefined {
		const [next, ...rest] = this.#items;
		this.#items = rest;
		return next;
	}
}
