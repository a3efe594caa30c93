/** Sources from which a node reads and watches the whole configuration. */
import {EitherAsync, Right, type Either} from 'purify-ts';
import {createFailure, type Failure, type Unregister} from '@limpetbarrow/core';
import {type ObjectStore, type WatchOptions} from '@limpetbarrow/object-store';
import {type Configuration} from './types.js';

/** Result of a read or a watch: the configuration, if there is a new one, and the version to watch from next. */
export type SourceReadResult = {
	readonly configuration: Configuration | undefined;
	readonly version: number;
};

/** Reads and watches a configuration that is written elsewhere. */
export abstract class ConfigurationSource {
	/** Reads the current configuration; resolves without one when the source holds none. */
	abstract read(): EitherAsync<Failure, SourceReadResult>;
	/** Calls `handleRestore` when the source was restored from an older copy, so that versions read before mean nothing. */
	abstract registerRestoreListener(handleRestore: () => void): Unregister;
	/** Waits for a change after `fromVersion`; resolves without a configuration when there was none within the wait time. */
	abstract watch(fromVersion: number, options: WatchOptions): EitherAsync<Failure, SourceReadResult>;
}

/** Parses text as a configuration. */
export type ParseConfigurationText = (text: string) => Either<Failure, Configuration>;

/** A source that is a single object of the object API, which always holds the whole configuration. */
export class ObjectConfigurationSource extends ConfigurationSource {
	readonly #store: ObjectStore;
	readonly #key: string;
	readonly #prefix: string;
	readonly #parse: ParseConfigurationText;

	/** `prefix` is the key prefix that is listed and watched; `key` starts with it. */
	constructor(store: ObjectStore, {key, prefix}: {readonly key: string; readonly prefix: string}, parse: ParseConfigurationText) {
		super();
		this.#store = store;
		this.#key = key;
		this.#prefix = prefix;
		this.#parse = parse;
	}

	override read(): EitherAsync<Failure, SourceReadResult> {
		return this.#store.list(this.#prefix).chain(({objects, version}) => this.#createReadResult(objects, version));
	}

	override watch(fromVersion: number, options: WatchOptions): EitherAsync<Failure, SourceReadResult> {
		return this.#store.watch(this.#prefix, fromVersion, options).chain(({events, version}) => this.#createReadResult(events, version));
	}

	override registerRestoreListener(handleRestore: () => void): Unregister {
		return this.#store.eraChanges.registerListener(({previous}) => {
			if (previous !== undefined) {
				handleRestore();
			}
		});
	}

	#createReadResult(objects: ReadonlyArray<{readonly key: string; readonly value?: string}>, version: number): EitherAsync<Failure, SourceReadResult> {
		const text = objects.findLast(({key, value}) => key === this.#key && value !== undefined)?.value;
		return EitherAsync.liftEither(text === undefined
			? Right<SourceReadResult, Failure>({configuration: undefined, version})
			: this.#parse(text).map<SourceReadResult>(configuration => ({configuration, version})).mapLeft(({detail}) => createFailure('releaseUnreadable', detail)));
	}
}
