/** Exponential back-off with jitter. */

const firstDelayMs = 500;
const maxDelayMs = 4000;

/** Returns the delay in milliseconds before the next try after a number of consecutive failures. It doubles with each failure and is randomised over its upper half. */
export function computeBackOffMs(failures: number, random: () => number): number {
	const delay = Math.min(maxDelayMs, firstDelayMs * (2 ** Math.max(0, failures - 1)));
	return Math.round(delay * (0.5 + (random() / 2)));
}
