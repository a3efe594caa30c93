/** What the platform's object API holds. */

/** One object. Values are text of at most `maxValueBytes`. */
export type StoredObject = {
	readonly key: string;
	/** Grows with each change of the object. */
	readonly version: number;
	readonly value: string;
};

/** One change seen by a watch; `value` is absent when the object was deleted. */
export type ObjectEvent = {
	readonly key: string;
	readonly version: number;
	readonly value?: string;
};

/** Answer of a list: the objects and the store's version they were read at. */
export type ObjectList = {
	readonly objects: readonly StoredObject[];
	readonly version: number;
};

/** Answer of a watch: the changes after the version asked from, in order, and the version to ask from next. */
export type WatchResult = {
	readonly events: readonly ObjectEvent[];
	readonly version: number;
};

/** Kinds of call, each counted. */
export type CallKind = 'get' | 'list' | 'create' | 'update' | 'delete' | 'watch';

/** Number of calls made so far by kind. */
export type CallCounts = Readonly<Record<CallKind, number>>;
