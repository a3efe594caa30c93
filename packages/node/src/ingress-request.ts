/** Reads what callers send: host, deadline, terms and key. */
import {type IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, findHeader, idempotencyHeader, selectHeaders, termsHeader, timeoutHeader, type Failure,
} from '@limpetbarrow/core';

/** Which headers of callers the ingress reads, and how it answers. */
export type CallerProtocol = {
	/** Header with the milliseconds for which the caller waits. */
	readonly timeoutHeader: string;
	/** Header with an id that the caller gave the request; undefined where the ingress gives ids itself. */
	readonly requestIdHeader: string | undefined;
	/** True when callers read fractions of a second in `retry-after`. */
	readonly hasFractionalRetryAfter: boolean;
};

/** The project's own protocol. */
export const defaultCallerProtocol: CallerProtocol = {timeoutHeader, requestIdHeader: undefined, hasFractionalRetryAfter: false};

/** A caller's request as the ingress reads it. */
export type IngressRequest = {
	/** Id that the caller gave the request. */
	readonly requestId?: string | undefined;
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

function parseTimeout(text: string | undefined, header: string): Either<Failure, number | undefined> {
	if (text === undefined) {
		return Right(undefined);
	}

	const timeoutMs = Number(text);
	return /^\d{1,9}$/v.test(text) && timeoutMs > 0
		? Right(timeoutMs)
		: Left(createFailure('invalidTimeout', `${header} is ${text.slice(0, 40)}`));
}

type RequestTarget = {
	readonly host: string;
	readonly path: string;
};

const absoluteForm = /^https?:\/\/(?<authority>[^\/?#@\s]+)(?<path>[\/?][^#]*)?$/iv;

function parseTarget(url: string, hosts: readonly string[], httpVersion: string): Either<Failure, RequestTarget> {
	const isHostMissing = (hosts[0] ?? '') === '' && httpVersion !== '1.0';
	if (hosts.length > 1 || isHostMissing) {
		return Left(createFailure('malformedRequest', 'one host header is needed'));
	}

	if (url.startsWith('/')) {
		return Right({host: hosts[0] ?? '', path: url});
	}

	const {authority, path} = absoluteForm.exec(url)?.groups ?? {};
	if (authority === undefined) {
		return Left(createFailure('malformedRequest', 'the request target is neither a path nor an absolute URL'));
	}

	return Right({host: authority, path: path?.startsWith('?') ? `/${path}` : path ?? '/'});
}

function listHeaderValues(headers: readonly string[], name: string): readonly string[] {
	return headers.filter((_, position) => position % 2 === 1 && headers[position - 1]!.toLowerCase() === name);
}

/** An absolute target goes before the host header, which is made to say the same. */
function replaceHost(headers: readonly string[], url: string, host: string): readonly string[] {
	return url.startsWith('/') ? headers : ['host', host, ...selectHeaders(headers, name => name !== 'host')];
}

/** Reads the head of a request. */
export function parseIngressRequest(message: IncomingMessage, protocol = defaultCallerProtocol): Either<Failure, IngressRequest> {
	const headers = message.rawHeaders;
	const url = message.url ?? '';
	const contentLength = message.headers['content-length'];
	return parseTarget(url, listHeaderValues(headers, 'host'), message.httpVersion)
		.chain(target => parseTimeout(findHeader(headers, protocol.timeoutHeader), protocol.timeoutHeader).map(timeoutMs => ({
			requestId: protocol.requestIdHeader === undefined ? undefined : findHeader(headers, protocol.requestIdHeader),
			host: target.host.replace(/:\d+$/v, '').toLowerCase(),
			method: message.method ?? 'GET',
			path: target.path,
			headers: replaceHost(headers, url, target.host),
			timeoutMs,
			termsToken: findHeader(headers, termsHeader),
			idempotencyKey: findHeader(headers, idempotencyHeader),
			contentLength: contentLength === undefined ? undefined : Number(contentLength),
		})));
}
