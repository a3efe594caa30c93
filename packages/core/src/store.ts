/** A state container: an immutable snapshot that only named updates replace. */
import {Subject, type Unregister} from './subject.js';

/** A change of state: the name of the update and the snapshots before and after it. */
export type StateChange<State> = {
	readonly update: string;
	readonly before: State;
	readonly after: State;
};

/** Holds one frozen snapshot. Readers get the snapshot itself, without a copy; only `update` replaces it. */
export class Store<State extends Record<string, unknown>> {
	#state: Readonly<State>;
	readonly #changes = new Subject<StateChange<Readonly<State>>>();

	constructor(initial: State) {
		this.#state = Object.freeze(initial);
	}

	getState(): Readonly<State> {
		return this.#state;
	}

	/** Replaces the snapshot by what `change` returns. Notifies no listener if `change` returns the same snapshot. */
	update(update: string, change: (state: Readonly<State>) => State): Readonly<State> {
		const before = this.#state;
		const after = Object.freeze(change(before));
		if (after !== before) {
			this.#state = after;
			this.#changes.publish({update, before, after});
		}

		return after;
	}

	/** Calls `listener` after each change. Returns a function that unregisters it. */
	registerListener(listener: (change: StateChange<Readonly<State>>) => void): Unregister {
		return this.#changes.registerListener(listener);
	}

	/** Returns the changes as a subject, from which a stream can be made. */
	getChanges(): Subject<StateChange<Readonly<State>>> {
		return this.#changes;
	}
}
