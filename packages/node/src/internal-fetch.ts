/** Reads what another node answers by itself, over the link that carries requests. */
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, createRandomId, type Carrier, type ExchangeHandler, type Failure, type RequestHead,
} from '@limpetbarrow/core';

/** What is asked for. Paths are below `reservedPathPrefix`, which callers can't reach. */
export type InternalQuery = {
	readonly service: string;
	readonly path: string;
	readonly timeoutMs: number;
	/** Largest answer that is taken, in bytes. */
	readonly maxBytes: number;
};

function createRequestHead({service, path, timeoutMs}: InternalQuery): RequestHead {
	return {
		requestId: createRandomId(),
		target: {kind: 'egress', serverId: ''},
		service,
		method: 'GET',
		path,
		headers: [],
		remainingMs: timeoutMs,
		isRepeatable: true,
		organisation: '',
	};
}

/** Reads one answer whole; a failure when it is late, too large or not there. */
export async function fetchInternal(carrier: Carrier, query: InternalQuery): Promise<Either<Failure, Uint8Array>> {
	return new Promise(resolve => {
		const received: Uint8Array[] = [];
		let bytes = 0;
		const finish = (result: Either<Failure, Uint8Array>): void => {
			clearTimeout(timer);
			resolve(result);
		};

		const handler: ExchangeHandler = {
			handleHead() {
				// Only the body matters.
			},
			handleData(chunk) {
				bytes += chunk.length;
				if (bytes <= query.maxBytes) {
					received.push(chunk);
				}

				exchange.grantCredit(chunk.length);
			},
			handleCredit() {
				// No body is sent.
			},
			handleEnd() {
				finish(bytes > query.maxBytes
					? Left(createFailure('bodyTooLarge', `${query.path} has ${bytes} bytes`))
					: Right(Buffer.concat(received)));
			},
			handleFailure(failure) {
				finish(Left(failure));
			},
		};
		const exchange = carrier.openExchange(createRequestHead(query), handler);
		const timer = setTimeout(() => {
			exchange.cancel();
			finish(Left(createFailure('answerTimeout', `${query.path} within ${query.timeoutMs} ms`)));
		}, query.timeoutMs);
		exchange.endBody();
	});
}
