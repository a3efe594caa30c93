/** What the link tests serve: a carrier with a ledger that answers with numbered parts, when told. */
import {Buffer} from 'node:buffer';
import {
	Carrier, Exchange, type ExchangeHandler, type Failure, type RequestHead,
} from '@limpetbarrow/core';

/** What one exchange came to. */
export type Outcome = {
	readonly text: string;
	readonly isWhole: boolean;
	readonly failure: Failure | undefined;
	/** How often the handler was told of an end. */
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

/** A run under way at the carrier. */
export type Run = {
	readonly head: RequestHead;
	readonly handler: ExchangeHandler;
	readonly exchange: RecordingExchange;
};

/** Keeps every run. */
export class RecordingCarrier extends Carrier {
	readonly runs: Run[] = [];

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const exchange = new RecordingExchange();
		this.runs.push({head, handler, exchange});
		return exchange;
	}

	/** Answers a run with its id and `parts` parts. */
	answer({head, handler, exchange}: Run, parts: number): void {
		exchange.isAnswered = true;
		handler.handleHead({status: 200, headers: ['x-id', head.requestId]});
		Array.from({length: parts}, (_, part) => Buffer.from(`${head.requestId}:${part};`)).forEach(chunk => {
			handler.handleData(chunk);
		});
		handler.handleEnd();
	}
}

/** What `answer` sends to whoever sent `requestId`. */
export function formatAnswer(requestId: string, parts: number): string {
	return [requestId, ...Array.from({length: parts}, (_, part) => `${requestId}:${part};`)].join('');
}

/** Records what a handler is told. */
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
			// Not needed here.
		},
	};

	#update(change: Partial<Outcome>): void {
		this.outcome = {...this.outcome, ...change};
	}
}

/** A request's head. */
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
