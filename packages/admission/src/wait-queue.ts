/**
 * Priority queue of requests that wait for a slot: ordered by priority, then in fair shares between organisations, then by
 * the earliest due time. Requests that were advanced go before all others; `PriorityAllowance` limits their work.
 *
 * Under overload, urgent and less urgent requests share the same slots. An urgent request never waits behind a less
 * urgent one, a short call that another request depends on is started before long work of the same priority, and a request
 * that can no longer end in time leaves the queue without taking a slot. The backlog of one organisation doesn't delay
 * another: each gets the same share of the work, and unused shares are divided among the rest. Requests without an
 * organisation are ordered by due time alone.
 */
import {groupItems} from '@limpetbarrow/core';
import {createFairOrder} from './fair-order.js';
import {FairShares} from './fair-shares.js';

/** The properties of a queued request that its position and its removal depend on. */
export type QueuedRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Organisation that sent the request; empty for none. */
	readonly organisation: string;
	/** Monotonic time by which the request's answer is due, in milliseconds. */
	readonly dueAt: number;
	/** Monotonic time after which the request can't end in time, in milliseconds. */
	readonly latestStartAt: number;
	/** Expected duration, in milliseconds. */
	readonly workMs: number;
};

/** The properties of a request that may be queued; `organisation` is undefined for any organisation that has no requests here. */
export type NewRequest = Pick<QueuedRequest, 'priority' | 'dueAt' | 'workMs'> & {
	readonly organisation: string | undefined;
};

/** Stands for an organisation that has no requests here; no organisation has this name. */
const absentOrganisation = '\0';

function listOrganisations(items: readonly QueuedRequest[], priority: number): ReadonlySet<string> {
	return new Set(items.filter(item => item.priority === priority && item.organisation !== '').map(({organisation}) => organisation));
}

function addByDueTime<Item extends QueuedRequest>(items: readonly Item[], item: Item): readonly Item[] {
	const position = items.findIndex(other => other.priority > item.priority || (other.priority === item.priority && other.dueAt > item.dueAt));
	return position === -1 ? [...items, item] : items.toSpliced(position, 0, item);
}

/** Requests that wait for a slot of one backend server. */
export class WaitQueue<Item extends QueuedRequest> {
	/** The queued requests by priority, then by due time. */
	#items: readonly Item[] = [];
	/** The order in which they are started, if it has been computed since the last change. */
	#order: readonly Item[] | undefined;
	/** The requests that go before all others, whatever their priority. */
	readonly #advanced = new Set<QueuedRequest>();
	/** Start tags of the organisations by priority, for the priorities that organisations have requests of. */
	readonly #shares = new Map<number, FairShares>();

	count(): number {
		return this.#items.length;
	}

	/** Lists the queued requests in the order in which they are started. */
	list(): readonly Item[] {
		this.#order ??= this.#computeOrder(this.#items);
		return this.#order;
	}

	/**
	 * Selects the requests that would be started before a new one. For one without an organisation these are all of its
	 * priority without an organisation, whatever their due time, and those of organisations that would go before it.
	 */
	selectAhead({organisation = absentOrganisation, ...request}: NewRequest): readonly Item[] {
		if (organisation === '' && this.#shares.size === 0) {
			return this.list().filter(item => item.priority <= request.priority || this.#advanced.has(item));
		}

		const newItem: QueuedRequest = {...request, organisation, latestStartAt: Number.POSITIVE_INFINITY};
		const order = this.#computeOrder<QueuedRequest>(addByDueTime<QueuedRequest>(this.#items, newItem));
		const ahead = new Set(order.slice(0, order.indexOf(newItem)));
		return this.list().filter(item => ahead.has(item) || (organisation === '' && item.organisation === '' && item.priority === request.priority));
	}

	/** Moves a queued request before all that aren't advanced. */
	advance(item: Item): void {
		this.#advanced.add(item);
		this.#order = undefined;
	}

	/** Lists the advanced requests in the order in which they are started. */
	listAdvanced(): readonly Item[] {
		return this.#selectAdvanced(this.#items);
	}

	/**
	 * Finds the request that gives way to a new one when the queue is full: the last one of the organisation with most work in
	 * the queue, among those of no better priority than the new one. Undefined unless that is more work than the organisation of
	 * the new one would have with it. All requests without an organisation count as one organisation, and none of them gives way.
	 */
	findDisplaced({organisation = absentOrganisation, priority, workMs}: NewRequest): Item | undefined {
		const workOf = new Map([...groupItems(this.#items, item => item.organisation)].map(([name, items]) => [name, items.reduce((sum, item) => sum + item.workMs, 0)]));
		const newWorkMs = (workOf.get(organisation) ?? 0) + workMs;
		return this.list()
			.filter(item => item.organisation !== '' && item.organisation !== organisation && !this.#advanced.has(item) && item.priority >= priority && workOf.get(item.organisation)! > newWorkMs)
			.reduce<Item | undefined>((found, item) => found && workOf.get(found.organisation)! > workOf.get(item.organisation)! ? found : item, undefined);
	}

	add(item: Item): void {
		const {organisation, priority} = item;
		if (organisation !== '' && !listOrganisations(this.#items, priority).has(organisation)) {
			const shares = this.#shares.get(priority) ?? new FairShares();
			this.#shares.set(priority, shares);
			shares.recordArrival(organisation);
		}

		this.#replaceItems(addByDueTime(this.#items, item));
	}

	remove(item: Item): void {
		this.#replaceItems(this.#items.filter(other => other !== item));
	}

	/** Removes and returns the requests whose latest start time has passed. */
	removeExpired(now: number): readonly Item[] {
		const expired = this.list().filter(({latestStartAt}) => latestStartAt < now);
		if (expired.length > 0) {
			this.#replaceItems(this.#items.filter(({latestStartAt}) => latestStartAt >= now));
		}

		return expired;
	}

	/** Removes and returns the next request, or the next one that is ready. */
	takeNext(isReady: (item: Item) => boolean = () => true): Item | undefined {
		const next = this.list().find(item => isReady(item));
		if (next) {
			const {organisation, priority, workMs} = next;
			const queued = listOrganisations(this.#items, priority);
			const items = this.#items.filter(other => other !== next);
			if (organisation !== '') {
				this.#shares.get(priority)?.recordStart(organisation, workMs, {queued, left: listOrganisations(items, priority)});
			}

			this.#replaceItems(items);
		}

		return next;
	}

	/** Forgets the shares of priorities that no organisation waits with: there is nothing to share then. */
	#replaceItems(items: readonly Item[]): void {
		this.#items = items;
		this.#order = undefined;
		[...this.#advanced].filter(item => !items.includes(item as Item)).forEach(item => {
			this.#advanced.delete(item);
		});
		[...this.#shares].forEach(([priority, shares]) => {
			const queued = listOrganisations(items, priority);
			if (queued.size === 0) {
				this.#shares.delete(priority);
			} else {
				shares.sweep(queued);
			}
		});
	}

	#computeOrder<Ordered extends QueuedRequest>(items: readonly Ordered[]): readonly Ordered[] {
		const advanced = this.#selectAdvanced(items);
		return advanced.length === 0 ? this.#computePriorityOrder(items) : [...advanced, ...this.#computePriorityOrder(items.filter(item => !this.#advanced.has(item)))];
	}

	#selectAdvanced<Ordered extends QueuedRequest>(items: readonly Ordered[]): readonly Ordered[] {
		return this.#advanced.size === 0 ? [] : items.filter(item => this.#advanced.has(item)).toSorted((one, other) => one.dueAt - other.dueAt);
	}

	#computePriorityOrder<Ordered extends QueuedRequest>(items: readonly Ordered[]): readonly Ordered[] {
		if (items.every(({organisation}) => organisation === '')) {
			return items;
		}

		return [...groupItems(items, ({priority}) => priority)].flatMap(([priority, own]) => {
			const queued = listOrganisations(this.#items, priority);
			const shares = this.#shares.get(priority);
			return createFairOrder(own, organisation => shares?.getStartTag(organisation, queued.has(organisation)) ?? 0);
		});
	}
}
