/** Picks the service of a route whose requests are shared between services. */
import {type Route} from '@limpetbarrow/releases';

/** `random` is from 0 to below 1; a route without shares, or with no weight at all, has the one service. */
export function pickService({service, shares = []}: Route, random: number): string {
	const total = shares.reduce((sum, {weight}) => sum + weight, 0);
	const cumulativeWeights = shares.map((_, index) => shares.slice(0, index + 1).reduce((sum, {weight}) => sum + weight, 0));
	const index = cumulativeWeights.findIndex(bound => random * total < bound);
	return shares[index]?.service ?? service;
}
