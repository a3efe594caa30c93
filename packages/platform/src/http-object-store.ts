/** The object API over HTTP. */
import {Buffer} from 'node:buffer';
import {EitherAsync, Left} from 'purify-ts';
import {Agent, request, type Dispatcher} from 'undici';
import {
	createFailure, FailureError, type Failure, type ResultName,
} from '@limpetbarrow/core';
import {
	callTimeoutMs, maxAnswerBytes, maxValueBytes, watchWaitMs,
} from './constants.js';
import {ObjectStore} from './object-store.js';
import {parseList, parseObject, parseWatch} from './parse-answers.js';
import {
	type CallKind, type ObjectList, type StoredObject, type WatchResult,
} from './types.js';

type CallOptions = {
	readonly kind: CallKind;
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
};

const failureOfStatus: ReadonlyMap<number, ResultName> = new Map([
	[404, 'platformNotFound'],
	[409, 'platformConflict'],
	[412, 'platformConflict'],
	[413, 'platformTooLarge'],
]);

function getObjectPath(key: string): string {
	return `/objects/${encodeURIComponent(key)}`;
}

function createStatusFailure(status: number, text: string): Failure {
	const name = failureOfStatus.get(status) ?? 'platformUnavailable';
	return createFailure(name, `status ${status}: ${text.slice(0, 200)}`);
}

function parseAnswer(text: string): unknown {
	try {
		return JSON.parse(text === '' ? 'null' : text);
	} catch {
		throw new FailureError(createFailure('platformMalformed', 'the answer is not JSON'));
	}
}

async function readBounded(body: AsyncIterable<Uint8Array>): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of body) {
		size += chunk.length;
		if (size > maxAnswerBytes) {
			throw new FailureError(createFailure('platformMalformed', `the answer has more than ${maxAnswerBytes} bytes`));
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Speaks to the object API at one base URL, such as `http://127.0.0.1:7000`. */
export class HttpObjectStore extends ObjectStore {
	readonly #origin: string;
	readonly #timeoutMs: number;
	readonly #agent = new Agent({pipelining: 1});

	/** `timeoutMs` bounds each call; a watch waits longer by `watchWaitMs`. */
	constructor(origin: string, timeoutMs = callTimeoutMs) {
		super();
		this.#origin = origin;
		this.#timeoutMs = timeoutMs;
	}

	override get(key: string): EitherAsync<Failure, StoredObject> {
		return this.#send({kind: 'get', method: 'GET', path: getObjectPath(key)}, parseObject);
	}

	override list(prefix: string): EitherAsync<Failure, ObjectList> {
		return this.#send({kind: 'list', method: 'GET', path: `/objects?prefix=${encodeURIComponent(prefix)}`}, parseList);
	}

	override create(key: string, value: string): EitherAsync<Failure, StoredObject> {
		return this.#write({
			kind: 'create', method: 'PUT', path: getObjectPath(key), headers: {'if-none-match': '*'}, body: value,
		});
	}

	override update(key: string, value: string, version: number): EitherAsync<Failure, StoredObject> {
		return this.#write({
			kind: 'update', method: 'PUT', path: getObjectPath(key), headers: {'if-match': String(version)}, body: value,
		});
	}

	override remove(key: string, version: number): EitherAsync<Failure, void> {
		return this.#send({
			kind: 'delete', method: 'DELETE', path: getObjectPath(key), headers: {'if-match': String(version)},
		}, () => undefined);
	}

	override watch(prefix: string, fromVersion: number, signal?: AbortSignal): EitherAsync<Failure, WatchResult> {
		return this.#send({
			kind: 'watch',
			method: 'GET',
			path: `/watch?prefix=${encodeURIComponent(prefix)}&from=${fromVersion}&wait=${watchWaitMs}`,
			timeoutMs: watchWaitMs + this.#timeoutMs,
			...(signal && {signal}),
		}, parseWatch);
	}

	/** Closes the connections; calls in progress fail. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	#write(options: CallOptions): EitherAsync<Failure, StoredObject> {
		const size = Buffer.byteLength(options.body ?? '');
		return size > maxValueBytes
			? EitherAsync.liftEither(Left(createFailure('platformTooLarge', `the value has ${size} bytes, the bound is ${maxValueBytes}`)))
			: this.#send(options, parseObject);
	}

	#send<T>(options: CallOptions, parse: (value: unknown) => T): EitherAsync<Failure, T> {
		return EitherAsync<Failure, T>(async ({throwE}) => {
			this.recordCall(options.kind);
			try {
				return parse(await this.#fetch(options));
			} catch (error) {
				return throwE(toFailure(error));
			}
		});
	}

	async #fetch({method, path, headers = {}, body, timeoutMs = this.#timeoutMs, signal}: CallOptions): Promise<unknown> {
		const timeout = AbortSignal.timeout(timeoutMs);
		const answer = await request(`${this.#origin}${path}`, {
			method, headers, body: body ?? null, dispatcher: this.#agent, signal: signal ? AbortSignal.any([signal, timeout]) : timeout,
		});
		const text = await readBounded(answer.body);
		if (answer.statusCode >= 300) {
			throw new FailureError(createStatusFailure(answer.statusCode, text));
		}

		return parseAnswer(text);
	}
}

function toFailure(error: unknown): Failure {
	return error instanceof FailureError ? error.failure : createFailure('platformUnavailable', String(error));
}
