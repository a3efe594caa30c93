/** Growing delays between tries. */

const firstDelayMs = 500;
const maxDelayMs = 4000;

/** Delay before the next try after a number of failures in a row: doubled each time, and spread over its upper half. */
export function computeBackOffMs(failures: number, random: () => number): number {
	const delay = Math.min(maxDelayMs, firstDelayMs * (2 ** Math.max(0, failures - 1)));
	return Math.round(delay * (0.5 + (random() / 2)));
}
