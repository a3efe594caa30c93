/** Types of the platform's object API. */

/** One object. Its value is text of at most `maxValueBytes` bytes. */
export type StoredObject = {
	readonly key: string;
	/** Increases with each change of the object. */
	readonly version: number;
	readonly value: string;
};

/** One change that a watch reports; `value` is absent when the object was deleted. */
export type ObjectEvent = {
	readonly key: string;
	readonly version: number;
	readonly value?: string;
};

/** Result of a list: the objects and the version of the store at which they were read. */
export type ObjectList = {
	readonly objects: readonly StoredObject[];
	readonly version: number;
};

/** Result of a watch: the changes after the requested version, in order, and the version to watch from next. */
export type WatchResult = {
	readonly events: readonly ObjectEvent[];
	readonly version: number;
};

/** An era of the store that has become known, and the one known before; absent for the first one. */
export type EraChange = {
	readonly era: number;
	readonly previous?: number;
};

/** Kinds of call, which are counted separately. */
export type CallKind = 'get' | 'list' | 'create' | 'update' | 'delete' | 'watch';

/** Number of calls made so far, by kind. */
export type CallCounts = Readonly<Record<CallKind, number>>;

/** Options of a watch. */
export type WatchOptions = {
	/** Time that the watch waits for a change, in milliseconds; the client's longest wait if it is longer or not given. */
	readonly waitMs?: number;
	readonly signal?: AbortSignal;
};
