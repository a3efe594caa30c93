/** Loads of backend servers as this node sees them. */
import {type Failure, type LoadHint} from '@limpetbarrow/core';
import {type LoadView} from '@limpetbarrow/choose';

type TimedHint = {
	readonly hint: LoadHint;
	readonly recordedAt: number;
	readonly expiresAt: number;
};

/** Time after which a hint says nothing any more, in milliseconds. */
const hintLifetimeMs = 1000;
const maxHints = 4096;
/** Time for which a backend server without a retry to spare is asked for none, in milliseconds. */
const spentMs = 1000;

/** What waited when the hint was given has gone on since. */
function computeHint(hint: LoadHint, ageMs: number): LoadHint {
	return hint.waitMs === undefined ? hint : {...hint, waitMs: Math.max(0, hint.waitMs - ageMs)};
}

/** Counts requests in progress and keeps the latest hints. */
export class LoadTracker implements LoadView {
	readonly #inFlight = new Map<string, number>();
	readonly #hints = new Map<string, TimedHint>();
	readonly #spentUntil = new Map<string, number>();

	readonly countInFlight = (serverId: string): number => this.#inFlight.get(serverId) ?? 0;

	readonly getHint = (serverId: string): LoadHint | undefined => {
		const found = this.#hints.get(serverId);
		const now = performance.now();
		return found && now < found.expiresAt ? computeHint(found.hint, now - found.recordedAt) : undefined;
	};

	add(serverId: string, amount: 1 | -1): void {
		const count = this.countInFlight(serverId) + amount;
		if (count > 0) {
			this.#inFlight.set(serverId, count);
		} else {
			this.#inFlight.delete(serverId);
		}
	}

	/** True while a backend server is likely to have no retry to spare. */
	isSpent(serverId: string): boolean {
		return performance.now() < (this.#spentUntil.get(serverId) ?? 0);
	}

	/** Takes what a refusal says of the load there. */
	recordRefusal(serverId: string, {name, retryAfterMs}: Failure): void {
		const full = {serverId, freeSlots: 0, queued: 0};
		if (retryAfterMs !== undefined) {
			this.recordHint({...full, waitMs: retryAfterMs});
		}

		if (name === 'retriesSpent') {
			this.#recordSpent(serverId);
		}

		if (name === 'serverUnwell' || name === 'serverShed') {
			this.recordHint({...full, ...(name === 'serverShed' ? {isShedding: true} : {isUnwell: true})});
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

	/** Notes that a backend server had no retry to spare; the oldest of its window may have lapsed a while later. */
	#recordSpent(serverId: string): void {
		this.#spentUntil.delete(serverId);
		this.#spentUntil.set(serverId, performance.now() + spentMs);
		const [oldest] = this.#spentUntil.keys();
		if (this.#spentUntil.size > maxHints && oldest !== undefined) {
			this.#spentUntil.delete(oldest);
		}
	}
}
