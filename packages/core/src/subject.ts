/** An event source for control events, consumed by listeners or as a `most` stream. */
import {from, type Stream} from 'most';

/** Unregisters a listener. Calling it again does nothing. */
export type Unregister = () => void;

type Observer<T> = {
	readonly next: (value: T) => void;
};

/** Publishes each value to the listeners that are registered at that moment. */
export class Subject<T> {
	readonly #listeners = new Set<(value: T) => void>();

	publish(value: T): void {
		[...this.#listeners].forEach(listener => {
			listener(value);
		});
	}

	/** Calls `listener` with each value. Returns a function that unregisters it. */
	registerListener(listener: (value: T) => void): Unregister {
		const handle = (value: T): void => {
			listener(value);
		};

		this.#listeners.add(handle);
		return () => {
			this.#listeners.delete(handle);
		};
	}

	/** Returns the values as a stream that never ends by itself. */
	toStream(): Stream<T> {
		const observable = {
			subscribe: (observer: Observer<T>) => ({
				unsubscribe: this.registerListener(value => {
					observer.next(value);
				}),
			}),
			[Symbol.for('observable')]() {
				return observable;
			},
		};
		return from(observable as unknown as Parameters<typeof from<T>>[0]);
	}
}
