/** Exchanges that are complete before the request's body arrives. */
import {Buffer} from 'node:buffer';
import {Exchange, type ExchangeHandler, type Failure} from '@limpetbarrow/core';

/** Ignores the rest of the request. */
class ClosedExchange extends Exchange {
	override writeBody(_chunk: Uint8Array): void {
		// The exchange is already complete.
	}

	override endBody(): void {
		// The exchange is already complete.
	}

	override grantCredit(_bytes: number): void {
		// The exchange is already complete.
	}

	override cancel(): void {
		// The exchange is already complete.
	}
}

/** Creates an exchange that ignores all calls. */
export function createClosedExchange(): Exchange {
	return new ClosedExchange();
}

/** Fails an exchange in a microtask, after the caller has received the returned exchange. */
export function refuseExchange(handler: ExchangeHandler, failure: Failure): Exchange {
	queueMicrotask(() => {
		handler.handleFailure(failure);
	});
	return new ClosedExchange();
}

/** Answers an exchange with a small JSON body in a microtask, after the caller has received the returned exchange. */
export function answerExchange(handler: ExchangeHandler, body: unknown): Exchange {
	queueMicrotask(() => {
		handler.handleHead({status: 200, headers: ['content-type', 'application/json']});
		handler.handleData(Buffer.from(JSON.stringify(body)));
		handler.handleEnd();
	});
	return new ClosedExchange();
}
