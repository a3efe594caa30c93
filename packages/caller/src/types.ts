/** Requests, answers and failures of callers. */
import {type RanState, type ResendAdvice} from '@limpetbarrow/core';

/** HTTP methods that callers can send. */
export type RequestMethod = 'GET' | 'HEAD' | 'OPTIONS' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';

/** A request of a `FleetCaller`. */
export type FleetRequest = {
	readonly method: RequestMethod;
	readonly path: string;
	readonly host?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	/** True when running the request twice does no harm. True by default for GET, HEAD and OPTIONS, false for the rest. */
	readonly isRepeatable?: boolean;
	/** Timeout of all sends together, in milliseconds; 10 000 by default. */
	readonly timeoutMs?: number;
};

/** An idempotency key with the token of the terms it was minted under and the number of sends so far. */
export type HeldKey = {
	readonly key: string;
	readonly token: string;
	/** Number of the last send; 0 before the first. */
	readonly attempt: number;
};

/** One request as a transport sends it. */
export type Send = {
	readonly origin: string;
	readonly method: RequestMethod;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string | undefined;
	/** Milliseconds. */
	readonly timeoutMs: number;
};

/** Result of one send. */
export type SendResult
	= | {readonly kind: 'answer'; readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly text: string}
		/** No part of the request was sent. */
		| {readonly kind: 'not-sent'; readonly detail: string}
		/** The request may have been sent, but no complete answer arrived. */
		| {readonly kind: 'lost'; readonly detail: string};

/** Answer of a backend server. */
export type FleetAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly text: string;
	/** Number of sends it took. */
	readonly sends: number;
};

/** Failure of a request that got no answer of a backend server. */
export type FleetFailure = {
	/** Result code; undefined when no node answered. */
	readonly code: number | undefined;
	/** `not-run` only when no send of the request has run or will run. */
	readonly ran: RanState;
	readonly resend: ResendAdvice;
	readonly detail: string;
	readonly sends: number;
	/** Key of a keyed request, for resending it later. */
	readonly heldKey?: HeldKey;
};
