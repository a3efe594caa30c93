/** Seeded random numbers, so that policies are compared on the same sequences. */

/** Creates a generator of numbers from 0 up to 1. */
export function createRandom(seed: number): () => number {
	let state = seed >>> 0;
	return () => {
		state = (state + 0x6D_2B_79_F5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
		mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
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
