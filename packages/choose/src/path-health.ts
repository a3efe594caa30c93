/** Judges the paths to other nodes, apart from the backend servers behind them. */

type PathState = {
	readonly failures: number;
	/** Monotonic time until which the path is avoided, in milliseconds. */
	readonly avoidedUntil: number;
};

const firstBackOffMs = 500;
const maxBackOffMs = 10_000;
const maxPaths = 4096;
/** Ways that fail in a row before a node takes itself to be cut off, and the time before it tries again, in milliseconds. */
const isolationThreshold = 4;
const isolationMs = 700;

/** Paths that failed lately. */
export class PathHealth {
	readonly #maxBackOffMs: number;
	readonly #paths = new Map<string, PathState>();
	/** Ways that failed since one last worked. */
	readonly #failedSinceSuccess = new Set<string>();
	#isolatedUntil = 0;
	#version = 0;
	#validUntil = Number.POSITIVE_INFINITY;

	/** `maxBackOff` is the longest time a path is avoided, in milliseconds. */
	constructor(maxBackOff = maxBackOffMs) {
		this.#maxBackOffMs = maxBackOff;
	}

	/** Takes a connection that failed or was lost. Several failures at once count as one. */
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

	/** Takes an answer that came back by the path. */
	recordSuccess(nodeId: string, now: number): void {
		this.#failedSinceSuccess.clear();
		this.#isolatedUntil = 0;
		if (this.#paths.delete(nodeId)) {
			this.#sweep(now);
		}
	}

	/** True while this node seems to be cut off from all others: each new way tried has failed and none has worked. */
	isIsolated(now: number): boolean {
		return now < this.#isolatedUntil;
	}

	isAvoided(nodeId: string, now: number): boolean {
		return now < (this.#paths.get(nodeId)?.avoidedUntil ?? 0);
	}

	/** Grows whenever the set of avoided paths may have changed. */
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
