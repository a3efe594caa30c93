/** Selects ingresses round-robin and skips those that recently refused a connection or announced that they are stopping. */
import {resultHeader} from '@limpetbarrow/core';

type Avoidance = {
	/** Consecutive refusals. */
	readonly count: number;
	/** Monotonic time until which the origin is skipped, in milliseconds. */
	readonly avoidUntil: number;
};

const initialAvoidMs = 1000;
const maxAvoidMs = 30_000;
/** Time for which a stopping ingress is skipped, in milliseconds; longer than the lame-duck time plus a restart. */
const stoppingAvoidMs = 10_000;

/**
 * Returns true when an ingress sent a backend server's answer with "connection: close", which means that it is in a planned
 * stop. New connections to it must be avoided: the kernel resets a connection that is made just as the ingress stops
 * listening, and the outcome of the request on it is then unknown.
 */
export function isStoppingOrigin(headers: Readonly<Record<string, string | readonly string[] | undefined>>): boolean {
	return headers.connection === 'close' && headers[resultHeader] === undefined;
}

/** Selects origins round-robin. */
export class OriginSelector {
	readonly #origins: readonly string[];
	readonly #avoidances = new Map<string, Avoidance>();
	#next = 0;

	constructor(origins: readonly string[]) {
		this.#origins = origins;
	}

	/** Picks the next origin, from index `first` on, that is not avoided. When all are avoided, picks the one at `first`. */
	pickOrigin(first = this.#next): string {
		const now = performance.now();
		const candidates = this.#origins.map((_, index) => this.#origins[(first + index) % this.#origins.length]!);
		const origin = candidates.find(candidate => (this.#avoidances.get(candidate)?.avoidUntil ?? 0) <= now) ?? candidates[0]!;
		this.#next = (this.#origins.indexOf(origin) + 1) % this.#origins.length;
		return origin;
	}

	/** Avoids an origin that refused a connection: for 1 s at first, twice as long after each consecutive refusal, at most 30 s. */
	recordRefusal(origin: string): void {
		const count = (this.#avoidances.get(origin)?.count ?? 0) + 1;
		const avoidMs = Math.min(maxAvoidMs, initialAvoidMs * (2 ** (count - 1)));
		this.#avoidances.set(origin, {count, avoidUntil: performance.now() + avoidMs});
	}

	/** Avoids an origin that is in a planned stop. */
	recordStopping(origin: string): void {
		this.#avoidances.set(origin, {count: 0, avoidUntil: performance.now() + stoppingAvoidMs});
	}

	/** Stops avoiding an origin, because it answered. */
	recordAnswer(origin: string): void {
		this.#avoidances.delete(origin);
	}
}
