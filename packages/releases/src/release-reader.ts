/** Updates a node's release state from the platform. */
import {EitherAsync, Right} from 'purify-ts';
import {type Failure} from '@limpetbarrow/core';
import {type ReleaseLog} from './release-log.js';
import {type ReleaseState} from './release-state.js';
import {type SnapshotStore} from './snapshot-store.js';
import {type Configuration} from './types.js';

/** Reads what a state lacks: a snapshot when the state is empty, then the releases that follow. */
export class ReleaseReader {
	readonly #log: ReleaseLog;
	readonly #snapshots: SnapshotStore;
	readonly #state: ReleaseState;

	constructor(log: ReleaseLog, snapshots: SnapshotStore, state: ReleaseState) {
		this.#log = log;
		this.#snapshots = snapshots;
		this.#state = state;
	}

	/** Catches up with the log and returns the resulting configuration. */
	readConfiguration(): EitherAsync<Failure, Configuration> {
		return this.#readSnapshot()
			.chain(() => this.#log.readAfter(this.#state.getNumber()))
			.map(releases => {
				this.#state.apply(releases);
				return this.#state.getConfiguration();
			});
	}

	/** Applies the snapshot when the state is empty. A missing or damaged one is ignored, since the log holds the same releases. */
	#readSnapshot(): EitherAsync<Failure, void> {
		return this.#state.getNumber() > 0
			? EitherAsync.liftEither(Right(undefined))
			: this.#snapshots.read()
				.ifRight(configuration => {
					this.#state.applyConfiguration(configuration);
				})
				.void()
				.chainLeft(async () => Right(undefined));
	}
}
