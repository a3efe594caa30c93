/** Detection policies that operators choose by name. */
import {SequentialDetector, type Detector} from './detector.js';
import {type Alternative} from './mixture-test.js';

/** Name of a detection policy, as in the `detection` setting of a service. */
export type DetectionPolicy = 'fast' | 'cautious';

/** Options of a policy, which trade detection time against false ejections. */
export type PolicyOptions = {
	/** Least mean number of requests between two false alarms of a healthy backend server. */
	readonly requestsBetweenFalseAlarms: number;
	/** Least evidence from the comparison with peers that an ejection needs, as a natural logarithm of odds. */
	readonly peerEvidence: number;
	/** Time between the first ejection and probation, in milliseconds; later ejections back off from it. */
	readonly ejectionMs: number;
	/** Time for which a backend server warms up after a start or a return, in milliseconds. */
	readonly warmingMs: number;
};

/** Options of the policies by name. */
export const detectionPolicies: Readonly<Record<DetectionPolicy, PolicyOptions>> = {
	fast: {
		requestsBetweenFalseAlarms: 1e6, peerEvidence: 8, ejectionMs: 10_000, warmingMs: 10_000,
	},
	cautious: {
		requestsBetweenFalseAlarms: 1e8, peerEvidence: 10, ejectionMs: 5000, warmingMs: 10_000,
	},
};

/** Shares of failed or slow requests that are tested for. */
const testedShares = [0.03, 0.1, 0.3, 0.999] as const;
/** Weight of the test for failures; the test for slowness has the rest. */
const failureWeight = 0.7;

function createAlternatives(totalWeight: number): readonly Alternative[] {
	return testedShares.map(share => ({share, weight: totalWeight / testedShares.length}));
}

/** Creates a detector with the given mean number of requests between false alarms. */
export function createSequentialDetector(requestsBetweenFalseAlarms: number): Detector {
	return new SequentialDetector({
		requestsBetweenFalseAlarms,
		failures: createAlternatives(failureWeight),
		slowness: createAlternatives(1 - failureWeight),
	});
}

/** Creates the detector of a policy. */
export function createDetector(policy: DetectionPolicy): Detector {
	return createSequentialDetector(detectionPolicies[policy].requestsBetweenFalseAlarms);
}
