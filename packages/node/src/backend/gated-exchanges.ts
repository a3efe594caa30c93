/** The exchanges of a gated server, by how far they are. */
import {type RequestHead} from '@limpetbarrow/core';
import {type QueuedRequest, type RunningRequest} from '@limpetbarrow/admission';
import {type BackendExchange} from './backend-exchange.js';

/** A started exchange; the timer records a failure when the exchange takes much longer than expected. */
export type RunningExchange = RunningRequest & {
	readonly exchange: BackendExchange;
	readonly head: RequestHead;
	readonly overdueTimer: NodeJS.Timeout;
};

/** A slot held for a request whose body is arriving; the timer refuses the request when the body takes too long. */
export type SlotReservation = RunningRequest & {
	/** True when the request was admitted whatever the health of the backend server: a trial or a last resort. */
	readonly isHealthIgnored: boolean;
	readonly timer: NodeJS.Timeout;
};

/** An exchange that waits for a slot; the timer refuses it after its longest wait. */
export type QueuedExchange = QueuedRequest & {
	readonly exchange: BackendExchange;
	readonly head: RequestHead;
	readonly isHealthIgnored: boolean;
	readonly timer: NodeJS.Timeout;
};
