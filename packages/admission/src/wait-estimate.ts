/** Estimates when a backend server has a free slot for one more request. */
import {minOverdueMs, overdueFactor} from './constants.js';

/** A request in progress at a backend server. */
export type RunningRequest = {
	/** Monotonic time of the start, in milliseconds. */
	readonly startedAt: number;
	/** Expected duration, in milliseconds. */
	readonly workMs: number;
};

/** Share of its expected duration that a request in progress is assumed to take still, at the least, however long it has run. */
const minRemainingShare = 0.2;

/** True when a running request has taken so long that the backend server has probably stalled. */
export function isOverdue({startedAt, workMs}: RunningRequest, now: number): boolean {
	return now - startedAt > Math.max(minOverdueMs, overdueFactor * workMs);
}

/** Estimates the time until a running request ends, in milliseconds. */
function estimateRemaining({startedAt, workMs}: RunningRequest, now: number): number {
	return Math.max(workMs * minRemainingShare, workMs - (now - startedAt));
}

/** Estimates for each queued request, in order, the time until it has a slot, in milliseconds, and at the end that of one after them. */
export function estimateWaits(slots: number, running: readonly RunningRequest[], queued: ReadonlyArray<Pick<RunningRequest, 'workMs'>>, now: number): readonly number[] {
	const busySlotsMs = running.map(run => estimateRemaining(run, now));
	const freeSlotsMs = Array.from({length: Math.max(0, slots - busySlotsMs.length)}, () => 0);
	let slotsMs: readonly number[] = [...freeSlotsMs, ...busySlotsMs].toSorted((a, b) => a - b);
	const waitsMs = queued.map(({workMs}) => {
		const [first = 0, ...others] = slotsMs;
		slotsMs = [...others, first + workMs].toSorted((a, b) => a - b);
		return first;
	});
	return [...waitsMs, slotsMs[0] ?? 0];
}

/** Estimates the time until a slot is free after the requests `ahead` have been started in order, in milliseconds. */
export function estimateWait(slots: number, running: readonly RunningRequest[], ahead: ReadonlyArray<Pick<RunningRequest, 'workMs'>>, now: number): number {
	return estimateWaits(slots, running, ahead, now).at(-1)!;
}
