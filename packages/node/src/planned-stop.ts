/** Steps by which a node stops without aborting a request. */

/** Operations of a node that a planned stop uses. */
export abstract class StoppingNode {
	/**
	 * Tells members, backend servers and callers that the node is stopping. It still serves all requests that can be answered
	 * by `lastAnswerAt` (monotonic time, in milliseconds), when those in progress are ended.
	 */
	abstract startStopping(lastAnswerAt: number): void;

	/** Number of backend servers that have not announced themselves to another node yet. */
	abstract countServers(): number;

	/** Refuses further work from other nodes; they have known for some time that the node stops. */
	abstract stopTakingWork(): void;

	/** Number of open connections from callers. */
	abstract countConnections(): number;

	/** Stops accepting new connections from callers. */
	abstract stopListening(): void;

	/** Number of requests in progress in all parts of the node. */
	abstract countRequestsInProgress(): number;

	/** Number of connections that are being closed and whose callers may still be reading the last response. */
	abstract countDelivering(): number;

	/** Ends the callers' requests in progress, each with a failure that says whether it may have run. */
	abstract failRequests(): void;
}

/** Time limits of a planned stop, in milliseconds. */
export type StopTimes = {
	/** Longest time for which callers' open connections are served before the node stops listening. */
	readonly lameDuckMs: number;
	/** Limit of the whole stop. */
	readonly stopTimeoutMs: number;
};

const pollIntervalMs = 20;
/**
 * Time before the end of a stop at which the requests still in progress are ended, in milliseconds. It is for writing their
 * failures, and the responses that are ready behind them on connections of callers that pipeline.
 */
export const finalResponsesMs = 400;

/**
 * Time allowed for other nodes to learn that the backend servers have announced themselves elsewhere, in milliseconds. Where
 * they can't move, as on a host of their own, they take work for this time: it ends well before the stop does.
 */
export const handoverPropagationMs = 1500;

/**
 * Least number of times that the node looks whether the final responses are written, however late it is. A host that was
 * frozen or short of processor time may reach the end of the time limit before any response behind the first is written.
 */
const minFinalPolls = 5;

/**
 * Polls the condition until it holds, or the deadline (monotonic time) has passed and it was polled that often; resolves to its
 * last value.
 */
async function waitUntil(condition: () => boolean, deadline: number, minPolls = 0): Promise<boolean> {
	if (condition() || (performance.now() >= deadline && minPolls <= 0)) {
		return condition();
	}

	await new Promise<void>(resolve => {
		setTimeout(resolve, pollIntervalMs);
	});
	return waitUntil(condition, deadline, minPolls - 1);
}

/**
 * Drains a node: waits until its backend servers have moved and other nodes know it, then refuses further work from other
 * nodes. It goes on listening until callers have closed their connections or the lame-duck time is over, and waits for the
 * requests in progress. Shortly before the time limit it fails the requests that are left, so that each caller gets a
 * response. It ends once callers have closed the connections of their last responses, or at the time limit. Resolves to true
 * when all requests had ended by themselves.
 */
export async function drainNode(node: StoppingNode, {lameDuckMs, stopTimeoutMs}: StopTimes): Promise<boolean> {
	const startedAt = performance.now();
	const deadline = startedAt + stopTimeoutMs - Math.min(finalResponsesMs, stopTimeoutMs / 2);
	node.startStopping(deadline);
	await waitUntil(() => node.countServers() === 0, deadline);
	const propagatedAt = performance.now() + handoverPropagationMs;
	await waitUntil(() => performance.now() >= propagatedAt, deadline);
	node.stopTakingWork();
	await waitUntil(() => node.countConnections() === 0 || performance.now() >= startedAt + lameDuckMs, deadline);
	node.stopListening();
	const isDrained = await waitUntil(() => node.countRequestsInProgress() === 0, deadline);
	if (!isDrained) {
		node.failRequests();
		await waitUntil(() => node.countRequestsInProgress() === 0, startedAt + stopTimeoutMs, minFinalPolls);
	}

	// The kernel holds what callers have not read yet, and drops it if they send more once the process has closed the connection.
	await waitUntil(() => node.countDelivering() === 0, startedAt + stopTimeoutMs);

	return isDrained;
}
