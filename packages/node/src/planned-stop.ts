/** The order in which a node stops without cutting off a request. */

/** What a planned stop needs of the node. */
export abstract class StoppingNode {
	/** Tells members, backend servers and callers that the node stops; everything is still served. */
	abstract startStopping(): void;

	/** Backend servers that have not gone to another node yet. */
	abstract countServers(): number;

	/** Open connections of callers. */
	abstract countConnections(): number;

	/** Takes no new connections of callers. */
	abstract stopListening(): void;

	/** Requests in progress in any part of the node. */
	abstract countRequestsInProgress(): number;
}

/** Times of a planned stop, in milliseconds. */
export type StopTimes = {
	/** Longest time callers' open connections are served before the node stops listening. */
	readonly lameDuckMs: number;
	/** Bound of the whole stop. */
	readonly stopTimeoutMs: number;
};

const pollIntervalMs = 20;

/** Time in which other nodes learn that the backend servers went elsewhere, in milliseconds. */
export const handoverPropagationMs = 1500;

async function waitUntil(condition: () => boolean, deadline: number): Promise<boolean> {
	if (condition() || performance.now() >= deadline) {
		return condition();
	}

	await new Promise<void>(resolve => {
		setTimeout(resolve, pollIntervalMs);
	});
	return waitUntil(condition, deadline);
}

/** Drains a node; resolves to true when nothing was in progress at the end. */
export async function drainNode(node: StoppingNode, {lameDuckMs, stopTimeoutMs}: StopTimes): Promise<boolean> {
	const startedAt = performance.now();
	const deadline = startedAt + stopTimeoutMs;
	node.startStopping();
	await waitUntil(() => node.countServers() === 0, deadline);
	const propagatedAt = performance.now() + handoverPropagationMs;
	await waitUntil(() => performance.now() >= propagatedAt, deadline);
	await waitUntil(() => node.countConnections() === 0 || performance.now() >= startedAt + lameDuckMs, deadline);
	node.stopListening();
	return waitUntil(() => node.countRequestsInProgress() === 0, deadline);
}
