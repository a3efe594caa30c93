/** Starts requests that would be too late behind more urgent ones before these, within the allowance of their priority. */
import {
	estimateWaits, maxQueuedRequests, PriorityAllowance, type AdmissionController, type QueuedRequest, type RunningRequest, type ServerLoad, type WaitQueue,
} from '@limpetbarrow/admission';
import {type BackendExchange} from './backend-exchange.js';
import {type QueuedExchange} from './gated-exchanges.js';

/** A request as far as its earlier start depends on it. Times are in milliseconds. */
export type HurriedRequest = Pick<QueuedRequest, 'priority' | 'workMs'> & {
	/** Time left until the deadline. */
	readonly remainingMs: number;
};

/** The load that a request meets, and whether it meets it by an earlier start. */
export type SelectedLoad = ServerLoad & {
	readonly isEarly: boolean;
};

/** Decides on earlier starts at one backend server. */
export class EarlyStarts {
	readonly #queue: WaitQueue<QueuedExchange>;
	readonly #gate: Pick<AdmissionController, 'estimateWait'>;
	readonly #allowance = new PriorityAllowance<BackendExchange>();

	constructor(queue: WaitQueue<QueuedExchange>, gate: Pick<AdmissionController, 'estimateWait'>) {
		this.#queue = queue;
		this.#gate = gate;
	}

	/** Selects the load that a new request meets: an earlier start's if it would be too late in its turn and may go before more urgent ones. */
	selectLoad({priority, workMs, remainingMs}: HurriedRequest, load: ServerLoad, now: number): SelectedLoad {
		const hasMoreUrgent = load.ahead.some(other => other.priority < priority);
		const isLate = hasMoreUrgent && (load.waitingCount >= maxQueuedRequests || this.#gate.estimateWait(load, now) > remainingMs - workMs);
		if (!isLate || !this.#allowance.hasRoom(priority)) {
			return {...load, isEarly: false};
		}

		const ahead = this.#queue.listAdvanced();
		return {
			...load, ahead, waitingCount: ahead.length, isEarly: true,
		};
	}

	/** Charges an admitted request's priority for its earlier start. */
	grant(exchange: BackendExchange, {priority, workMs}: Pick<HurriedRequest, 'priority' | 'workMs'>): void {
		this.#allowance.grant(exchange, {priority, workMs});
	}

	/** Moves a request that was granted an earlier start, and is queued now, to its place. */
	recordQueued(queuedExchange: QueuedExchange): void {
		if (this.#allowance.isGranted(queuedExchange.exchange)) {
			this.#queue.advance(queuedExchange);
		}
	}

	/** Gives an earlier start to a queued request that has become too late behind more urgent ones, if there is one. */
	advanceLate(slots: number, running: readonly RunningRequest[], now: number): void {
		const order = this.#queue.list();
		const mostUrgent = Math.min(...order.map(({priority}) => priority));
		if (order.every(({priority}) => priority === mostUrgent)) {
			return;
		}

		const waitsMs = estimateWaits(slots, running, order, now);
		const late = order.find(({exchange, priority, latestStartAt}, index) => now + waitsMs[index]! > latestStartAt
			&& !this.#allowance.isGranted(exchange) && this.#allowance.hasRoom(priority)
			&& order.slice(0, index).some(other => other.priority < priority));
		if (late) {
			this.#allowance.grant(late.exchange, late);
			this.#queue.advance(late);
		}
	}

	/** Records the start of a request; those that had no earlier start pay for the others. */
	recordStart(exchange: BackendExchange, workMs: number): void {
		this.#allowance.recordStart(exchange, workMs);
	}

	/**
	 * Settles the charge of a request that has ended, with the time for which it ran, in milliseconds; 0 if it has not run. Returns
	 * whether it had an earlier start.
	 */
	settle(exchange: BackendExchange, usedMs: number): boolean {
		const isEarly = this.#allowance.isGranted(exchange);
		this.#allowance.settle(exchange, usedMs);
		return isEarly;
	}
}
