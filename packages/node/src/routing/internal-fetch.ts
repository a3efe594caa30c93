/** Fetches internal resources of another node over the link that also carries requests. */
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, createRandomId, type Carrier, type ExchangeHandler, type Failure, type RequestHead,
} from '@limpetbarrow/core';

/** A query for an internal resource. Paths are below `reservedPathPrefix`, which callers can't reach. */
export type InternalQuery = {
	readonly service: string;
	readonly path: string;
	readonly timeoutMs: number;
	/** Maximum size of the response body, in bytes. */
	readonly maxBytes: number;
	/** Called when the response begins. */
	readonly handleStart?: () => void;
	/** Gives the query up. */
	readonly signal?: AbortSignal;
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

/** Fetches one complete response body; fails when it is late, too large or unavailable. */
export async function fetchInternal(carrier: Carrier, query: InternalQuery): Promise<Either<Failure, Uint8Array>> {
	return new Promise(resolve => {
		const received: Uint8Array[] = [];
		let bytes = 0;
		const finish = (result: Either<Failure, Uint8Array>): void => {
			clearTimeout(timer);
			query.signal?.removeEventListener('abort', handleAbort);
			resolve(result);
		};

		const giveUp = (detail: string): void => {
			exchange.cancel();
			finish(Left(createFailure('answerTimeout', detail)));
		};

		const handleAbort = (): void => {
			giveUp(`the query of ${query.path} was given up`);
		};

		const handler: ExchangeHandler = {
			handleHead() {
				query.handleStart?.();
			},
			handleData(chunk) {
				bytes += chunk.length;
				if (bytes <= query.maxBytes) {
					received.push(chunk);
				}

				exchange.grantCredit(chunk.length);
			},
			handleCredit() {
				// The request has no body.
			},
			handleEnd() {
				finish(bytes > query.maxBytes
					? Left(createFailure('bodyTooLarge', `the response to ${query.path} is too large: ${bytes} bytes`))
					: Right(Buffer.concat(received)));
			},
			handleFailure(failure) {
				finish(Left(failure));
			},
		};
		const exchange = carrier.openExchange(createRequestHead(query), handler);
		const timer = setTimeout(() => {
			giveUp(`no complete response to ${query.path} within ${query.timeoutMs} ms`);
		}, query.timeoutMs);
		query.signal?.addEventListener('abort', handleAbort, {once: true});
		exchange.endBody();
	});
}
