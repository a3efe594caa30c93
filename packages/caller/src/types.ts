/** What callers send and get. */
import {type RanState, type ResendAdvice} from '@limpetbarrow/core';

/** Methods of requests. */
export type RequestMethod = 'GET' | 'HEAD' | 'OPTIONS' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';

/** A request of a caller that holds terms. */
export type FleetRequest = {
	readonly method: RequestMethod;
	readonly path: string;
	readonly host?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	/** True when running the request twice does no harm; GET, HEAD and OPTIONS are taken to be so. */
	readonly isRepeatable?: boolean;
	/** Time for all sends together, in milliseconds. */
	readonly timeoutMs?: number;
};

/** An idempotency key with the token of the terms it was minted under, and the sends so far. */
export type HeldKey = {
	readonly key: string;
	readonly token: string;
	/** Number of the last send; 0 before the first. */
	readonly attempt: number;
};

/** One send, as a transport makes it. */
export type Send = {
	readonly origin: string;
	readonly method: RequestMethod;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string | undefined;
	readonly timeoutMs: number;
};

/** What came of one send. */
export type SendResult
	= | {readonly kind: 'answer'; readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly text: string}
		/** Nothing left the caller. */
		| {readonly kind: 'not-sent'; readonly detail: string}
		/** The answer did not arrive whole. */
		| {readonly kind: 'lost'; readonly detail: string};

/** The answer of a backend server. */
export type FleetAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly text: string;
	/** Sends it took. */
	readonly sends: number;
};

/** Why there is no answer. */
export type FleetFailure = {
	/** Result code; undefined when no node answered. */
	readonly code: number | undefined;
	/** `not-run` only when no send of the request can have run or will run. */
	readonly ran: RanState;
	readonly resend: ResendAdvice;
	readonly detail: string;
	readonly sends: number;
	/** The key of a keyed request, for sending it again later. */
	readonly heldKey?: HeldKey;
};
