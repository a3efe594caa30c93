/** The detection policies operators choose from, by name. */
import {ConsecutiveDetector, type Detector} from './detector.js';

/** Name of a detection policy, as in a service's `detection`. */
export type DetectionPolicy = 'fast' | 'cautious';

const fastBound = 3;
const cautiousBound = 6;

/** Creates the detector of a policy. */
export function createDetector(policy: DetectionPolicy): Detector {
	return new ConsecutiveDetector(policy === 'fast' ? fastBound : cautiousBound);
}
