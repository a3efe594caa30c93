/** The ingresses a caller sends to, in turn, passing over those that lately refused a connection or said that they stop. */
import {resultHeader} from '@limpetbarrow/core';

type Refusal = {
	/** Refusals in a row. */
	readonly count: number;
	/** Monotonic time until which the origin is passed over, in milliseconds. */
	readonly until: number;
};

const firstAvoidMs = 1000;
const maxAvoidMs = 30_000;
/** Time for which an ingress that stops is passed over, in milliseconds; longer than the lame-duck time and a restart. */
const stoppingMs = 10_000;

/**
 * True when the ingress said with a backend server's answer that it ends its connections: it stops as planned. A
 * connection that is made just when it stops listening is reset by the kernel, and nobody can tell what became of the
 * request on it.
 */
export function isStoppingOrigin(headers: Readonly<Record<string, string | readonly string[] | undefined>>): boolean {
	return headers.connection === 'close' && headers[resultHeader] === undefined;
}

/** Picks origins in turn. */
export class OriginRing {
	readonly #origins: readonly string[];
	readonly #refusals = new Map<string, Refusal>();
	#next = 0;

	constructor(origins: readonly string[]) {
		this.#origins = origins;
	}

	/** The next origin from `first` on that is not avoided; the next in turn when all are. */
	pickOrigin(first = this.#next): string {
		const now = performance.now();
		const inTurn = this.#origins.map((_, index) => this.#origins[(first + index) % this.#origins.length]!);
		const origin = inTurn.find(candidate => (this.#refusals.get(candidate)?.until ?? 0) <= now) ?? inTurn[0]!;
		this.#next = (this.#origins.indexOf(origin) + 1) % this.#origins.length;
		return origin;
	}

	/** Avoids an origin for a while, longer with each refusal in a row. */
	recordRefusal(origin: string): void {
		const count = (this.#refusals.get(origin)?.count ?? 0) + 1;
		const avoidMs = Math.min(maxAvoidMs, firstAvoidMs * (2 ** (count - 1)));
		this.#refusals.set(origin, {count, until: performance.now() + avoidMs});
	}

	/** Avoids an origin that stops as planned. */
	recordStopping(origin: string): void {
		this.#refusals.set(origin, {count: 0, until: performance.now() + stoppingMs});
	}

	/** Uses an origin again without reserve. */
	recordAnswer(origin: string): void {
		this.#refusals.delete(origin);
	}
}
