/** Constants of admission control. */

/** Expected duration of a request before any has been measured, in milliseconds; a middle value among the services in use. */
export const initialDurationMs = 150;

/** Weight of the latest duration in a route's exponentially weighted mean, which follows a change within about ten requests. */
export const durationWeight = 0.15;

/** Most requests that may wait for one backend server. Its slots drain a queue of this length in a few seconds. */
export const maxQueuedRequests = 24;

/** Factor by which a backend server is slower after a cold start, for the time that the platform announces. */
export const coldFactor = 2;

/** Probability that the server is failing above which requests that can't be retried are refused, since a failure loses them. */
export const maxFailingProbabilityUnretryable = 0.15;

/** Probability that the server is failing above which retryable requests are trials only; a failure costs them a retry. */
export const maxFailingProbabilityRetryable = 0.4;

/** Probability that the server is shedding load above which other backend servers are preferred. */
export const sheddingProbabilityThreshold = 0.4;

/** Shortest and longest interval between trials of a failing backend server, in milliseconds; it doubles with each trial. */
export const minTrialPauseMs = 250;
export const maxTrialPauseMs = 1500;

/** Most trials of a backend server that may run at once, however many have succeeded. */
export const maxConcurrentTrials = 8;

/** Multiple of its expected duration after which a running request indicates that the backend server has stalled. */
export const overdueFactor = 4;

/** Least running time before a request counts as overdue, in milliseconds. */
export const minOverdueMs = 400;

/** Share of the latency objective above which the expected duration of a request makes the backend server too slow for it. */
export const maxObjectiveShare = 0.85;

/** Share of a backend server's time that requests of worse priorities may use before more urgent ones. */
export const allowanceShare = 0.05;

/** Debt up to which further requests of a priority are granted an earlier start, in milliseconds: some short ones at once. */
export const maxAllowanceDebtMs = 50;
