/** Bounds of limits. */

/** Milliseconds in a second. */
export const msPerS = 1000;

/** Most callers whose limits a node holds. */
export const maxBuckets = 50_000;

/** Time of a caller's allowance that one batch of permits covers, in milliseconds. */
export const batchMs = 250;

/** Time after which permits taken from the home and not used are given up, in milliseconds. */
export const permitLifetimeMs = 1000;

/** Time without an answer after which the home counts as not answering, in milliseconds. */
export const homeAnswerMs = 250;

/** Time between two tries to reach a home that does not answer, in milliseconds. */
export const homeRetryMs = 1000;

/** Share of their lifetime that terms must have been held before a renewal makes them more generous. */
export const minHeldShare = 0.5;
