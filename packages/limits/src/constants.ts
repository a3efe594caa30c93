/** Bounds of limits. */

/** Milliseconds in a second. */
export const msPerS = 1000;

/** Most callers whose limits a node holds. */
export const maxBuckets = 50_000;

/** Time between two reports on a caller that is well within its terms, in milliseconds. */
export const reportIntervalMs = 5000;

/** Time between two reports on a caller that is close to its terms' rate, in milliseconds. */
export const nearLimitReportIntervalMs = 250;

/** Least number of requests that is reported before the time is up while a caller is well within its terms. */
export const minReportedRequests = 4;

/** Time after which a report without answer is followed by another, in milliseconds. */
export const reportRetryMs = 1000;

/** Time of a caller's rate that its account at the home holds at most, in milliseconds. */
export const homeBurstMs = 6000;

/** Time of a caller's rate that its account may be overdrawn by, in milliseconds. */
export const maxDebtMs = 6000;

/** Share of their lifetime that terms must have been held before a renewal makes them more generous. */
export const minHeldLifetimeShare = 0.5;
