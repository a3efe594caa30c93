/** HTTP responses that the node generates itself. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	ranHeader, resultCodes, resultHeader, type Failure,
} from '@limpetbarrow/core';

const msPerS = 1000;

/** Creates the JSON body of a failure response. */
export function createFailureBody(failure: Failure): string {
	return JSON.stringify({
		code: failure.code,
		name: failure.name,
		meaning: resultCodes[failure.name].meaning,
		detail: failure.detail,
		ran: failure.ran,
		resend: failure.resend,
	});
}

/** Formats `retry-after` for a retryable request: in whole seconds, unless callers accept fractions of a second. */
function formatRetryAfter({resend, retryAfterMs}: Failure, hasFractionalRetryAfter: boolean): Readonly<Record<string, string>> {
	if (hasFractionalRetryAfter && retryAfterMs !== undefined) {
		return {'retry-after': (retryAfterMs / msPerS).toFixed(2)};
	}

	return resend === 'later' ? {'retry-after': String(Math.ceil((retryAfterMs ?? msPerS) / msPerS))} : {};
}

/** Sends a failure response. The connection is closed if the request's body has not been read completely. */
export function sendFailure(message: IncomingMessage, response: ServerResponse, failure: Failure, hasFractionalRetryAfter = false): void {
	const body = createFailureBody(failure);
	response.writeHead(failure.status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(body),
		[resultHeader]: String(failure.code),
		[ranHeader]: failure.ran,
		...formatRetryAfter(failure, hasFractionalRetryAfter),
		...(!message.complete && {connection: 'close'}),
	});
	response.end(body);
}

/** Formats a complete failure response as text, for sockets without a `ServerResponse`, as after a parse error. */
export function formatRawFailure(failure: Failure): string {
	const body = createFailureBody(failure);
	return [
		`HTTP/1.1 ${failure.status} Refused`,
		'connection: close',
		'content-type: application/json',
		`content-length: ${Buffer.byteLength(body)}`,
		`${resultHeader}: ${failure.code}`,
		`${ranHeader}: ${failure.ran}`,
		'',
		body,
	].join('\r\n');
}

/** Sends a value as a JSON response. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
	const body = JSON.stringify(value);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	response.end(body);
}
