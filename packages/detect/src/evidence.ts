/** Derives evidence about a backend server from the outcome of one request. */
import {type Baseline, type Evidence, type WorkOutcome} from './types.js';

const noEvidence: Evidence = {isFailure: undefined, isSlow: undefined};

/**
 * Classifies one outcome. A request that timed out or was cancelled before it counts as slow gives no evidence, since a
 * healthy backend server could not have answered it either.
 */
export function judgeOutcome({kind, durationMs}: WorkOutcome, {slowMs}: Baseline): Evidence {
	const isSlow = durationMs > slowMs;
	switch (kind) {
		case 'answered': {
			return {isFailure: false, isSlow};
		}

		case 'failed': {
			return {isFailure: true, isSlow: undefined};
		}

		case 'timedOut': {
			return isSlow ? {isFailure: true, isSlow: true} : noEvidence;
		}

		case 'cancelled': {
			return isSlow ? {isFailure: undefined, isSlow: true} : noEvidence;
		}
	}
}

/** True when the evidence is against the backend server. */
export function isBad({isFailure, isSlow}: Evidence): boolean {
	return isFailure === true || isSlow === true;
}
