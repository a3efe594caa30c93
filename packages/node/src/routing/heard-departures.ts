/** Backend servers that said in a response that they leave, as this node passed it on. */

/** One run of a backend server. */
export type ServerRun = {
	readonly id: string;
	readonly generation: number;
};

/** Largest number of backend servers that are remembered. */
const maxDepartures = 4096;

/**
 * Remembers which runs of backend servers leave. It holds without the members' records, which may be late or come from a node
 * that has started anew; only a later start of the backend server ends it.
 */
export class HeardDepartures {
	readonly #generations = new Map<string, number>();

	/** Records that this run leaves. Returns whether that is news. */
	recordDeparture(server: ServerRun): boolean {
		if (this.hasLeft(server)) {
			return false;
		}

		this.#generations.delete(server.id);
		this.#generations.set(server.id, server.generation);
		const [oldest] = this.#generations.keys();
		if (this.#generations.size > maxDepartures && oldest !== undefined) {
			this.#generations.delete(oldest);
		}

		return true;
	}

	/** True when this run, or a later one, has said that it leaves. */
	hasLeft({id, generation}: ServerRun): boolean {
		return generation <= (this.#generations.get(id) ?? -1);
	}
}
