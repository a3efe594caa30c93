/** Bounds of admission. */

/** Expected duration of a request before a route has shown its own, in milliseconds; the middle of today's services. */
export const initialDurationMs = 150;

/** Weight of the latest duration in a route's mean; a change of speed shows within some ten requests. */
export const durationWeight = 0.15;

/** Requests that may wait before one backend server. The slots of a service drain so many in a few seconds. */
export const maxQueuedRequests = 24;

/** Factor by which a backend server is slower while it is cold, as the platform announces cold starts. */
export const coldFactor = 2;

/** Probability of sickness above which a request that may not be repeated is refused: losing it costs all of it. */
export const maxFailingProbabilityUnrepeatable = 0.15;

/** Probability of sickness above which repeatable requests are trials only: losing one costs a retry. */
export const maxFailingProbabilityRepeatable = 0.4;

/** Probability of a spell of shedding above which other backend servers are asked first. */
export const sheddingProbabilityThreshold = 0.4;

/** Shortest and longest time between two trials of a sick backend server, in milliseconds; it doubles with each failure. */
export const minTrialIntervalMs = 250;
export const maxTrialIntervalMs = 1500;

/** A running request this many times over its expected duration says that the backend server stalls. */
export const overdueFactor = 4;

/** Least time before a running request counts as overdue, in milliseconds. */
export const minOverdueMs = 400;

/** Share of the objective that a request's whole time here may take; above, it is better off elsewhere. */
export const maxObjectiveShare = 0.85;
