import {Buffer} from 'node:buffer';
import {Right} from 'purify-ts';
import {
	Carrier, createFailure, Exchange, type ExchangeHandler, type Failure, type RequestHead, type ResultName,
} from '@limpetbarrow/core';
import {
	type KeyBounds, PauseDetector, Sequencer, SteadyClock, type KeyedRequest, type ReadKey,
} from '../../index.js';

export const wideBounds: KeyBounds = {
	maxKeys: 1000, maxKeysPerTerms: 1000, maxKeptBytes: 16_777_216, maxKeptBytesPerTerms: 16_777_216,
};

/** One request that was forwarded to the fake carrier. */
export class FakeRun extends Exchange {
	readonly head: RequestHead;
	readonly handler: ExchangeHandler;
	readonly startedAt = Date.now();
	body = '';
	granted = 0;
	isCancelled = false;
	isBodyEnded = false;
	state: 'pending' | 'ran' | 'not-run' = 'pending';

	constructor(head: RequestHead, handler: ExchangeHandler) {
		super();
		this.head = head;
		this.handler = handler;
	}

	override writeBody(chunk: Uint8Array): void {
		this.body += Buffer.from(chunk).toString('utf8');
	}

	override endBody(): void {
		this.isBodyEnded = true;
	}

	override grantCredit(bytes: number): void {
		this.granted += bytes;
	}

	override cancel(): void {
		this.isCancelled = true;
		this.state = 'ran';
	}

	answer(...chunks: readonly string[]): void {
		this.state = 'ran';
		this.handler.handleHead({status: 200, headers: ['x-run', this.head.requestId]});
		chunks.forEach(chunk => {
			this.handler.handleData(Buffer.from(chunk));
		});
		this.handler.handleEnd();
	}

	fail(name: ResultName): void {
		const failure = createFailure(name, 'by the test');
		this.state = failure.ran === 'not-run' ? 'not-run' : 'ran';
		this.handler.handleFailure(failure);
	}
}

/** Records every run and answers none by itself. */
export class FakeCarrier extends Carrier {
	readonly runs: FakeRun[] = [];

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const run = new FakeRun(head, handler);
		this.runs.push(run);
		return run;
	}
}

/** One request from its caller's side, with the answer or failure that the caller received. */
export class FakeCaller {
	text = '';
	endCount = 0;
	credit = 0;
	status: number | undefined;
	failure: Failure | undefined;
	readonly exchange: Exchange;

	constructor(carrier: Carrier, head: RequestHead, body: string) {
		this.exchange = carrier.openExchange(head, {
			handleHead: ({status}) => {
				this.status = status;
			},
			handleData: chunk => {
				this.text += Buffer.from(chunk).toString('utf8');
			},
			handleEnd: () => {
				this.endCount++;
			},
			handleFailure: failure => {
				this.endCount++;
				this.failure = failure;
			},
			handleCredit: bytes => {
				this.credit += bytes;
			},
		});
		if (body !== '') {
			this.exchange.writeBody(Buffer.from(body));
		}
	}
}

/** Creates the head of a request. Keys in these tests are `terms:part`; the attempt is the only header. */
export function createHead(idempotencyKey: string, attempt = 0, path = '/orders'): RequestHead {
	return {
		requestId: `r${attempt}`,
		target: {kind: 'sequencer'},
		service: 'fitting-desk',
		method: 'POST',
		path,
		headers: ['attempt', String(attempt)],
		remainingMs: 10_000,
		isRepeatable: false,
		idempotencyKey,
		organisation: 'pointe',
	};
}

/** Creates a reader for the heads made by `createHead`; all terms end at `expiresAt` (Unix milliseconds). */
export function createReadKey(expiresAt: number): ReadKey {
	return ({idempotencyKey = '', headers}) => {
		const [termsId, part] = idempotencyKey.split(':');
		return Right<KeyedRequest>({
			termsId: termsId!, part: part!, attempt: Number(headers[1]), expiresAt,
		});
	};
}

/** Creates a sequencer that forwards to the given carrier. */
export function createSequencer(carrier: Carrier, options: {readonly readKey: ReadKey; readonly bounds?: KeyBounds; readonly isStopping?: () => boolean}): Sequencer {
	const pauses = new PauseDetector();
	pauses.start();
	return new Sequencer({
		next: carrier, clock: new SteadyClock(), pauses, bounds: wideBounds, isStopping: () => false, ...options,
	});
}
