/** Evidence about a backend server and what is concluded from it. */

/** What became of one request that a backend server ran. */
export type WorkOutcome = {
	/** Monotonic time at the end of the run, in milliseconds. */
	readonly at: number;
	/** True for a server error, a broken answer or a timeout. */
	readonly isFailure: boolean;
	readonly durationMs: number;
};

/** What is normal for a service, from its other backend servers. */
export type Baseline = {
	/** Share of requests that fail, from 0 to 1. */
	readonly failureShare: number;
	/** Duration that 95 of 100 requests stay below, in milliseconds. */
	readonly slowMs: number;
	/** Number of requests the baseline rests on. */
	readonly requests: number;
};

/** Conclusion about one backend server. */
export type Verdict = {
	readonly isFailing: boolean;
	/** Strength of the evidence, 0 upwards; comparable between servers of one service. */
	readonly badness: number;
};
