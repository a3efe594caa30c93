/** The object API over HTTP. */
import {Buffer} from 'node:buffer';
import {EitherAsync, Left, Right} from 'purify-ts';
import {Agent} from 'undici';
import {
	createFailure, FailureError, type Failure, type ResultName,
} from '@limpetbarrow/core';
import {
	callTimeoutMs, maxResponseBytes, maxValueBytes, watchWaitMs,
} from './constants.js';
import {ObjectStore} from './object-store.js';
import {PlainDialect} from './plain-dialect.js';
import {type StoreRequest, type StoreDialect} from './store-dialect.js';
import {
	type CallKind, type ObjectList, type StoredObject, type WatchResult,
} from './types.js';

type RequestOptions = StoreRequest & {
	readonly kind: CallKind;
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
};

const failureNamesByStatus: ReadonlyMap<number, ResultName> = new Map([
	[404, 'platformNotFound'],
	[409, 'platformConflict'],
	[410, 'platformHistoryGone'],
	[412, 'platformConflict'],
	[413, 'platformTooLarge'],
]);

function createStatusFailure(status: number, text: string): Failure {
	const name = failureNamesByStatus.get(status) ?? 'platformUnavailable';
	return createFailure(name, `status ${status}: ${text.slice(0, 200)}`);
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text === '' ? 'null' : text);
	} catch {
		throw new FailureError(createFailure('platformMalformed', 'the answer is not JSON'));
	}
}

async function readBody(body: AsyncIterable<Uint8Array>): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of body) {
		size += chunk.length;
		if (size > maxResponseBytes) {
			throw new FailureError(createFailure('platformMalformed', `the answer has more than ${maxResponseBytes} bytes`));
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Bounds and dialect of a client; each has a default. */
export type HttpObjectStoreOptions = {
	/** Time a call may take, in milliseconds. */
	readonly timeoutMs?: number;
	/** Time a watch waits for a change, in milliseconds. */
	readonly watchMs?: number;
	readonly dialect?: StoreDialect;
};

/** Speaks to the object API at one base URL, such as `http://127.0.0.1:7000`. */
export class HttpObjectStore extends ObjectStore {
	readonly #origin: string;
	readonly #timeoutMs: number;
	readonly #watchMs: number;
	readonly #dialect: StoreDialect;
	readonly #agent = new Agent({pipelining: 1});

	/** `timeoutMs` bounds each call; a watch waits longer by `watchWaitMs`. */
	constructor(origin: string, {timeoutMs = callTimeoutMs, watchMs = watchWaitMs, dialect = new PlainDialect()}: HttpObjectStoreOptions = {}) {
		super();
		this.#origin = origin;
		this.#timeoutMs = timeoutMs;
		this.#watchMs = watchMs;
		this.#dialect = dialect;
	}

	override get(key: string): EitherAsync<Failure, StoredObject> {
		return this.#send({kind: 'get', ...this.#dialect.formatGet(key)}, answer => this.#dialect.parseObject(answer, key));
	}

	override list(prefix: string): EitherAsync<Failure, ObjectList> {
		return this.#listFrom(prefix, undefined);
	}

	override create(key: string, value: string): EitherAsync<Failure, StoredObject> {
		return this.#write(key, value, {kind: 'create', ...this.#dialect.formatCreate(key, value)});
	}

	override update(key: string, value: string, version: number): EitherAsync<Failure, StoredObject> {
		return this.#write(key, value, {kind: 'update', ...this.#dialect.formatUpdate(key, value, version)});
	}

	override remove(key: string, version: number): EitherAsync<Failure, void> {
		return this.#send({kind: 'delete', ...this.#dialect.formatRemove(key, version)}, () => undefined);
	}

	override watch(prefix: string, fromVersion: number, signal?: AbortSignal): EitherAsync<Failure, WatchResult> {
		return this.#send({
			kind: 'watch',
			...this.#dialect.formatWatch(prefix, fromVersion, this.#watchMs),
			timeoutMs: this.#watchMs + this.#timeoutMs,
			...(signal && {signal}),
		}, answer => this.#dialect.parseWatch(answer, prefix));
	}

	/** Closes the connections; calls in progress fail. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	/** The first page's version stands for the whole list: later changes come by the watch. */
	#listFrom(prefix: string, after: string | undefined): EitherAsync<Failure, ObjectList> {
		return this.#send({kind: 'list', ...this.#dialect.formatList(prefix, after)}, answer => this.#dialect.parsePage(answer, prefix))
			.chain(({objects, version, next}) => next === undefined
				? EitherAsync.liftEither(Right({objects, version}))
				: this.#listFrom(prefix, next).map(rest => ({objects: [...objects, ...rest.objects], version})));
	}

	#write(key: string, value: string, options: RequestOptions): EitherAsync<Failure, StoredObject> {
		const size = Buffer.byteLength(value);
		return size > maxValueBytes
			? EitherAsync.liftEither(Left(createFailure('platformTooLarge', `the value has ${size} bytes, the bound is ${maxValueBytes}`)))
			: this.#send(options, answer => this.#dialect.parseObject(answer, key));
	}

	#send<T>(options: RequestOptions, parse: (value: unknown) => T): EitherAsync<Failure, T> {
		return EitherAsync<Failure, T>(async ({throwE}) => {
			this.recordCall(options.kind);
			try {
				return parse(await this.#fetch(options));
			} catch (error) {
				return throwE(toFailure(error));
			}
		});
	}

	async #fetch({method, path, headers = {}, body, timeoutMs = this.#timeoutMs, signal}: RequestOptions): Promise<unknown> {
		const timeout = AbortSignal.timeout(timeoutMs);
		const answer = await this.#agent.request({
			origin: this.#origin, path, method, headers, body: body ?? null, signal: signal ? AbortSignal.any([signal, timeout]) : timeout,
		});
		const text = await readBody(answer.body);
		if (answer.statusCode >= 300) {
			throw new FailureError(createStatusFailure(answer.statusCode, text));
		}

		return parseJson(text);
	}
}

function toFailure(error: unknown): Failure {
	return error instanceof FailureError ? error.failure : createFailure('platformUnavailable', String(error));
}
