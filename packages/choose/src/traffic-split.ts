/** Splits the traffic of a route between services by weight. */
import {type Route} from '@limpetbarrow/releases';

/**
 * Picks a service in proportion to the weights of the route's shares; the route's `service` when there are no shares or no
 * share has a weight. `random` is from 0 to below 1.
 */
export function pickService({service, shares = []}: Route, random: number): string {
	const total = shares.reduce((sum, {weight}) => sum + weight, 0);
	const cumulativeWeights = shares.map((_, index) => shares.slice(0, index + 1).reduce((sum, {weight}) => sum + weight, 0));
	const index = cumulativeWeights.findIndex(bound => random * total < bound);
	return shares[index]?.service ?? service;
}
