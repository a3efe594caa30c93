/** Load of the backend servers as observed by this node. */
import {type Failure, type LoadHint} from '@limpetbarrow/core';
import {type LoadView} from '@limpetbarrow/choose';

type TimedHint = {
	readonly hint: LoadHint;
	readonly recordedAt: number;
	readonly expiresAt: number;
};

/** Time after which a hint is stale, in milliseconds. */
const hintLifetimeMs = 1000;
const maxHints = 4096;

/** Reduces the wait time of a hint by its age, since the queue has advanced in the meantime. */
function computeAgedHint(hint: LoadHint, ageMs: number): LoadHint {
	return hint.waitMs === undefined ? hint : {...hint, waitMs: Math.max(0, hint.waitMs - ageMs)};
}

/** Counts the requests in flight and keeps the latest load hint of each backend server. */
export class LoadTracker implements LoadView {
	readonly #inFlight = new Map<string, number>();
	readonly #hints = new Map<string, TimedHint>();

	readonly countInFlight = (serverId: string): number => this.#inFlight.get(serverId) ?? 0;

	readonly getHint = (serverId: string): LoadHint | undefined => {
		const found = this.#hints.get(serverId);
		const now = performance.now();
		return found && now < found.expiresAt ? computeAgedHint(found.hint, now - found.recordedAt) : undefined;
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
	recordRefusal(serverId: string, {name, retryAfterMs}: Failure): void {
		const noSlots = {serverId, freeSlots: 0, queued: 0};
		if (retryAfterMs !== undefined) {
			this.recordHint({...noSlots, waitMs: retryAfterMs});
		} else if (name === 'serverUnwell') {
			this.recordHint({...noSlots, isUnwell: true});
		} else if (name === 'serverShed') {
			this.recordHint({...noSlots, isShedding: true});
		}
	}

	recordHint(hint: LoadHint): void {
		this.#hints.delete(hint.serverId);
		const recordedAt = performance.now();
		this.#hints.set(hint.serverId, {hint, recordedAt, expiresAt: recordedAt + hintLifetimeMs});
		const [oldest] = this.#hints.keys();
		if (this.#hints.size > maxHints && oldest !== undefined) {
			this.#hints.delete(oldest);
		}
	}
}
