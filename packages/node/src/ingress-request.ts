/** Reads what callers send: host, deadline, terms and key. */
import {type IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, findHeader, idempotencyHeader, termsHeader, timeoutHeader, type Failure,
} from '@limpetbarrow/core';

/** A caller's request as the ingress reads it. */
export type IngressRequest = {
	/** Host without port, in lower case. */
	readonly host: string;
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly timeoutMs: number | undefined;
	readonly termsToken: string | undefined;
	readonly idempotencyKey: string | undefined;
	/** Declared size of the body in bytes; undefined when it is not declared. */
	readonly contentLength: number | undefined;
};

function parseTimeout(text: string | undefined): Either<Failure, number | undefined> {
	if (text === undefined) {
		return Right(undefined);
	}

	const timeoutMs = Number(text);
	return /^\d{1,9}$/v.test(text) && timeoutMs > 0
		? Right(timeoutMs)
		: Left(createFailure('invalidTimeout', `${timeoutHeader} is ${text.slice(0, 40)}`));
}

/** Reads the head of a request. */
export function parseIngressRequest(message: IncomingMessage): Either<Failure, IngressRequest> {
	const headers = message.rawHeaders;
	const host = (message.headers.host ?? '').replace(/:\d+$/v, '').toLowerCase();
	const path = message.url ?? '/';
	if (!path.startsWith('/')) {
		return Left(createFailure('malformedRequest', 'the request target is not a path'));
	}

	const contentLength = message.headers['content-length'];
	return parseTimeout(findHeader(headers, timeoutHeader)).map(timeoutMs => ({
		host,
		method: message.method ?? 'GET',
		path,
		headers,
		timeoutMs,
		termsToken: findHeader(headers, termsHeader),
		idempotencyKey: findHeader(headers, idempotencyHeader),
		contentLength: contentLength === undefined ? undefined : Number(contentLength),
	}));
}
