/** Selects the headers to forward, by the HTTP rules for intermediaries. */
import {
	findHeader, requestIdHeader, selectHeaders, termsHeader, timeoutHeader, type RawHeaders,
} from '@limpetbarrow/core';

const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);
const protocolRequestHeaders: ReadonlySet<string> = new Set([termsHeader, timeoutHeader, requestIdHeader]);
/** No Content and Not Modified. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
const emptySet: ReadonlySet<string> = new Set();

/** Lists the names in the `connection` headers; these headers apply to a single connection and are not forwarded. */
function listConnectionNames(headers: RawHeaders): ReadonlySet<string> {
	const value = findHeader(headers, 'connection');
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return emptySet;
	}

	const values = headers.filter((_, position) => position % 2 === 1 && headers[position - 1]!.toLowerCase() === 'connection');
	return new Set(values.flatMap(text => text.split(',')).map(name => name.trim().toLowerCase()));
}

/**
 * True for a header that `connection` lists, except `host` and `content-length`: framing is set anew for each connection,
 * and a listed length still describes the body.
 */
function isConnectionHeader(name: string, listed: ReadonlySet<string>): boolean {
	return listed.has(name) && name !== 'content-length' && name !== 'host';
}

/** Selects the request headers to forward to the backend server. */
export function selectRequestHeaders(headers: RawHeaders): RawHeaders {
	const listed = listConnectionNames(headers);
	return selectHeaders(headers, name => !hopByHopHeaders.has(name) && !protocolRequestHeaders.has(name) && !isConnectionHeader(name, listed));
}

/** True when a response with that status to a request with that method may have a body. */
export function hasResponseBody(method: string, status: number): boolean {
	return method !== 'HEAD' && !bodilessStatuses.has(status);
}

/** Selects the response headers to forward to the caller. */
export function selectResponseHeaders(headers: RawHeaders): RawHeaders {
	const listed = listConnectionNames(headers);
	return selectHeaders(headers, name => !hopByHopHeaders.has(name) && !isConnectionHeader(name, listed));
}
