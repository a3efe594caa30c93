/** How a response of a backend server is framed on its connection. */
import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {findHeader, type RawHeaders, type ResponseHead} from '@limpetbarrow/core';
import {hasResponseBody} from '../callers/headers.js';

const lengthPattern = /^\d+$/v;

/** Decodes the headers of a response as the HTTP client (undici) gives them. */
export function decodeHeaders(headers: Dispatcher.DispatchController['rawHeaders']): RawHeaders {
	return Array.isArray(headers) ? headers.map(part => Buffer.isBuffer(part) ? part.toString('latin1') : part) : [];
}

/** True when the response body has neither a content-length nor a transfer coding, so it ends with the connection. */
export function isUnframed(method: string, {status, headers}: ResponseHead): boolean {
	return hasResponseBody(method, status) && findHeader(headers, 'content-length') === undefined && findHeader(headers, 'transfer-encoding') === undefined;
}

/** Finds the length of the body on the connection, in bytes; undefined if it is sent in chunks or ends with the connection. */
export function findBodyBytes(method: string, {status, headers}: ResponseHead): number | undefined {
	const length = hasResponseBody(method, status) ? findHeader(headers, 'content-length') : '0';
	return length === undefined || !lengthPattern.test(length) ? undefined : Number(length);
}
