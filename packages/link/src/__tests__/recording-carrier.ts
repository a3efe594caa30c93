/** Carrier of the link tests, which records each exchange and responds with numbered parts when the test says so. */
import {Buffer} from 'node:buffer';
import {
	Carrier, Exchange, type ExchangeHandler, type Failure, type RequestHead,
} from '@limpetbarrow/core';

/** Result of one exchange as its handler saw it. */
export type Outcome = {
	readonly text: string;
	readonly isWhole: boolean;
	readonly failure: Failure | undefined;
	/** Number of calls to `handleEnd` and `handleFailure`. */
	readonly ends: number;
};

class RecordingExchange extends Exchange {
	body = '';
	isCancelled = false;
	isBodyWhole = false;
	isAnswered = false;
	credit = 0;

	override writeBody(chunk: Uint8Array): void {
		this.body += Buffer.from(chunk).toString('latin1');
	}

	override endBody(): void {
		this.isBodyWhole = true;
	}

	override grantCredit(bytes: number): void {
		this.credit += bytes;
	}

	override cancel(): void {
		this.isCancelled = true;
	}
}

/** One run of a request at the carrier. */
export type Run = {
	readonly head: RequestHead;
	readonly handler: ExchangeHandler;
	readonly exchange: RecordingExchange;
};

/** Carrier that records every run. */
export class RecordingCarrier extends Carrier {
	readonly runs: Run[] = [];

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const exchange = new RecordingExchange();
		this.runs.push({head, handler, exchange});
		return exchange;
	}

	/** Responds to a run with its request id as a header and `parts` body parts. */
	answer({head, handler, exchange}: Run, parts: number): void {
		exchange.isAnswered = true;
		handler.handleHead({status: 200, headers: ['x-id', head.requestId]});
		Array.from({length: parts}, (_, part) => Buffer.from(`${head.requestId}:${part};`)).forEach(chunk => {
			handler.handleData(chunk);
		});
		handler.handleEnd();
	}
}

/** Returns the text that an `OutcomeRecorder` collects from `answer` for that request. */
export function formatAnswer(requestId: string, parts: number): string {
	return [requestId, ...Array.from({length: parts}, (_, part) => `${requestId}:${part};`)].join('');
}

/** Records the calls of an exchange handler. */
export class OutcomeRecorder {
	outcome: Outcome = {
		text: '', isWhole: false, failure: undefined, ends: 0,
	};

	readonly handler: ExchangeHandler = {
		handleHead: ({headers}) => {
			this.#update({text: this.outcome.text + headers[1]!});
		},
		handleData: chunk => {
			this.#update({text: this.outcome.text + Buffer.from(chunk).toString('latin1')});
		},
		handleEnd: () => {
			this.#update({isWhole: true, ends: this.outcome.ends + 1});
		},
		handleFailure: failure => {
			this.#update({failure, ends: this.outcome.ends + 1});
		},
		handleCredit() {
			// The link tests don't check credit.
		},
	};

	#update(change: Partial<Outcome>): void {
		this.outcome = {...this.outcome, ...change};
	}
}

/** Creates the head of a request. */
export function createHead(requestId: string, remainingMs = 60_000): RequestHead {
	return {
		requestId,
		target: {kind: 'egress', serverId: 's1'},
		service: 'fitting-desk',
		method: 'POST',
		path: `/orders/${requestId}`,
		headers: ['host', 'shop.example', 'content-type', 'application/json'],
		remainingMs,
		isRepeatable: false,
		organisation: 'pointe',
	};
}
