/** Limits, defaults and header names shared by the packages. */

/** Flow-control credit that each direction of an exchange starts with, in bytes. */
export const exchangeWindowBytes = 65_536;

/** Largest frame between two nodes, in bytes. */
export const maxFrameBytes = 1_048_576;

/** Timeout of a request for which neither the caller, its terms nor the route sets one, in milliseconds. */
export const defaultTimeoutMs = 10_000;

/** Largest accepted head of a request (request line and headers), in bytes. */
export const maxHeaderBytes = 16_384;

/** Prefix of the paths that a node answers itself instead of forwarding them. */
export const reservedPathPrefix = '/.limpetbarrow/';

/** Header with the caller's signed terms. */
export const termsHeader = 'limpetbarrow-terms';

/** Header with the result code of a refusal or failure. */
export const resultHeader = 'limpetbarrow-result';

/** Header that says whether a failed request ran on a backend server: `not-run` or `unknown`. */
export const ranHeader = 'limpetbarrow-ran';

/** Header with the time that the caller waits for its answer, in milliseconds; also sent to the backend server. */
export const timeoutHeader = 'limpetbarrow-timeout-ms';

/** Header with the idempotency key of a request that may run at most once. */
export const idempotencyHeader = 'idempotency-key';

/** Header with the id of a request, for logs and traces. */
export const requestIdHeader = 'limpetbarrow-request-id';

/** Header with the number of this attempt to send an idempotency key, counted by the caller from 1. */
export const attemptHeader = 'limpetbarrow-attempt';

/** Header of an answer that asks the caller to renew its terms because their home node is stopping. */
export const renewHeader = 'limpetbarrow-renew';
