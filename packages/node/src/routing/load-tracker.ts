/** Load of the backend servers as observed by this node. */
import {type Failure, type LoadHint, type RequestHead} from '@limpetbarrow/core';
import {type LoadView} from '@limpetbarrow/choose';

type TimedHint = {
	readonly hint: LoadHint;
	readonly recordedAt: number;
	readonly expiresAt: number;
};

/** Time after which a hint is stale, in milliseconds. */
const hintLifetimeMs = 1000;
const maxHints = 4096;

/** Rank that tells waits apart: organisations have many, without them all requests share the hints. */
export function getRank({organisation, priority}: RequestHead): number | undefined {
	return organisation === '' ? undefined : priority;
}

function createKey(serverId: string, rank: number | undefined): string {
	return rank === undefined ? serverId : `${serverId} ${rank}`;
}

/** Reduces the wait time of a hint by its age, since the queue has advanced in the meantime. */
function computeAgedHint(hint: LoadHint, ageMs: number): LoadHint {
	return hint.waitMs === undefined ? hint : {...hint, waitMs: Math.max(0, hint.waitMs - ageMs)};
}

/** Counts the requests in flight and keeps the latest load hint of each backend server. */
export class LoadTracker implements LoadView {
	readonly #inFlight = new Map<string, number>();
	readonly #hints = new Map<string, TimedHint>();

	readonly countInFlight = (serverId: string): number => this.#inFlight.get(serverId) ?? 0;

	/** Returns the hint for requests of that rank, or the latest one if there is none. */
	readonly getHint = (serverId: string, rank?: number): LoadHint | undefined => {
		const now = performance.now();
		const found = [this.#hints.get(createKey(serverId, rank)), this.#hints.get(serverId)].find(hint => hint !== undefined && now < hint.expiresAt);
		return found && computeAgedHint(found.hint, now - found.recordedAt);
	};

	addInFlight(serverId: string, amount: 1 | -1): void {
		const count = this.countInFlight(serverId) + amount;
		if (count > 0) {
			this.#inFlight.set(serverId, count);
		} else {
			this.#inFlight.delete(serverId);
		}
	}

	/** Records what the refusal of a request says of the backend server's load. */
	recordRefusal(serverId: string, {name, retryAfterMs}: Failure, rank?: number): void {
		const noSlots = {serverId, freeSlots: 0, queued: 0};
		if (retryAfterMs !== undefined) {
			this.recordHint({...noSlots, waitMs: retryAfterMs}, rank);
		} else if (name === 'serverUnwell') {
			this.recordHint({...noSlots, isUnwell: true}, rank);
		} else if (name === 'serverShed') {
			this.recordHint({...noSlots, isShedding: true}, rank);
		}
	}

	/** Records a hint that a request of that rank got; requests of other ranks wait longer or shorter. */
	recordHint(hint: LoadHint, rank?: number): void {
		const recordedAt = performance.now();
		const timedHint = {hint, recordedAt, expiresAt: recordedAt + hintLifetimeMs};
		new Set([hint.serverId, createKey(hint.serverId, rank)]).forEach(key => {
			this.#setHint(key, timedHint);
		});
	}

	#setHint(key: string, hint: TimedHint): void {
		this.#hints.delete(key);
		this.#hints.set(key, hint);
		const [oldest] = this.#hints.keys();
		if (this.#hints.size > maxHints && oldest !== undefined) {
			this.#hints.delete(oldest);
		}
	}
}
