/** Which headers travel on, by the rules of HTTP for intermediaries. */
import {
	findHeader, requestIdHeader, selectHeaders, termsHeader, timeoutHeader, type RawHeaders,
} from '@limpetbarrow/core';

const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);
const protocolRequestHeaders: ReadonlySet<string> = new Set([termsHeader, timeoutHeader, requestIdHeader]);
const emptySet: ReadonlySet<string> = new Set();

/** Names that `connection` lists; they concern the one connection only. */
function listConnectionNames(headers: RawHeaders): ReadonlySet<string> {
	const value = findHeader(headers, 'connection');
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return emptySet;
	}

	const values = headers.filter((_, position) => position % 2 === 1 && headers[position - 1]!.toLowerCase() === 'connection');
	return new Set(values.flatMap(text => text.split(',')).map(name => name.trim().toLowerCase()));
}

/** Framing is worked out anew for each connection; a length that `connection` lists is still the body's. */
function isConnectionHeader(name: string, listed: ReadonlySet<string>): boolean {
	return listed.has(name) && name !== 'content-length' && name !== 'host';
}

/** The request headers that go on to the backend server. */
export function selectRequestHeaders(headers: RawHeaders): RawHeaders {
	const listed = listConnectionNames(headers);
	return selectHeaders(headers, name => !hopByHopHeaders.has(name) && !protocolRequestHeaders.has(name) && !isConnectionHeader(name, listed));
}

/** The answer's headers that go on to the caller. */
export function selectResponseHeaders(headers: RawHeaders): RawHeaders {
	const listed = listConnectionNames(headers);
	return selectHeaders(headers, name => !hopByHopHeaders.has(name) && !isConnectionHeader(name, listed));
}
