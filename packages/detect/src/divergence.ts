/** Evidence that one request gives between two shares. */

/** Computes the Kullback-Leibler divergence of a share from a reference share: the mean evidence of one request. */
export function computeDivergence(share: number, reference: number): number {
	const terms = [[share, reference], [1 - share, 1 - reference]] as const;
	return terms.reduce((sum, [a, b]) => sum + (a === 0 ? 0 : a * Math.log(a / b)), 0);
}
