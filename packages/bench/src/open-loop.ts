/** Sends requests at a fixed rate, whether or not earlier ones have been answered, and measures each. */
import {build, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';

/** One of the ways that a run compares. */
export type LoadPath = {
	readonly name: string;
	/** Such as `http://127.0.0.1:8080`. */
	readonly origin: string;
	readonly path: string;
};

/** What was measured on one path. */
export type LoadResult = {
	readonly name: string;
	/** Durations in microseconds. */
	readonly histogram: Histogram;
	readonly failed: number;
};

const usPerMs = 1000;
const msPerS = 1000;
const connections = 64;

class PathLoad {
	readonly histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	readonly name: string;
	failed = 0;
	readonly #pool: Pool;
	readonly #path: string;
	#pending: ReadonlyArray<Promise<void>> = [];

	constructor({name, origin, path}: LoadPath) {
		this.name = name;
		this.#path = path;
		this.#pool = new Pool(origin, {connections, pipelining: 1});
	}

	send(): void {
		this.#pending = [...this.#pending.slice(-connections), this.#measureOne()];
	}

	async finish(): Promise<void> {
		await Promise.all(this.#pending);
		await this.#pool.destroy();
	}

	async #measureOne(): Promise<void> {
		const startedAt = performance.now();
		try {
			const answer = await this.#pool.request({method: 'GET', path: this.#path});
			await answer.body.dump();
			this.histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAt) * usPerMs)));
			this.failed += answer.statusCode === 200 ? 0 : 1;
		} catch {
			this.failed++;
		}
	}
}

/** Sends on all paths in turn, each at `ratePerS`, for `durationMs`. */
export async function measureOpenLoop(paths: readonly LoadPath[], ratePerS: number, durationMs: number): Promise<readonly LoadResult[]> {
	const loads = paths.map(path => new PathLoad(path));
	const startedAt = performance.now();
	let sent = 0;
	await new Promise<void>(resolve => {
		const timer = setInterval(() => {
			const elapsedMs = performance.now() - startedAt;
			const due = Math.floor(elapsedMs * ratePerS * loads.length / msPerS);
			Array.from({length: due - sent}, (_, index) => loads[(sent + index) % loads.length]!).forEach(load => {
				load.send();
			});
			sent = due;
			if (elapsedMs >= durationMs) {
				clearInterval(timer);
				resolve();
			}
		}, 1);
	});
	await Promise.all(loads.map(async load => load.finish()));
	return loads.map(({name, histogram, failed}) => ({name, histogram, failed}));
}
