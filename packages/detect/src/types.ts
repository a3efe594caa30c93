/** Types of failure detection: outcomes, evidence, summaries and results. */

/**
 * How a request ended at a backend server.
 *
 * - `answered`: a complete answer that is no server error.
 * - `failed`: a server error, a broken answer or a refused connection.
 * - `timedOut`: no complete answer before the deadline.
 * - `cancelled`: the caller gave up first.
 */
export type OutcomeKind = 'answered' | 'failed' | 'timedOut' | 'cancelled';

/** Outcome of one request that a backend server ran. */
export type WorkOutcome = {
	/** Monotonic time of the end, in milliseconds. */
	readonly at: number;
	readonly kind: OutcomeKind;
	readonly durationMs: number;
};

/** Normal behaviour of a service, estimated from its other backend servers. */
export type Baseline = {
	/** Share of requests that fail, from 0 to 1. */
	readonly failureShare: number;
	/** Duration above which a request counts as slow, in milliseconds. */
	readonly slowMs: number;
	/** Share of requests that are slow, from 0 to 1. */
	readonly slowShare: number;
	/** Number of requests that the baseline is estimated from. */
	readonly requests: number;
};

/** Result of a detector for one backend server. */
export type DetectionResult = {
	readonly isFailing: boolean;
	/** Share of recent requests that were bad, in tenths from 0 to 10; comparable between servers of one service. */
	readonly badness: number;
};

/** Evidence given by one outcome; undefined where it gives none. */
export type Evidence = {
	readonly isFailure: boolean | undefined;
	readonly isSlow: boolean | undefined;
};

/** Outcomes of one backend server over a window of time. */
export type OutcomeSummary = {
	readonly requests: number;
	readonly failures: number;
	/** Number of complete answers by duration bucket; see `findBucket`. */
	readonly durations: readonly number[];
};

/** Counts of requests in one window that ends now. */
export type WindowCounts = {
	readonly requests: number;
	/** Requests that failed or were slow. */
	readonly bad: number;
	readonly failures: number;
	readonly slow: number;
};

/** Recent behaviour of a backend server. */
export type ServerSummary = {
	/** Outcomes of the last five to ten minutes, from which the baseline is estimated. */
	readonly normal: OutcomeSummary;
	/** Windows of increasing length; see `SlidingWindows`. */
	readonly windows: readonly WindowCounts[];
};
