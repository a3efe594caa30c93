/** A minimal caller of the fleet: sends each request once, with an optional terms token and idempotency key. */
import {request, type Dispatcher} from 'undici';
import {
	idempotencyHeader, ranHeader, resultHeader, termsHeader,
} from '@limpetbarrow/core';
import {isNeverSent} from './never-sent.js';
import {isStoppingOrigin, OriginSelector} from './origin-selector.js';

/** A request to send once. */
export type CallerRequest = {
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	readonly host?: string;
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly idempotencyKey?: string;
};

/** Outcome of a send. */
export type CallerAnswer = {
	/** HTTP status; 0 when no answer arrived. */
	readonly status: number;
	/** Body of the answer, or the error when no answer arrived. */
	readonly text: string;
	/** Result code of a refusal or failure; undefined for an answer of a backend server and when no answer arrived. */
	readonly code: number | undefined;
	/** `ran` for an answer of a backend server. */
	readonly ran: 'ran' | 'not-run' | 'unknown';
};

/** Sends requests to ingress base URLs, such as `http://127.0.0.1:8080`. */
export class Caller {
	readonly #origins: OriginSelector;
	readonly #token: string | undefined;

	constructor(origins: readonly string[], token?: string) {
		this.#origins = new OriginSelector(origins);
		this.#token = token;
	}

	/** Sends a request once, through the ingress at `index` or, if that one is stopping, the next one. Never rejects. */
	async send(callerRequest: CallerRequest, index = 0): Promise<CallerAnswer> {
		const {method, path, host, body, headers = {}, idempotencyKey} = callerRequest;
		const origin = this.#origins.pickOrigin(index);
		try {
			const answer = await request(`${origin}${path}`, {
				method,
				body: body ?? null,
				headers: {
					...headers,
					...(host !== undefined && {host}),
					...(this.#token !== undefined && {[termsHeader]: this.#token}),
					...(idempotencyKey !== undefined && {[idempotencyHeader]: idempotencyKey}),
				},
			});
			if (isStoppingOrigin(answer.headers)) {
				this.#origins.recordStopping(origin);
			}

			const text = await answer.body.text();
			const code = answer.headers[resultHeader];
			return {
				status: answer.statusCode,
				text,
				code: code === undefined ? undefined : Number(code),
				ran: code === undefined ? 'ran' : (answer.headers[ranHeader] === 'not-run' ? 'not-run' : 'unknown'),
			};
		} catch (error) {
			return {
				status: 0, text: String(error), code: undefined, ran: isNeverSent(error) ? 'not-run' : 'unknown',
			};
		}
	}
}
