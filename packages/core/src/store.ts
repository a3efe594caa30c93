/** State as an immutable snapshot that changes only through named updates. */
import {Subject, type Unregister} from './subject.js';

/** A change of state: the update's name, the snapshot before and the one after. */
export type StateChange<State> = {
	readonly update: string;
	readonly before: State;
	readonly after: State;
};

/** Holds one frozen snapshot. Readers get it as it is; `update` is the only way to replace it. */
export class Store<State extends Record<string, unknown>> {
	#state: Readonly<State>;
	readonly #changes = new Subject<StateChange<Readonly<State>>>();

	constructor(initial: State) {
		this.#state = Object.freeze(initial);
	}

	getState(): Readonly<State> {
		return this.#state;
	}

	/** Replaces the snapshot by what `change` returns; returning the same snapshot changes nothing. */
	update(update: string, change: (state: Readonly<State>) => State): Readonly<State> {
		const before = this.#state;
		const after = Object.freeze(change(before));
		if (after !== before) {
			this.#state = after;
			this.#changes.publish({update, before, after});
		}

		return after;
	}

	/** Calls `listener` after each change. Returns the function that undoes it. */
	registerListener(listener: (change: StateChange<Readonly<State>>) => void): Unregister {
		return this.#changes.registerListener(listener);
	}

	/** The changes as a subject, for streams. */
	getChanges(): Subject<StateChange<Readonly<State>>> {
		return this.#changes;
	}
}
