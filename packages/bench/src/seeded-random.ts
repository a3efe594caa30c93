/** Seeded random numbers, so that policies are compared on the same sequences. */

const firstModulus = 2_147_483_563;
const secondModulus = 2_147_483_399;
const firstFactor = 40_014;
const secondFactor = 40_692;

/** Creates a generator of numbers from 0 up to 1: two multiplicative generators combined (L'Ecuyer 1988). */
export function createRandom(seed: number): () => number {
	let first = (seed % (firstModulus - 1)) + 1;
	let second = ((seed * 7919) % (secondModulus - 1)) + 1;
	return () => {
		first = (first * firstFactor) % firstModulus;
		second = (second * secondFactor) % secondModulus;
		const difference = first - second;
		return (difference > 0 ? difference : difference + firstModulus - 1) / firstModulus;
	};
}

/** Picks from the exponential distribution with mean 1. */
export function pickExponential(random: () => number): number {
	return -Math.log(1 - random());
}

/** Picks from the normal distribution with mean 0 and deviation 1. */
export function pickNormal(random: () => number): number {
	return Math.sqrt(2 * pickExponential(random)) * Math.cos(2 * Math.PI * random());
}
