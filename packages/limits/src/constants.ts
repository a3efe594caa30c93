/** Constants of terms and rate limits. */

/** Milliseconds in a second. */
export const msPerS = 1000;

/** Most callers whose limits a node tracks. */
export const maxBuckets = 50_000;

/** Interval between usage reports on a caller that is well within its rate limit, in milliseconds. */
export const reportIntervalMs = 5000;

/** Interval between usage reports on a caller that is near its rate limit, in milliseconds. */
export const nearLimitReportIntervalMs = 250;

/** Least number of requests that are reported before the interval is over while a caller is well within its rate limit. */
export const minReportedRequests = 4;

/** Time after which the next report may follow a report without an answer, in milliseconds. */
export const reportRetryMs = 1000;

/** Most permits in a caller's account at its home node, as milliseconds of the caller's rate. */
export const homeBurstMs = 6000;

/** Limit of the debt of a caller's account, as milliseconds of the caller's rate. */
export const maxDebtMs = 6000;

/** Share of their lifetime that terms must have been held for before a renewal raises their limits. */
export const minHeldLifetimeShare = 0.5;
