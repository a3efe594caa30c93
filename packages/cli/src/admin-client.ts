/** Client of a node's admin API. */
import {EitherAsync} from 'purify-ts';
import {request} from 'undici';
import {
	createFailure, FailureError, resultCodes, type Failure, type ResultName,
} from '@limpetbarrow/core';

/** Timeout of a call. It is long because a node may try the platform several times for one release. */
const callTimeoutMs = 60_000;

type FailureBody = {
	readonly name?: unknown;
	readonly detail?: unknown;
};

type Answer = {
	readonly status: number;
	readonly text: string;
};

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		throw new FailureError(createFailure('malformedRequest', 'the answer is not JSON; is this the admin address of a node?'));
	}
}

function createAnswerFailure({status, text}: Answer): Failure {
	const {name, detail} = (parseJson(text) ?? {}) as FailureBody;
	return typeof name === 'string' && name in resultCodes
		? createFailure(name as ResultName, typeof detail === 'string' ? detail : '')
		: createFailure('internalError', `status ${status}`);
}

function isNeverSent(error: unknown): boolean {
	const {code} = (error as {readonly code?: unknown});
	return code === 'ECONNREFUSED' || code === 'ENOTFOUND' || code === 'EHOSTUNREACH' || code === 'ENETUNREACH' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

/** Calls the admin API of one node, given its base URL, such as `http://127.0.0.1:8081`. */
export class AdminClient {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin.replace(/\/$/v, '');
	}

	/** Fetches a value. */
	fetch(path: string): EitherAsync<Failure, unknown> {
		return this.#send('GET', path, 'linkUnreachable');
	}

	/** Posts a value to be validated; this changes nothing on the node. */
	check(path: string, value: unknown): EitherAsync<Failure, unknown> {
		return this.#send('POST', path, 'linkUnreachable', JSON.stringify(value));
	}

	/** Posts a release note. Fails with `releaseUnknown` when no answer arrives, because the note may have been accepted. */
	apply(path: string, value: unknown): EitherAsync<Failure, unknown> {
		return this.#send('POST', path, 'releaseUnknown', JSON.stringify(value));
	}

	#send(method: 'GET' | 'POST', path: string, lostAnswerResult: ResultName, body?: string): EitherAsync<Failure, unknown> {
		return EitherAsync(async ({throwE}) => {
			if (!URL.canParse(this.#origin) || !/^https?:/v.test(this.#origin)) {
				return throwE(createFailure('settingsInvalid', `--admin: ${this.#origin} is not an http URL`));
			}

			try {
				const answer = await this.#fetchText(method, path, body);
				return answer.status === 200 ? parseJson(answer.text) : throwE(createAnswerFailure(answer));
			} catch (error) {
				return throwE(this.#toFailure(error, lostAnswerResult));
			}
		});
	}

	async #fetchText(method: 'GET' | 'POST', path: string, body: string | undefined): Promise<Answer> {
		const answer = await request(`${this.#origin}${path}`, {
			method, body: body ?? null, headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(callTimeoutMs),
		});
		return {status: answer.statusCode, text: await answer.body.text()};
	}

	#toFailure(error: unknown, lostAnswerResult: ResultName): Failure {
		if (error instanceof FailureError) {
			return error.failure;
		}

		const isFailure = typeof error === 'object' && error !== null && 'resend' in error;
		return isFailure
			? error as Failure
			: createFailure(isNeverSent(error) ? 'linkUnreachable' : lostAnswerResult, `no answer from ${this.#origin}: ${String(error)}`);
	}
}
