/** Bounds shared by the packages. */

/** Credit each direction of an exchange starts with, in bytes. */
export const exchangeWindowBytes = 65_536;

/** Largest frame between two nodes, in bytes. */
export const maxFrameBytes = 1_048_576;

/** Deadline of a request when neither caller, terms nor route set one, in milliseconds. */
export const defaultTimeoutMs = 10_000;

/** Largest head of a request that is accepted, in bytes. */
export const maxHeaderBytes = 16_384;

/** Prefix of the paths a node answers itself. */
export const reservedPathPrefix = '/.limpetbarrow/';

/** Header with the signed terms a caller holds. */
export const termsHeader = 'limpetbarrow-terms';

/** Header with the result code of a refusal or failure. */
export const resultHeader = 'limpetbarrow-result';

/** Header that says whether a failed request ran: `not-run` or `unknown`. */
export const ranHeader = 'limpetbarrow-ran';

/** Header with the time a caller waits for its answer, in milliseconds; also sent to the backend server. */
export const timeoutHeader = 'limpetbarrow-timeout-ms';

/** Header with the key of a request that may not be repeated. */
export const idempotencyHeader = 'idempotency-key';

/** Header with the id of a request, for logs and traces. */
export const requestIdHeader = 'limpetbarrow-request-id';

/** Header with the number of this send of an idempotency key, counted by the caller from 1. */
export const attemptHeader = 'limpetbarrow-attempt';

/** Header of an answer that asks the caller to renew its terms, since their home is stopping. */
export const renewHeader = 'limpetbarrow-renew';
