/** Limits and timeouts of the platform's object API. */

/** Maximum size of an object's value, in bytes. */
export const maxValueBytes = 1_048_576;

/** Timeout of a call other than a watch, in milliseconds. */
export const callTimeoutMs = 3000;

/** Time that a watch waits for a change before it returns without events, in milliseconds. */
export const watchWaitMs = 10_000;

/** Maximum size of a response body that the client reads, in bytes. */
export const maxResponseBytes = 33_554_432;
