/** Keeps a node's releases up to date from the platform. */
import {setTimeout as wait} from 'node:timers/promises';
import {type Logger} from '@limpetbarrow/core';
import {type ObjectStore} from '@limpetbarrow/platform';
import {parseRelease, releasePrefix, ReleaseLog} from './release-log.js';
import {type ReleaseState} from './release-state.js';

const retryMs = 1000;

/** Watches the log while started. */
export class ReleaseFollower {
	readonly #store: ObjectStore;
	readonly #state: ReleaseState;
	readonly #logger: Logger;
	#abort = new AbortController();
	#isPlatformLost = false;

	constructor(store: ObjectStore, state: ReleaseState, logger: Logger) {
		this.#store = store;
		this.#state = state;
		this.#logger = logger;
	}

	start(): void {
		this.#abort = new AbortController();
		void this.#run(this.#abort.signal);
	}

	stop(): void {
		this.#abort.abort();
	}

	async #run(signal: AbortSignal): Promise<void> {
		const listed = await new ReleaseLog(this.#store).readAll().run();
		listed.ifRight(releases => {
			this.#state.apply(releases);
		});
		await this.#watch(0, signal);
	}

	async #watch(from: number, signal: AbortSignal): Promise<void> {
		if (signal.aborted) {
			return;
		}

		const result = await this.#store.watch(releasePrefix, from, signal).run();
		if (signal.aborted) {
			return;
		}

		this.#reportPlatform(result.isLeft());
		result.ifRight(({events}) => {
			this.#state.apply(events.filter(event => event.value !== undefined).map(({value}) => parseRelease({value: value!})));
		});
		if (result.isLeft()) {
			await wait(retryMs, undefined, {signal}).catch(() => undefined);
		}

		await this.#watch(result.map(({version}) => version).orDefault(from), signal);
	}

	#reportPlatform(isLost: boolean): void {
		if (isLost !== this.#isPlatformLost) {
			this.#isPlatformLost = isLost;
			this.#logger.log(isLost ? 'platformLost' : 'platformBack');
		}
	}
}
