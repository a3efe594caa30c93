/** Keeps this node's poison marks in its entry, with a bound on the number of calls. */
import {type EitherAsync} from 'purify-ts';
import {type Failure, type Logger, type PoisonMark} from '@limpetbarrow/core';

/** Dependencies of the storage of marks. */
export type MarkStorageOptions = {
	/** Resolves once the entry holds these marks. */
	readonly writeMarks: (marks: readonly PoisonMark[]) => EitherAsync<Failure, void>;
	readonly logger: Logger;
};

/** Least time between two changes of the stored marks, in milliseconds: callers decide how often backend servers crash. */
export const markWriteSpacingMs = 1000;
const maxRetryMs = 4000;

/** Writes the newest marks: the first change at once, later ones after the spacing, failed ones again. */
export class MarkStorage {
	readonly #options: MarkStorageOptions;
	#marks: readonly PoisonMark[] = [];
	#retryMs = markWriteSpacingMs;
	#timer: NodeJS.Timeout | undefined;
	/** True while a call is in progress or the next one is not due. */
	#isWaiting = false;
	#isChanged = false;
	#isStopped = false;

	constructor(options: MarkStorageOptions) {
		this.#options = options;
	}

	/** Stores these marks in place of the earlier ones. */
	update(marks: readonly PoisonMark[]): void {
		this.#marks = marks;
		this.#isChanged = true;
		if (!this.#isWaiting) {
			void this.#write();
		}
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	async #write(): Promise<void> {
		this.#isWaiting = true;
		this.#isChanged = false;
		const result = await this.#options.writeMarks(this.#marks).run();
		result.ifRight(() => {
			this.#retryMs = markWriteSpacingMs;
		}).ifLeft(({code, detail}) => {
			this.#options.logger.log('poisonNotStored', {code, detail});
			this.#isChanged = true;
			this.#retryMs = Math.min(maxRetryMs, this.#retryMs * 2);
		});
		if (!this.#isStopped) {
			this.#timer = setTimeout(() => {
				this.#isWaiting = false;
				if (this.#isChanged) {
					void this.#write();
				}
			}, result.isRight() ? markWriteSpacingMs : this.#retryMs * (0.5 + (Math.random() / 2)));
		}
	}
}
