/** The ingresses a caller sends to, in turn, passing over those that lately refused a connection. */

type Refusal = {
	/** Refusals in a row. */
	readonly count: number;
	/** Monotonic time until which the origin is passed over, in milliseconds. */
	readonly until: number;
};

const firstAvoidMs = 1000;
const maxAvoidMs = 30_000;

/** Picks origins in turn. */
export class OriginRing {
	readonly #origins: readonly string[];
	readonly #refusals = new Map<string, Refusal>();
	#next = 0;

	constructor(origins: readonly string[]) {
		this.#origins = origins;
	}

	/** The next origin that is not avoided; the next in turn when all are. */
	pickOrigin(): string {
		const now = performance.now();
		const inTurn = this.#origins.map((_, index) => this.#origins[(this.#next + index) % this.#origins.length]!);
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

	/** Uses an origin again without reserve. */
	recordAnswer(origin: string): void {
		this.#refusals.delete(origin);
	}
}
