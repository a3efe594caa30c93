/** Transports that send requests to an ingress. */
import {request} from 'undici';
import {isNeverSent} from './never-sent.js';
import {type Send, type SendResult} from './types.js';

/** Sends one request. Implementations report errors in the result and never reject. */
export abstract class Transport {
	abstract send(send: Send): Promise<SendResult>;
}

function toTextHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Readonly<Record<string, string>> {
	return Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, String(value)]));
}

/** Sends requests over HTTP. */
export class HttpTransport extends Transport {
	override async send({origin, method, path, headers, body, timeoutMs}: Send): Promise<SendResult> {
		try {
			const answer = await request(`${origin}${path}`, {
				method, headers, body: body ?? null, signal: AbortSignal.timeout(Math.max(1, timeoutMs)),
			});
			return {
				kind: 'answer', status: answer.statusCode, headers: toTextHeaders(answer.headers), text: await answer.body.text(),
			};
		} catch (error) {
			const {code = '', message} = error as Error & {readonly code?: string};
			return {kind: isNeverSent(error) ? 'not-sent' : 'lost', detail: `${code} ${message}`.trim()};
		}
	}
}
