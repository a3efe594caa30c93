/** Queue of the updates that this node still has to send. */
import {maxQueuedUpdates, transmissionFactors} from './constants.js';
import {type MemberUpdate, type UpdatePriority} from './types.js';

type QueuedUpdate = {
	readonly update: MemberUpdate;
	readonly bytes: number;
	readonly priority: UpdatePriority;
	readonly sent: number;
};

/**
 * Limits up to this number of bytes are for piggybacked updates. With a higher limit, which is for a datagram of its own, a
 * single update that alone exceeds the limit is sent by itself.
 */
const maxPiggybackBudgetBytes = 1000;

const minUpdateBytes = 16;
const levelsPerPriority = 24;

const priorityRanks: Readonly<Record<UpdatePriority, number>> = {urgent: 0, normal: 1, low: 2};

function getUpdateKey(update: MemberUpdate): string {
	return update.kind === 'part' ? `${update.id}/${update.part.slot}` : `${update.id}/status`;
}

/** Updates taken from the queue, and their total size. */
export type UpdateBatch = {
	readonly updates: readonly MemberUpdate[];
	readonly bytes: number;
};

/** Computes how often an update is sent before it leaves the queue; `memberCount` is the fleet's size. */
export function computeTransmissions(priority: UpdatePriority, memberCount: number): number {
	return transmissionFactors[priority] * Math.ceil(Math.log10(memberCount + 1));
}

/** Keeps each update until it was sent often enough. Urgent updates go first; of one priority, those sent the fewest times. */
export class UpdateQueue {
	/** Updates by priority and number of sends, in the order in which they are sent. */
	readonly #levels: ReadonlyArray<Map<string, QueuedUpdate>> = Array.from({length: 3 * levelsPerPriority}, () => new Map<string, QueuedUpdate>());
	readonly #levelIndexByKey = new Map<string, number>();
	readonly #measureBytes: (update: MemberUpdate) => number;

	constructor(measureBytes: (update: MemberUpdate) => number) {
		this.#measureBytes = measureBytes;
	}

	/** Adds an update. It replaces a queued update of the same part or status. */
	add(update: MemberUpdate, priority: UpdatePriority): void {
		this.#set({
			update, priority, bytes: this.#measureBytes(update), sent: 0,
		});
		if (this.#levelIndexByKey.size > maxQueuedUpdates) {
			const [oldest] = this.#levelIndexByKey.keys();
			this.#remove(oldest!);
		}
	}

	count(): number {
		return this.#levelIndexByKey.size;
	}

	hasUrgent(): boolean {
		return this.#levels.slice(0, levelsPerPriority).some(level => level.size > 0);
	}

	/**
	 * Takes updates of at most `maxBytes` that are sent to `receiverCount` members; `memberCount` is the fleet's size. With
	 * `isUrgentOnly` it takes only urgent updates.
	 */
	take(maxBytes: number, receiverCount: number, memberCount: number, isUrgentOnly = false): UpdateBatch {
		const levels = (isUrgentOnly ? this.#levels.slice(0, levelsPerPriority) : this.#levels).filter(level => level.size > 0);
		let bytes = 0;
		const chosen = levels.flatMap(level => bytes > maxBytes - minUpdateBytes
			? []
			: [...level.values()].filter(item => {
				const isSentAlone = bytes === 0 && item.bytes > maxBytes && maxBytes > maxPiggybackBudgetBytes;
				if (bytes + item.bytes > maxBytes && !isSentAlone) {
					return false;
				}

				bytes += item.bytes;
				return true;
			}));
		chosen.forEach(item => {
			this.#recordSent(item, receiverCount, memberCount);
		});
		return {updates: chosen.map(({update}) => update), bytes};
	}

	#set(item: QueuedUpdate): void {
		const key = getUpdateKey(item.update);
		const level = (priorityRanks[item.priority] * levelsPerPriority) + Math.min(item.sent, levelsPerPriority - 1);
		this.#remove(key);
		this.#levelIndexByKey.set(key, level);
		this.#levels[level]!.set(key, item);
	}

	#remove(key: string): void {
		const level = this.#levelIndexByKey.get(key);
		if (level !== undefined) {
			this.#levelIndexByKey.delete(key);
			this.#levels[level]!.delete(key);
		}
	}

	#recordSent(item: QueuedUpdate, receiverCount: number, memberCount: number): void {
		const sent = item.sent + receiverCount;
		if (sent >= computeTransmissions(item.priority, memberCount)) {
			this.#remove(getUpdateKey(item.update));
		} else {
			this.#set({...item, sent});
		}
	}
}
