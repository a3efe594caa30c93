/** Tracks the health of the network paths to other nodes, independently of the backend servers behind them. */

type PathState = {
	/** Failures in a row; each doubles the back-off. */
	readonly failures: number;
	/** Monotonic time until which the path is avoided, in milliseconds. */
	readonly avoidedUntil: number;
};

const firstBackOffMs = 500;
const maxBackOffMs = 10_000;
const maxPaths = 4096;
/** Distinct paths that fail without a success in between before a node regards itself as isolated. */
const isolationThreshold = 4;
/** Time for which the node then regards itself as isolated before it tries again, in milliseconds. */
const isolationMs = 700;

/** Paths that failed recently, each avoided with an exponential back-off. */
export class PathHealth {
	readonly #maxBackOffMs: number;
	readonly #paths = new Map<string, PathState>();
	/** Nodes whose paths have failed since any path last worked. */
	readonly #failedSinceSuccess = new Set<string>();
	#isolatedUntil = 0;
	#version = 0;
	#validUntil = Number.POSITIVE_INFINITY;

	/** `maxBackOff` is the longest time for which a path is avoided, in milliseconds. */
	constructor(maxBackOff = maxBackOffMs) {
		this.#maxBackOffMs = maxBackOff;
	}

	/** Records a connection that failed or was lost. Failures while the path is already avoided don't count again. */
	recordFailure(nodeId: string, now: number): void {
		const known = this.#paths.get(nodeId);
		if (known && now < known.avoidedUntil) {
			return;
		}

		const failures = (known?.failures ?? 0) + 1;
		const backOffMs = Math.min(this.#maxBackOffMs, firstBackOffMs * (2 ** (failures - 1)));
		this.#paths.delete(nodeId);
		this.#paths.set(nodeId, {failures, avoidedUntil: now + backOffMs});
		this.#failedSinceSuccess.add(nodeId);
		this.#isolatedUntil = this.#failedSinceSuccess.size >= isolationThreshold ? now + isolationMs : 0;
		this.#sweep(now);
	}

	/** Records an answer that arrived over the path, which ends its back-off and any isolation. */
	recordSuccess(nodeId: string, now: number): void {
		this.#failedSinceSuccess.clear();
		this.#isolatedUntil = 0;
		if (this.#paths.delete(nodeId)) {
			this.#sweep(now);
		}
	}

	/** True while this node seems to be cut off from all others: several paths have failed and none has worked since. */
	isIsolated(now: number): boolean {
		return now < this.#isolatedUntil;
	}

	/** True while the path to the node is in its back-off. */
	isAvoided(nodeId: string, now: number): boolean {
		return now < (this.#paths.get(nodeId)?.avoidedUntil ?? 0);
	}

	/** Number that increases whenever the set of avoided paths may have changed, for cache invalidation. */
	getVersion(now: number): number {
		if (now >= this.#validUntil) {
			this.#sweep(now);
		}

		return this.#version;
	}

	#sweep(now: number): void {
		this.#version++;
		const [oldest] = this.#paths.keys();
		if (this.#paths.size > maxPaths && oldest !== undefined) {
			this.#paths.delete(oldest);
		}

		const ends = [...this.#paths.values()].map(({avoidedUntil}) => avoidedUntil).filter(end => end > now);
		this.#validUntil = Math.min(Number.POSITIVE_INFINITY, ...ends);
	}
}
