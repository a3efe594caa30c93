/** Tells failures before a request was sent from those after. */

/** Failures of looking up or connecting; nothing of the request has left. */
const notSentCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

/** True when the request was never sent: a listener that closes resets the connections that it has not accepted yet. */
export function isNeverSent(error: unknown): boolean {
	const {code = '', syscall} = error as {readonly code?: string; readonly syscall?: string};
	return syscall === 'connect' || notSentCodes.has(code);
}
