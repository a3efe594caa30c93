/** Constants of failure detection. */

/** Failure share that is assumed as normal before any request, and the least that is ever assumed. */
export const priorFailureShare = 0.01;

/** Weight of the prior failure share, in requests. */
export const priorRequests = 100;

/** Quantile of the normal durations from which the threshold for slow requests is computed. */
export const slowQuantile = 0.99;

/** Factor on that quantile, which gives the threshold for slow requests. */
export const slowFactor = 1.5;

/** Least number of answers before any request counts as slow. */
export const minDurationSamples = 50;

/** Half of the window that the baseline is estimated over, in milliseconds. */
export const normalWindowMs = 300_000;

/** Interval at which the summaries of peers are fetched, in milliseconds. */
export const baselineRefreshMs = 30_000;

/** Peers asked for their summaries at each interval, for each service. */
export const baselinePeerCount = 3;

/** Peers asked when the detector of a backend server raises an alarm. */
export const comparedPeerCount = 6;

/** Longest time that a comparison waits for the peers' current summaries, in milliseconds. */
export const confirmTimeoutMs = 500;

/** Shortest and longest interval between two comparisons with the peers while an alarm lasts, in milliseconds. */
export const minCompareIntervalMs = 250;
export const maxCompareIntervalMs = 32_000;
