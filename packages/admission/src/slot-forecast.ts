/** Works out when a slot is free for one more request. */
import {minOverdueMs, overdueFactor} from './constants.js';

/** A request that a backend server runs. */
export type Running = {
	/** Monotonic time, in milliseconds. */
	readonly startedAt: number;
	/** Expected duration, in milliseconds. */
	readonly workMs: number;
};

/** Share of its expected duration that a request in progress is assumed to take at least, however long it has run. */
const leastRemainingShare = 0.2;

/** True when a running request has taken so long that the backend server is likely to stall. */
export function isOverdue({startedAt, workMs}: Running, now: number): boolean {
	return now - startedAt > Math.max(minOverdueMs, overdueFactor * workMs);
}

function estimateRemaining({startedAt, workMs}: Running, now: number): number {
	return Math.max(workMs * leastRemainingShare, workMs - (now - startedAt));
}

/** Time until a slot is free once `ahead` have been started in order, in milliseconds; 0 when one is free now. */
export function estimateWait(slots: number, running: readonly Running[], ahead: ReadonlyArray<Pick<Running, 'workMs'>>, now: number): number {
	const busy = running.map(run => estimateRemaining(run, now));
	const free = Array.from({length: Math.max(0, slots - busy.length)}, () => 0);
	const freeAt = ahead.reduce<readonly number[]>((times, {workMs}) => {
		const [first = 0, ...others] = times;
		return [...others, first + workMs].toSorted((a, b) => a - b);
	}, [...free, ...busy].toSorted((a, b) => a - b));
	return freeAt[0] ?? 0;
}
