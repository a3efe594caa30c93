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

/** Time for which a node asks ahead for the permits of steady demand, in milliseconds. */
export const quotaAskAheadMs = 250;

/** Lifetime of an unused permit, in milliseconds. */
export const quotaPermitLifetimeMs = 1000;

/** Time to wait for a home's answer before the next attempt, in milliseconds; above the round trip between regions of 120 ms. */
export const quotaAskTimeoutMs = 150;

/** The same for the second-ranked node, which may pass the question on to the home: two round trips between regions. */
export const quotaRelayTimeoutMs = 300;

/** Time for which a home repeats its answer to a repeated question, in milliseconds; the last attempt starts after 450 ms. */
export const quotaRepeatMs = 600;

/** Time constant of the demand estimate, in milliseconds. */
export const quotaDemandMs = 1000;

/** Time for which a home that didn't answer is asked last, and a node without a home spends its own share, in milliseconds. */
export const quotaSilenceMs = 1000;

/** Time after which all nodes know of a membership change, in milliseconds; views of members differ for up to 3 s. */
export const quotaSettleMs = 3500;

/**
 * Time for which a member that is new in a node's view doesn't replace the home before it, in milliseconds. The newcomer refers
 * nodes to that home until it has settled, and is asked first by all nodes afterwards.
 */
export const quotaNewcomerMs = 4000;

/** Time for which a home remembers the members that were home before it, in milliseconds; long enough for a bucket to fill. */
export const quotaTenureMs = 600_000;

/** Time for which a home counts the known members that another node reported, in milliseconds. */
export const quotaReportedKnownMs = 10_000;

/**
 * Share of the rate that a home grants while another node may still be granting the whole rate. Over the 3 s for which views
 * differ this amounts to 0.3 s of the rate, of the 0.5 s that the bound allows above the quota; permits in stock, up to 0.16 s of
 * the rate at the usual load, need the rest.
 */
export const quotaProvisionalShare = 0.1;

/** Permits per second added to the provisional share: 7 in 3.5 s, of the 20 that the bound allows above the quota. */
export const quotaProvisionalRate = 2;

/** Share of the burst, and number of permits, with which a new home begins; the bound allows 0.1 of the burst and 20 permits. */
export const quotaStartShare = 0.05;
export const quotaStartPermits = 3;

/**
 * Share of the burst, and number of permits, by which a bucket is larger than the burst: it replaces permits that are lost with
 * an answer or expire. The bound allows 0.1 of the burst and 20 permits for this and for what a new home begins with.
 */
export const quotaSpareShare = 0.03;
export const quotaSparePermits = 3;

/** Least capacity of a bucket, as milliseconds of the rate, so that a quota without burst can be taken in batches. */
export const quotaMinBurstMs = 150;

/** Longest wait that a home gives to a node, in milliseconds. */
export const maxQuotaWaitMs = 2000;

/** Most organisations that a node tracks as home or as client; 27,000 are planned. */
export const maxQuotaEntries = 30_000;

/** Most requests of a node that wait for answers of homes. */
export const maxQuotaWaiting = 4096;
