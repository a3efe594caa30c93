/** Distinguishes errors from before a request was sent from errors after it. */

/** Errors of name resolution or connecting; no part of the request has been sent. */
const connectErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Returns true when the request was never sent. Any error of the `connect` system call counts: a listener that closes resets
 * the connections that it has not accepted yet.
 */
export function isNeverSent(error: unknown): boolean {
	const {code = '', syscall} = error as {readonly code?: string; readonly syscall?: string};
	return syscall === 'connect' || connectErrorCodes.has(code);
}
