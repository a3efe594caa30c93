/** Calls the admin API of a node. */
import {EitherAsync} from 'purify-ts';
import {request} from 'undici';
import {
	createFailure, resultCodes, type Failure, type ResultName,
} from '@limpetbarrow/core';

const callTimeoutMs = 15_000;

type FailureBody = {
	readonly name?: string;
	readonly detail?: string;
};

function parseFailure(status: number, text: string): Failure {
	const {name, detail} = JSON.parse(text) as FailureBody;
	return name !== undefined && name in resultCodes
		? createFailure(name as ResultName, detail ?? '')
		: createFailure('internalError', `status ${status}`);
}

/** Speaks to one node's admin API, such as `http://127.0.0.1:8081`. */
export class AdminClient {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin;
	}

	fetch(path: string): EitherAsync<Failure, unknown> {
		return this.#send('GET', path);
	}

	send(path: string, value: unknown): EitherAsync<Failure, unknown> {
		return this.#send('POST', path, JSON.stringify(value));
	}

	#send(method: 'GET' | 'POST', path: string, body?: string): EitherAsync<Failure, unknown> {
		return EitherAsync(async ({throwE}) => {
			const answer = await this.#fetchText(method, path, body);
			return answer.status === 200
				? JSON.parse(answer.text) as unknown
				: throwE(answer.status === 0 ? createFailure('linkUnreachable', `no answer from ${this.#origin}: ${answer.text}`) : parseFailure(answer.status, answer.text));
		});
	}

	async #fetchText(method: 'GET' | 'POST', path: string, body?: string): Promise<{readonly status: number; readonly text: string}> {
		try {
			const answer = await request(`${this.#origin}${path}`, {
				method, body: body ?? null, headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(callTimeoutMs),
			});
			return {status: answer.statusCode, text: await answer.body.text()};
		} catch (error) {
			return {status: 0, text: String(error)};
		}
	}
}
