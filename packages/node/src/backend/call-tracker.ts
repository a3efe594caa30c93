/**
 * Tracks the calls that a backend server makes for the requests it runs.
 *
 * It keeps failures of one service from being held against another: a backend server whose call fails elsewhere answers with
 * a server error, or takes long, without being at fault. The calls of one request end before the request does.
 */

type CallState = {
	readonly openCount: number;
	readonly hasFailed: boolean;
};

const maxParents = 1024;

/** Calls by the id of the request for which they are made. */
export class CallTracker {
	readonly #states = new Map<string, CallState>();

	recordStart(parentId: string): void {
		const {openCount, hasFailed} = this.#getState(parentId);
		this.#states.set(parentId, {openCount: openCount + 1, hasFailed});
		const [oldest] = this.#states.keys();
		if (this.#states.size > maxParents && oldest !== undefined) {
			this.#states.delete(oldest);
		}
	}

	recordEnd(parentId: string, isServed: boolean): void {
		const {openCount, hasFailed} = this.#getState(parentId);
		this.#states.set(parentId, {openCount: Math.max(0, openCount - 1), hasFailed: hasFailed || !isServed});
	}

	/** True while a call of the request is in progress. */
	isCalling(parentId: string): boolean {
		return this.#getState(parentId).openCount > 0;
	}

	/** True when a call of the request has failed. */
	hasFailedCall(parentId: string): boolean {
		return this.#getState(parentId).hasFailed;
	}

	/** Forgets the calls of a request that has ended. */
	forget(parentId: string): void {
		this.#states.delete(parentId);
	}

	#getState(parentId: string): CallState {
		return this.#states.get(parentId) ?? {openCount: 0, hasFailed: false};
	}
}
