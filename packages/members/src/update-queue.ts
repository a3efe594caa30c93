/** Changes that this node still has to pass on. */
import {maxQueuedUpdates, transmissionFactors} from './constants.js';
import {type MemberUpdate, type UpdatePriority} from './types.js';

type QueuedUpdate = {
	readonly update: MemberUpdate;
	readonly bytes: number;
	readonly priority: UpdatePriority;
	readonly sent: number;
};

/** A batch above this size may be one change that alone exceeds it. */
const maxSharedBytes = 1000;

const ranks: Readonly<Record<UpdatePriority, number>> = {urgent: 0, normal: 1, quiet: 2};

function getKey(update: MemberUpdate): string {
	return update.kind === 'part' ? `${update.id}/${update.part.slot}` : `${update.id}/status`;
}

function compareUpdates(one: QueuedUpdate, other: QueuedUpdate): number {
	return (ranks[one.priority] - ranks[other.priority]) || (one.sent - other.sent);
}

/** Chosen changes with their size. */
export type UpdateBatch = {
	readonly updates: readonly MemberUpdate[];
	readonly bytes: number;
};

/** Sends of a change until it is dropped, for a fleet of `members`. */
export function computeTransmissions(priority: UpdatePriority, members: number): number {
	return transmissionFactors[priority] * Math.ceil(Math.log10(members + 1));
}

/** Keeps each change until it was sent often enough; urgent and fresh ones go first. */
export class UpdateQueue {
	readonly #items = new Map<string, QueuedUpdate>();
	readonly #measureBytes: (update: MemberUpdate) => number;

	constructor(measureBytes: (update: MemberUpdate) => number) {
		this.#measureBytes = measureBytes;
	}

	/** Adds a change in place of an older one of the same subject. */
	add(update: MemberUpdate, priority: UpdatePriority): void {
		const key = getKey(update);
		this.#items.delete(key);
		this.#items.set(key, {
			update, priority, bytes: this.#measureBytes(update), sent: 0,
		});
		if (this.#items.size > maxQueuedUpdates) {
			const [oldest] = this.#items.keys();
			this.#items.delete(oldest!);
		}
	}

	count(): number {
		return this.#items.size;
	}

	hasUrgent(): boolean {
		return [...this.#items.values()].some(({priority}) => priority === 'urgent');
	}

	/** Takes changes of at most `maxBytes` to be sent to `receivers` members; `isUrgentOnly` leaves the others. */
	take(maxBytes: number, receivers: number, members: number, isUrgentOnly = false): UpdateBatch {
		if (this.#items.size === 0) {
			return {updates: [], bytes: 0};
		}

		const waiting = [...this.#items.values()].filter(({priority}) => !isUrgentOnly || priority === 'urgent');
		let bytes = 0;
		const chosen = waiting.toSorted(compareUpdates).filter(item => {
			const isLone = bytes === 0 && item.bytes > maxBytes && maxBytes > maxSharedBytes;
			if (bytes + item.bytes > maxBytes && !isLone) {
				return false;
			}

			bytes += item.bytes;
			return true;
		});
		chosen.forEach(item => {
			this.#recordSent(item, receivers, members);
		});
		return {updates: chosen.map(({update}) => update), bytes};
	}

	#recordSent(item: QueuedUpdate, receivers: number, members: number): void {
		const sent = item.sent + receivers;
		const key = getKey(item.update);
		if (sent >= computeTransmissions(item.priority, members)) {
			this.#items.delete(key);
		} else {
			this.#items.set(key, {...item, sent});
		}
	}
}
