/** Objects with their whole history, as the stand-ins of the platform keep them. */
import {type ObjectEvent, type ObjectList, type StoredObject} from '@limpetbarrow/object-store';

function toObject({key, version, value}: ObjectEvent): StoredObject | undefined {
	return value === undefined ? undefined : {key, version, value};
}

/** Keeps every change in order; the version of a change is its place in that order. */
export class ObjectHistory {
	readonly #events: ObjectEvent[] = [];
	readonly #objects = new Map<string, StoredObject>();

	/** Version of the last change. */
	getVersion(): number {
		return this.#events.length;
	}

	/** The object as it is now. */
	findObject(key: string): StoredObject | undefined {
		return this.#objects.get(key);
	}

	/** The object as it was at a version. */
	findObjectAt(key: string, version: number): StoredObject | undefined {
		const event = this.#events.slice(0, version).findLast(candidate => candidate.key === key);
		return event && toObject(event);
	}

	/** The objects below a prefix as they are now, in the order of their keys. */
	list(prefix: string): ObjectList {
		return {objects: toSortedObjects([...this.#objects.values()].filter(({key}) => key.startsWith(prefix))), version: this.getVersion()};
	}

	/** The objects below a prefix as they were at a version. */
	listAt(prefix: string, version: number): ObjectList {
		const latest = new Map(this.#events.slice(0, version).filter(({key}) => key.startsWith(prefix)).map(event => [event.key, event]));
		const objects = [...latest.values()].map(event => toObject(event)).filter(object => object !== undefined);
		return {objects: toSortedObjects(objects), version: Math.min(version, this.getVersion())};
	}

	/** The changes below a prefix after a version. */
	selectEvents(prefix: string, from: number): readonly ObjectEvent[] {
		return this.#events.slice(from).filter(({key}) => key.startsWith(prefix));
	}

	/** Changes an object that has `expected` as its version, 0 for none; undefined when it has another. */
	write(key: string, expected: number, value: string | undefined): ObjectEvent | undefined {
		if ((this.#objects.get(key)?.version ?? 0) !== expected) {
			return undefined;
		}

		const event = {key, version: this.#events.length + 1, ...(value !== undefined && {value})};
		this.#events.push(event);
		if (value === undefined) {
			this.#objects.delete(key);
		} else {
			this.#objects.set(key, {key, version: event.version, value});
		}

		return event;
	}
}

function toSortedObjects(objects: readonly StoredObject[]): readonly StoredObject[] {
	return objects.toSorted((a, b) => a.key < b.key ? -1 : 1);
}
