/**
 * Priority queue of requests that wait for a slot: ordered by priority, then by the earliest due time.
 *
 * Under overload, urgent and less urgent requests share the same slots. An urgent request never waits behind a less
 * urgent one, a short call that another request depends on is started before long work of the same priority, and a request
 * that can no longer end in time leaves the queue without taking a slot.
 */

/** The properties of a queued request that its position and its removal depend on. */
export type QueuedRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time by which the request's answer is due, in milliseconds. */
	readonly dueAt: number;
	/** Monotonic time after which the request can't end in time, in milliseconds. */
	readonly latestStartAt: number;
	/** Expected duration, in milliseconds. */
	readonly workMs: number;
};

/** Requests that wait for a slot of one backend server. */
export class WaitQueue<Item extends QueuedRequest> {
	#items: readonly Item[] = [];

	count(): number {
		return this.#items.length;
	}

	/** Lists the queued requests in the order in which they are started. */
	list(): readonly Item[] {
		return this.#items;
	}

	/** Selects the requests that would be started before a new one of the priority. */
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

	/** Removes and returns the requests whose latest start time has passed. */
	removeExpired(now: number): readonly Item[] {
		const expired = this.#items.filter(({latestStartAt}) => latestStartAt < now);
		this.#items = expired.length === 0 ? this.#items : this.#items.filter(({latestStartAt}) => latestStartAt >= now);
		return expired;
	}

	/** Removes and returns the next request, or the next one that is ready. */
	takeNext(isReady: (item: Item) => boolean = () => true): Item | undefined {
		const next = this.#items.find(item => isReady(item));
		if (next) {
			this.remove(next);
		}

		return next;
	}
}
