/** Local health of the node, as in Lifeguard: an unhealthy node extends its timeouts before it suspects other members. */
import {maxHealthScore} from './constants.js';

/** Keeps a score that rises when the node itself seems slow or cut off. A higher score extends the node's timeouts. */
export class LocalHealth {
	#score = 0;

	/** Adds `amount` to the score, which stays between 0 and `maxHealthScore`; a positive amount means worse health. */
	add(amount: number): void {
		this.#score = Math.min(maxHealthScore, Math.max(0, this.#score + amount));
	}

	/** Returns the factor for timeouts: 1 when the node is healthy. */
	getFactor(): number {
		return 1 + this.#score;
	}
}
