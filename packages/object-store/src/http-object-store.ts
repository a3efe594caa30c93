/** HTTP client of the platform's object API. */
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
	type CallKind, type ObjectList, type StoredObject, type WatchOptions, type WatchResult,
} from './types.js';

type RequestOptions = StoreRequest & {
	readonly kind: CallKind;
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
	/** True when the call goes on from an earlier one, whose version means nothing in a later era. */
	readonly isWithinEra?: boolean;
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
		throw new FailureError(createFailure('platformMalformed', 'the response is not valid JSON'));
	}
}

function createAgent(): Agent {
	return new Agent({pipelining: 1});
}

async function readBody(body: AsyncIterable<Uint8Array>): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of body) {
		size += chunk.length;
		if (size > maxResponseBytes) {
			throw new FailureError(createFailure('platformMalformed', `the response is larger than ${maxResponseBytes} bytes`));
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Timeouts and wire format of a client; each has a default. */
export type HttpObjectStoreOptions = {
	/** Timeout of a call, in milliseconds. */
	readonly timeoutMs?: number;
	/** Longest time that a watch waits for a change, in milliseconds. */
	readonly watchMs?: number;
	readonly dialect?: StoreDialect;
};

/** Calls the object API at one base URL, such as `http://127.0.0.1:7000`. */
export class HttpObjectStore extends ObjectStore {
	readonly #origin: string;
	readonly #timeoutMs: number;
	readonly #watchMs: number;
	readonly #dialect: StoreDialect;
	/** Agents that finish the calls they have begun and get no new ones. */
	readonly #retiredAgents = new Set<Agent>();
	#agent = createAgent();

	/** `timeoutMs` limits each call; a watch may take longer by its wait, which is `watchMs` at most. */
	constructor(origin: string, {timeoutMs = callTimeoutMs, watchMs = watchWaitMs, dialect = new PlainDialect()}: HttpObjectStoreOptions = {}) {
		super();
		this.#origin = origin;
		this.#timeoutMs = timeoutMs;
		this.#watchMs = watchMs;
		this.#dialect = dialect;
	}

	override get(key: string): EitherAsync<Failure, StoredObject> {
		return this.#send({kind: 'get', ...this.#dialect.formatGet(key)}, response => this.#dialect.parseObject(response, key));
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

	override watch(prefix: string, fromVersion: number, {waitMs = this.#watchMs, signal}: WatchOptions = {}): EitherAsync<Failure, WatchResult> {
		const boundedWaitMs = Math.min(waitMs, this.#watchMs);
		return this.#send({
			kind: 'watch',
			...this.#dialect.formatWatch(prefix, fromVersion, boundedWaitMs),
			timeoutMs: boundedWaitMs + this.#timeoutMs,
			isWithinEra: true,
			...(signal && {signal}),
		}, response => this.#dialect.parseWatch(response, prefix));
	}

	/** Closes all connections; calls in progress fail. */
	async close(): Promise<void> {
		await Promise.all([this.#agent, ...this.#retiredAgents].map(async agent => agent.destroy()));
	}

	/** Makes later calls open new connections: those that are open may all have gone silent with the one that gave no answer. */
	#replaceAgent(agent: Agent): void {
		if (agent === this.#agent) {
			this.#agent = createAgent();
			this.#retiredAgents.add(agent);
			void agent.close().finally(() => {
				this.#retiredAgents.delete(agent);
			});
		}
	}

	/** Returns the first page's version for the whole list: a watch from there also delivers changes made between the pages. */
	#listFrom(prefix: string, after: string | undefined): EitherAsync<Failure, ObjectList> {
		return this.#send({kind: 'list', isWithinEra: after !== undefined, ...this.#dialect.formatList(prefix, after)}, response => this.#dialect.parsePage(response, prefix))
			.chain(({objects, version, next}) => next === undefined
				? EitherAsync.liftEither(Right({objects, version}))
				: this.#listFrom(prefix, next).map(rest => ({objects: [...objects, ...rest.objects], version})));
	}

	#write(key: string, value: string, options: RequestOptions): EitherAsync<Failure, StoredObject> {
		const size = Buffer.byteLength(value);
		return size > maxValueBytes
			? EitherAsync.liftEither(Left(createFailure('platformTooLarge', `the value has ${size} bytes, the limit is ${maxValueBytes}`)))
			: this.#send(options, response => this.#dialect.parseObject(response, key));
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

	/**
	 * Records the era of an answer. Fails the call if the answer is from an earlier era than the one known, whose state is gone, or
	 * if the call needed the era to stay.
	 */
	#checkEra(before: number | undefined, era: number | undefined, isWithinEra: boolean): void {
		if (era === undefined) {
			return;
		}

		this.recordEra(era);
		const known = this.getEra() ?? era;
		if (era < known || (isWithinEra && before !== undefined && known > before)) {
			throw new FailureError(createFailure('platformHistoryGone', `the store was restored: the answer is of era ${era}, the call began in ${before ?? 'none'}, ${known} is known`));
		}
	}

	async #fetch({method, path, headers = {}, body, timeoutMs = this.#timeoutMs, signal, isWithinEra = false}: RequestOptions): Promise<unknown> {
		const agent = this.#agent;
		const eraBefore = this.getEra();
		const abortController = new AbortController();
		const handleAbort = (): void => {
			abortController.abort();
		};

		signal?.addEventListener('abort', handleAbort, {once: true});
		if (signal?.aborted) {
			abortController.abort();
		}

		// `AbortSignal.any` holds its sources weakly: a collected `AbortSignal.timeout` would never end the call.
		const timer = setTimeout(() => {
			abortController.abort(new FailureError(createFailure('platformUnavailable', `no complete answer within ${timeoutMs} ms`)));
			this.#replaceAgent(agent);
		}, timeoutMs);
		try {
			const response = await agent.request({
				origin: this.#origin, path, method, headers, body: body ?? null, signal: abortController.signal,
			});
			const text = await readBody(response.body);
			this.#checkEra(eraBefore, this.#dialect.findEra(response.headers), isWithinEra);
			if (response.statusCode >= 300) {
				throw new FailureError(createStatusFailure(response.statusCode, text));
			}

			return parseJson(text);
		} finally {
			clearTimeout(timer);
			signal?.removeEventListener('abort', handleAbort);
		}
	}
}

function toFailure(error: unknown): Failure {
	return error instanceof FailureError ? error.failure : createFailure('platformUnavailable', String(error));
}
