/** Exchanges that are over before their body comes. */
import {Buffer} from 'node:buffer';
import {Exchange, type ExchangeHandler, type Failure} from '@limpetbarrow/core';

/** Takes no more of the request. */
class ClosedExchange extends Exchange {
	override writeBody(_chunk: Uint8Array): void {
		// Over already.
	}

	override endBody(): void {
		// Over already.
	}

	override grantCredit(_bytes: number): void {
		// Over already.
	}

	override cancel(): void {
		// Over already.
	}
}

/** Creates an exchange that does nothing. */
export function createClosedExchange(): Exchange {
	return new ClosedExchange();
}

/** Refuses an exchange after the current turn. */
export function refuseExchange(handler: ExchangeHandler, failure: Failure): Exchange {
	queueMicrotask(() => {
		handler.handleFailure(failure);
	});
	return new ClosedExchange();
}

/** Answers an exchange with a small JSON body after the current turn. */
export function answerExchange(handler: ExchangeHandler, body: unknown): Exchange {
	queueMicrotask(() => {
		handler.handleHead({status: 200, headers: ['content-type', 'application/json']});
		handler.handleData(Buffer.from(JSON.stringify(body)));
		handler.handleEnd();
	});
	return new ClosedExchange();
}
