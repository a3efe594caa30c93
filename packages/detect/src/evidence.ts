/** What one outcome says about a backend server. */
import {type Baseline, type Evidence, type WorkOutcome} from './types.js';

const noEvidence: Evidence = {isFailure: undefined, isSlow: undefined};

/**
 * Judges one outcome. A request that was given up sooner than a slow answer takes says nothing, since a healthy backend
 * server could not have answered it either.
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

/** True when the outcome speaks against the backend server. */
export function isBad({isFailure, isSlow}: Evidence): boolean {
	return isFailure === true || isSlow === true;
}
