/** Parses callers' requests: host, timeout, terms and idempotency key. */
import {type IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, findHeader, idempotencyHeader, selectHeaders, termsHeader, timeoutHeader, type Failure,
} from '@limpetbarrow/core';
import {type OrganisationHeaderNames} from './caller-identity.js';

/** The headers that the ingress reads from callers' requests, and the format of its responses. */
export type CallerProtocol = {
	/** Name of the header with the caller's timeout in milliseconds. */
	readonly timeoutHeader: string;
	/** Name of the header with the caller's request id; undefined if the ingress creates the ids itself. */
	readonly requestIdHeader: string | undefined;
	/** True when callers accept fractions of a second in `retry-after`. */
	readonly hasFractionalRetryAfter: boolean;
	/** Headers that concern organisations with keys; undefined if callers have none. */
	readonly organisationHeaders?: OrganisationHeaderNames;
};

/** The limpetbarrow protocol. */
export const defaultCallerProtocol: CallerProtocol = {timeoutHeader, requestIdHeader: undefined, hasFractionalRetryAfter: false};

/** A caller's request as parsed by the ingress. */
export type IngressRequest = {
	/** Request id sent by the caller. */
	readonly requestId?: string | undefined;
	/** Host without port, in lower case. */
	readonly host: string;
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly timeoutMs: number | undefined;
	readonly termsToken: string | undefined;
	readonly idempotencyKey: string | undefined;
	/** Value of `content-length` in bytes; undefined when the header is missing. */
	readonly contentLength: number | undefined;
};

function parseTimeout(text: string | undefined, header: string): Either<Failure, number | undefined> {
	if (text === undefined) {
		return Right(undefined);
	}

	const timeoutMs = Number(text);
	return /^\d{1,9}$/v.test(text) && timeoutMs > 0
		? Right(timeoutMs)
		: Left(createFailure('invalidTimeout', `${header} must be a whole number of milliseconds from 1 to 999999999, not ${text.slice(0, 40)}`));
}

type RequestTarget = {
	readonly host: string;
	readonly path: string;
};

const absoluteForm = /^https?:\/\/(?<authority>[^\/?#@\s]+)(?<path>[\/?][^#]*)?$/iv;

function parseTarget(url: string, hosts: readonly string[], httpVersion: string): Either<Failure, RequestTarget> {
	const isHostMissing = (hosts[0] ?? '') === '' && httpVersion !== '1.0';
	if (hosts.length > 1 || isHostMissing) {
		return Left(createFailure('malformedRequest', 'exactly one host header is required'));
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

/** Replaces the host header by the host of an absolute request target, which takes precedence over it. */
function replaceHost(headers: readonly string[], url: string, host: string): readonly string[] {
	return url.startsWith('/') ? headers : ['host', host, ...selectHeaders(headers, name => name !== 'host')];
}

/** Parses the head of a request; fails on a malformed target, host or timeout. */
export function parseIngressRequest(message: IncomingMessage, protocol = defaultCallerProtocol): Either<Failure, IngressRequest> {
	const headers = message.rawHeaders;
	const url = message.url ?? '';
	const contentLength = findHeader(headers, 'content-length');
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
