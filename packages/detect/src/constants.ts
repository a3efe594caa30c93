/** Bounds of detection. */

/** Failure share that is taken as normal before a service has shown its own, and the least that is ever assumed. */
export const priorFailureShare = 0.01;

/** Weight of the prior failure share, in requests. */
export const priorRequests = 100;

/** Quantile of the normal duration that the bound of slowness rests on. */
export const slowQuantile = 0.99;

/** Factor between that quantile and the bound of slowness. */
export const slowFactor = 1.5;

/** Least number of answers before slowness is judged. */
export const minDurationSamples = 50;

/** Length of one half of the window of what is normal, in milliseconds. */
export const normalWindowMs = 300_000;

/** Period after which a peer's summary is asked for again, in milliseconds. */
export const baselineRefreshMs = 30_000;

/** Peers asked for their summaries each period, for each service. */
export const baselinePeerCount = 3;

/** Peers asked when an alarm is to be settled. */
export const comparedPeerCount = 6;

/** Longest time an alarm waits for the peers' present summaries, in milliseconds. */
export const confirmTimeoutMs = 500;

/** Shortest and longest wait between two comparisons with the peers while an alarm stands, in milliseconds. */
export const minCompareIntervalMs = 250;
export const maxCompareIntervalMs = 32_000;
