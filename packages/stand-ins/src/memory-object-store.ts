/** The object API in memory, for tests and benchmarks that need no sockets. */
import {Buffer} from 'node:buffer';
import {
	EitherAsync, Left, Right, type Either,
} from 'purify-ts';
import {createFailure, Subject, type Failure} from '@limpetbarrow/core';
import {
	maxValueBytes, ObjectStore, watchWaitMs, type CallKind, type ObjectEvent, type ObjectList, type StoredObject, type WatchOptions, type WatchResult,
} from '@limpetbarrow/object-store';
import {ObjectHistory} from './object-history.js';

/**
 * What goes wrong with one call.
 *
 * - `refused`: it fails and changes nothing.
 * - `lost`: it takes effect and its answer is lost.
 * - `late`: it fails, and takes effect only after `MemoryPlatform.finishLateWrites`.
 * - `stale`: a read sees the state as it was `staleVersions` changes ago; a watch ends without its changes.
 */
export type MemoryFault = 'none' | 'refused' | 'lost' | 'late' | 'stale';

const staleVersions = 3;

/** What all clients of one platform share. */
export class MemoryPlatform {
	readonly history = new ObjectHistory();
	readonly writes = new Subject<ObjectEvent>();
	#lateWrites: ReadonlyArray<() => void> = [];

	addLateWrite(write: () => void): void {
		this.#lateWrites = [...this.#lateWrites, write];
	}

	/** Lets the late writes arrive, in the order they were sent. */
	finishLateWrites(): void {
		const writes = this.#lateWrites;
		this.#lateWrites = [];
		writes.forEach(write => {
			write();
		});
	}

	/** Changes an object and tells the watches. */
	write(key: string, expected: number, value: string | undefined): ObjectEvent | undefined {
		const event = this.history.write(key, expected, value);
		if (event) {
			this.writes.publish(event);
		}

		return event;
	}
}

const unavailable = createFailure('platformUnavailable', 'a fault of the stand-in');

/** One client of a platform in memory. `chooseFault` decides what goes wrong with a call, `wait` when it arrives. */
export class MemoryObjectStore extends ObjectStore {
	readonly #platform: MemoryPlatform;
	readonly #chooseFault: (kind: CallKind) => MemoryFault;
	readonly #wait: () => Promise<void>;

	constructor(platform: MemoryPlatform, chooseFault: (kind: CallKind) => MemoryFault = () => 'none', wait: () => Promise<void> = async () => undefined) {
		super();
		this.#platform = platform;
		this.#chooseFault = chooseFault;
		this.#wait = wait;
	}

	override get(key: string): EitherAsync<Failure, StoredObject> {
		return this.#read('get', version => {
			const {history} = this.#platform;
			const object = version === undefined ? history.findObject(key) : history.findObjectAt(key, version);
			return object ? Right(object) : Left(createFailure('platformNotFound', key));
		});
	}

	override list(prefix: string): EitherAsync<Failure, ObjectList> {
		return this.#read('list', version => Right(version === undefined ? this.#platform.history.list(prefix) : this.#platform.history.listAt(prefix, version)));
	}

	override create(key: string, value: string): EitherAsync<Failure, StoredObject> {
		return this.#write('create', key, 0, value).map(event => ({key, version: event.version, value}));
	}

	override update(key: string, value: string, version: number): EitherAsync<Failure, StoredObject> {
		return this.#write('update', key, version, value).map(event => ({key, version: event.version, value}));
	}

	override remove(key: string, version: number): EitherAsync<Failure, void> {
		return this.#write('delete', key, version, undefined).void();
	}

	override watch(prefix: string, fromVersion: number, options: WatchOptions = {}): EitherAsync<Failure, WatchResult> {
		return EitherAsync(async ({throwE}) => {
			this.recordCall('watch');
			const fault = this.#chooseFault('watch');
			if (fault !== 'none' && fault !== 'stale') {
				return throwE(unavailable);
			}

			if (this.#platform.history.selectEvents(prefix, fromVersion).length === 0) {
				await this.#waitForWrite(prefix, options);
			}

			return {events: fault === 'stale' ? [] : this.#platform.history.selectEvents(prefix, fromVersion), version: this.#platform.history.getVersion()};
		});
	}

	#read<T>(kind: CallKind, read: (version: number | undefined) => Either<Failure, T>): EitherAsync<Failure, T> {
		return EitherAsync(async ({liftEither, throwE}) => {
			this.recordCall(kind);
			await this.#wait();
			const fault = this.#chooseFault(kind);
			if (fault === 'none' || fault === 'stale') {
				return liftEither(read(fault === 'stale' ? Math.max(0, this.#platform.history.getVersion() - staleVersions) : undefined));
			}

			return throwE(unavailable);
		});
	}

	#write(kind: CallKind, key: string, expected: number, value: string | undefined): EitherAsync<Failure, ObjectEvent> {
		return EitherAsync(async ({throwE}) => {
			this.recordCall(kind);
			await this.#wait();
			if (Buffer.byteLength(value ?? '') > maxValueBytes) {
				return throwE(createFailure('platformTooLarge', key));
			}

			const fault = this.#chooseFault(kind);
			if (fault === 'late') {
				this.#platform.addLateWrite(() => {
					this.#platform.write(key, expected, value);
				});
			}

			if (fault === 'late' || fault === 'refused') {
				return throwE(unavailable);
			}

			const event = this.#platform.write(key, expected, value);
			if (fault === 'lost') {
				return throwE(unavailable);
			}

			return event ?? throwE(createFailure('platformConflict', key));
		});
	}

	async #waitForWrite(prefix: string, {waitMs = watchWaitMs, signal}: WatchOptions): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = (): void => {
				clearTimeout(timer);
				unregister();
				signal?.removeEventListener('abort', finish);
				resolve();
			};

			const timer = setTimeout(finish, Math.min(waitMs, watchWaitMs));
			const unregister = this.#platform.writes.registerListener(({key}) => {
				if (key.startsWith(prefix)) {
					finish();
				}
			});
			signal?.addEventListener('abort', finish, {once: true});
		});
	}
}
