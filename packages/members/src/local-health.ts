/** How far this node trusts its own judgement of others. */
import {maxHealthScore} from './constants.js';

/** Keeps a score that grows when the node itself seems slow or cut off, and stretches its timeouts. */
export class LocalHealth {
	#score = 0;

	/** Changes the score within its bounds. */
	add(amount: number): void {
		this.#score = Math.min(maxHealthScore, Math.max(0, this.#score + amount));
	}

	/** Factor for timeouts: 1 when the node is well. */
	getFactor(): number {
		return 1 + this.#score;
	}
}
