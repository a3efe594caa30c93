/**
 * Decides how long the watches of a node wait. A connection that went silent is only noticed when a watch on it gets no
 * answer in its time. So that one of a fleet's watches soon ends, whatever the moment, their ends are spread over time:
 * a node that may begin to watch at the same moment as others draws its first wait at random, and a small fleet waits less.
 */

/** Mean time between the ends of two watches, over the whole fleet, in milliseconds; short against the time in which a change must be in force. */
const fleetRenewalPeriodMs = 500;
/** Bounds of a wait, in milliseconds. The upper one limits how old a silent connection gets, the lower one the calls of a node. */
const minWaitMs = 1000;
const maxWaitMs = 10_000;

/** Computes how long a watch waits when so many nodes watch, in milliseconds. */
export function computeWatchWaitMs(watcherCount: number): number {
	return Math.min(maxWaitMs, Math.max(minWaitMs, fleetRenewalPeriodMs * watcherCount));
}

/** Chooses the waits of one node's watches. */
export class WatchSchedule {
	readonly #countWatchers: () => number;
	readonly #random: () => number;
	#isAligned = true;

	/** `countWatchers` returns the number of nodes that watch as far as this node knows, itself included. */
	constructor(countWatchers: () => number, random: () => number) {
		this.#countWatchers = countWatchers;
		this.#random = random;
	}

	/** Notes that the next watch may begin at the same moment as those of other nodes: after a start, a read or a change. */
	markAligned(): void {
		this.#isAligned = true;
	}

	/** Chooses the wait of the next watch, in milliseconds. */
	chooseWaitMs(): number {
		const share = this.#isAligned ? this.#random() : 1;
		this.#isAligned = false;
		return Math.max(1, Math.round(computeWatchWaitMs(this.#countWatchers()) * share));
	}

	/** True when a watch with this wait has lasted too long for the nodes that watch by now, because the others are out of touch. */
	isOverdue(waitMs: number, elapsedMs: number): boolean {
		const currentWaitMs = computeWatchWaitMs(this.#countWatchers());
		return waitMs > currentWaitMs && elapsedMs > currentWaitMs;
	}
}
