/** Evidence about a backend server and what is concluded from it. */

/**
 * How one run at a backend server ended.
 *
 * - `answered`: a whole answer that is no server error.
 * - `failed`: a server error, a broken answer or a refused connection.
 * - `timedOut`: no whole answer before the deadline.
 * - `cancelled`: the caller gave up first.
 */
export type OutcomeKind = 'answered' | 'failed' | 'timedOut' | 'cancelled';

/** What became of one request that a backend server ran. */
export type WorkOutcome = {
	/** Monotonic time at the end of the run, in milliseconds. */
	readonly at: number;
	readonly kind: OutcomeKind;
	readonly durationMs: number;
};

/** What is normal for a service, from its other backend servers. */
export type Baseline = {
	/** Share of requests that fail, from 0 to 1. */
	readonly failureShare: number;
	/** Duration above which a request counts as slow, in milliseconds. */
	readonly slowMs: number;
	/** Share of requests that are slow, from 0 to 1. */
	readonly slowShare: number;
	/** Number of requests the baseline rests on. */
	readonly requests: number;
};

/** Conclusion about one backend server. */
export type DetectionResult = {
	readonly isFailing: boolean;
	/** Share of recent requests that were bad, in tenths from 0 to 10; comparable between servers of one service. */
	readonly badness: number;
};

/** What one outcome says; undefined where it says nothing. */
export type Evidence = {
	readonly isFailure: boolean | undefined;
	readonly isSlow: boolean | undefined;
};

/** Outcomes of one backend server over a window of time. */
export type OutcomeSummary = {
	readonly requests: number;
	readonly failures: number;
	/** Number of whole answers by duration bucket; see `findBucket`. */
	readonly durations: readonly number[];
};

/** Counts of one window up to now. */
export type WindowCounts = {
	readonly requests: number;
	/** Requests that failed or were slow. */
	readonly bad: number;
	readonly failures: number;
	readonly slow: number;
};

/** What a backend server has shown lately. */
export type ServerSummary = {
	/** Some minutes: what is normal. */
	readonly normal: OutcomeSummary;
	/** Windows of growing length; see `WindowLadder`. */
	readonly windows: readonly WindowCounts[];
};
