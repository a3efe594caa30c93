/** The exchanges with one backend server that were started and have not ended. */
import {type RequestHead} from '@limpetbarrow/core';
import {type BackendExchange} from './backend-exchange.js';
import {type RunningExchange} from './gated-exchanges.js';

/** Number of ended requests whose ids are remembered, as their calls may still arrive. */
const maxEndedIds = 64;

/** Tells exchanges that hold a slot from those whose response has ended and is not known to be complete yet. */
export class StartedExchanges {
	readonly #running = new Map<BackendExchange, RunningExchange>();
	readonly #judged = new Map<BackendExchange, RunningExchange>();
	#endedIds: readonly string[] = [];

	add(running: RunningExchange): void {
		this.#running.set(running.exchange, running);
	}

	/** Frees the slot of an exchange whose response has ended; its timer for an overdue response ends. */
	releaseSlot(exchange: BackendExchange): void {
		const done = this.#running.get(exchange);
		if (done) {
			clearTimeout(done.overdueTimer);
			this.#running.delete(exchange);
			this.#judged.set(exchange, done);
		}
	}

	/** Removes an exchange that has ended and returns it. */
	remove(exchange: BackendExchange): RunningExchange | undefined {
		const ended = this.#running.get(exchange) ?? this.#judged.get(exchange);
		clearTimeout(ended?.overdueTimer);
		this.#running.delete(exchange);
		this.#judged.delete(exchange);
		if (ended) {
			this.#endedIds = [...this.#endedIds, ended.head.requestId].slice(-maxEndedIds);
		}

		return ended;
	}

	/** Lists the exchanges that hold a slot. */
	listRunning(): readonly RunningExchange[] {
		return [...this.#running.values()];
	}

	/** Number of exchanges that hold a slot. */
	countRunning(): number {
		return this.#running.size;
	}

	/** Number of all exchanges. */
	count(): number {
		return this.#running.size + this.#judged.size;
	}

	/** True when the id begins with that of a request that ended recently: the id of a call begins with its parent's id. */
	isCallOfEnded(callId: string): boolean {
		return this.#endedIds.some(id => callId.length > id.length && callId.startsWith(id));
	}

	/** Finds the running request that caused a call with this id: the id of a call begins with its parent's id. */
	findParentRequest(callId: string): RequestHead | undefined {
		return this.listRunning().find(({head}) => callId.length > head.requestId.length && callId.startsWith(head.requestId))?.head;
	}
}
