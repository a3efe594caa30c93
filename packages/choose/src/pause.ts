/**
 * Decides whether a request that no backend server takes now pauses and asks again, and for how long.
 *
 * It answers moments in which the backend servers asked are failing, shedding, out of reach or out of retries, while the
 * request has seconds left. They return within parts of a second, so a request that pauses is mostly served, where one that
 * is handed to a server known to be failing is mostly lost.
 *
 * Lack of room is another matter: a service whose healthy servers are full serves no more requests if they return, but
 * serves them late and holds up others. So such a request doesn't pause.
 */

/** A request that all backend servers asked have refused. */
export type RefusedRequest = {
	/** Time left until its deadline, in milliseconds. */
	readonly remainingMs: number;
	/** Latency objective of its route, in milliseconds. */
	readonly objectiveMs: number;
	/** Number of pauses that it has made. */
	readonly pauses: number;
	/** Number of refusals since the last pause, and of those among them that were for lack of room. */
	readonly refusals: number;
	readonly roomRefusals: number;
};

/** Length of the first pause, in milliseconds; each further one is twice as long, up to the longest. */
const firstPauseMs = 150;
const maxPauseMs = 1000;
/** Part of a pause that is random, so that requests refused at the same time don't return at the same time. */
const randomShare = 0.5;
/** Share of the refusals that may be for lack of room. */
const maxRoomShare = 0.5;
/** Share of the objective that has to be left after a pause for the request to be served then. */
const minServiceShare = 0.5;

/** Chooses the length of the next pause, in milliseconds; undefined if room is short, or too little time would be left after it. */
export function choosePause({remainingMs, objectiveMs, pauses, refusals, roomRefusals}: RefusedRequest, random: number): number | undefined {
	if (roomRefusals > refusals * maxRoomShare) {
		return undefined;
	}

	const meanMs = Math.min(maxPauseMs, firstPauseMs * (2 ** pauses));
	const pauseMs = meanMs * (1 + (randomShare * (random - 0.5)));
	return remainingMs - pauseMs > objectiveMs * minServiceShare ? pauseMs : undefined;
}
