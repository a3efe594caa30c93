/** Which headers travel on, by the rules of HTTP for intermediaries. */
import {requestIdHeader, termsHeader, timeoutHeader} from '@limpetbarrow/core';

const hopByHop: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect']);
const ownRequestHeaders: ReadonlySet<string> = new Set([termsHeader, timeoutHeader, requestIdHeader]);

/** True when a request header goes on to the backend server; names in lower case. */
export function isForwardedRequestHeader(name: string): boolean {
	return !hopByHop.has(name) && !ownRequestHeaders.has(name);
}

/** True when an answer's header goes on to the caller; names in lower case. */
export function isForwardedResponseHeader(name: string): boolean {
	return !hopByHop.has(name);
}
