/** Answers that the node itself gives to callers. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	ranHeader, resultCodes, resultHeader, type Failure,
} from '@limpetbarrow/core';

const msPerS = 1000;

/** The JSON body that reports a failure. */
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

/** Where the request may be sent again, says when; in whole seconds unless callers read fractions. */
function formatRetryAfter({resend, retryAfterMs}: Failure, hasFractionalRetryAfter: boolean): Readonly<Record<string, string>> {
	if (hasFractionalRetryAfter && retryAfterMs !== undefined) {
		return {'retry-after': (retryAfterMs / msPerS).toFixed(2)};
	}

	return resend === 'later' ? {'retry-after': String(Math.ceil((retryAfterMs ?? msPerS) / msPerS))} : {};
}

/** Answers a request with a failure; the connection closes when the request's body was not read. */
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

/** A whole answer as text, for connections that Node's `http` has given up on. */
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

/** Answers with a value as JSON. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
	const body = JSON.stringify(value);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	response.end(body);
}
