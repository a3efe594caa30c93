/** Exponential back-off with jitter. */

const firstDelayMs = 500;
const defaultMaxDelayMs = 4000;

/**
 * Returns the delay in milliseconds before the next try after a number of consecutive failures. It doubles with each failure up
 * to `maxDelayMs` and is randomised over its upper half.
 */
export function computeBackOffMs(failures: number, random: () => number, maxDelayMs = defaultMaxDelayMs): number {
	const delay = Math.min(maxDelayMs, firstDelayMs * (2 ** Math.max(0, failures - 1)));
	return Math.round(delay * (0.5 + (random() / 2)));
}
