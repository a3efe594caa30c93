/** The memory of one node that holds responses back. */
import {type MetricRegistry} from '@limpetbarrow/core';

/** Largest number of bytes that all responses together may hold. */
export const maxHeldBytes = 16_777_216;

/** Counts the bytes that are held, up to a limit. */
export class HeldBytes {
	#bytes = 0;

	constructor(metrics: MetricRegistry) {
		metrics.registerGauge('ingress_held_response_bytes', () => this.#bytes);
	}

	/** Reserves memory for that many more bytes. Returns false, reserving none, when more than `maxBytes` would be held in all. */
	reserve(bytes: number, maxBytes = maxHeldBytes): boolean {
		if (this.#bytes + bytes > maxBytes) {
			return false;
		}

		this.#bytes += bytes;
		return true;
	}

	release(bytes: number): void {
		this.#bytes -= bytes;
	}
}
