/** Faults of a backend server stand-in and the seeded numbers that drive them. */

/** What the health and load endpoints say. */
export type HealthForm
	/** The state of now. */
	= | 'current'
	/** The state of `healthLagMs` ago. */
		| 'lagging'
	/** Always well and idle. */
		| 'well'
	/** Always ill and busy. */
		| 'ill';

/** Faults of the server's real work. */
export type BackendFaults = {
	/** Share of requests that fail with status 500, from 0 to 1. */
	readonly failShare: number;
	/** Time a run takes, in milliseconds. */
	readonly workMs: number;
	/** Share of requests that take `slowMs` in place of `workMs`, from 0 to 1. */
	readonly slowShare: number;
	readonly slowMs: number;
	/** Length of a flapping cycle, in milliseconds; the faults hold in its first half only. 0 for faults that stay. */
	readonly flapPeriodMs: number;
	/** Time after the start in which runs take `coldFactor` times as long, in milliseconds. */
	readonly coldStartMs: number;
	readonly coldFactor: number;
	/** Prefix of the paths that crash the process; empty for none. */
	readonly crashPath: string;
	readonly health: HealthForm;
	readonly healthLagMs: number;
	/** Size of a streamed answer, in bytes; 0 for the JSON answer. */
	readonly answerBytes: number;
	/** Bytes of each chunk of a streamed answer. */
	readonly chunkBytes: number;
	/** Time between two chunks, in milliseconds. */
	readonly chunkMs: number;
};

/** A backend server without faults. */
export const noFaults: BackendFaults = {
	failShare: 0,
	workMs: 5,
	slowShare: 0,
	slowMs: 1000,
	flapPeriodMs: 0,
	coldStartMs: 0,
	coldFactor: 1,
	crashPath: '',
	health: 'well',
	healthLagMs: 0,
	answerBytes: 0,
	chunkBytes: 16_384,
	chunkMs: 10,
};

/** What one run does. */
export type RunPlan = {
	readonly isFailing: boolean;
	readonly workMs: number;
};

const randomFactor = 48_271;
const randomModulus = 2_147_483_647;

/** Creates a generator of numbers from 0 to below 1 (Park and Miller); the same seed gives the same numbers. */
export function createSeededRandom(seed: number): () => number {
	let state = 1 + ((Math.abs(Math.trunc(seed)) * randomFactor) % (randomModulus - 1));
	return () => {
		state = (state * randomFactor) % randomModulus;
		return (state - 1) / (randomModulus - 1);
	};
}

/** True when the faults hold at `ageMs` after they were set. */
export function isFaulty({flapPeriodMs}: BackendFaults, ageMs: number): boolean {
	return flapPeriodMs === 0 || ageMs % flapPeriodMs < flapPeriodMs / 2;
}

/** Plans one run; `faultAgeMs` and `serverAgeMs` count since the faults were set and since the server started. */
export function createRunPlan(faults: BackendFaults, faultAgeMs: number, serverAgeMs: number, pickNext: () => number): RunPlan {
	const isNow = isFaulty(faults, faultAgeMs);
	const isFailing = pickNext() < faults.failShare && isNow;
	const isSlow = pickNext() < faults.slowShare && isNow;
	const factor = serverAgeMs < faults.coldStartMs ? faults.coldFactor : 1;
	return {isFailing, workMs: (isSlow ? faults.slowMs : faults.workMs) * factor};
}
