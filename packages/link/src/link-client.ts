/** The client side of a link, which opens exchanges. */
import {
	Carrier, createFailure, type Exchange, type ExchangeHandler, type Failure, type NodeIdentity, type RequestHead,
} from '@limpetbarrow/core';
import {ClientExchange, RefusedExchange} from './client-exchange.js';
import {ClientSession, type ClientSessionOptions, type SessionEnd} from './client-session.js';
import {maxExchanges, connectFailureCooldownMs, softMaxUnacknowledgedBytes} from './constants.js';
import {type ExchangeFrame, type LinkPeer} from './types.js';

/** Carries exchanges to one incarnation of a node. It opens a session when needed. */
export class LinkClient extends Carrier {
	readonly #options: ClientSessionOptions;
	readonly #exchanges = new Map<number, ClientExchange>();
	#session: ClientSession | undefined;
	#nextStream = 1;
	#refuseExchangesUntil = 0;
	#isClosed = false;

	constructor(options: ClientSessionOptions) {
		super();
		this.#options = options;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const refusalReason = this.#findRefusalReason();
		if (refusalReason !== undefined) {
			queueMicrotask(() => {
				handler.handleFailure(this.#createFailure('linkUnreachable', refusalReason));
			});
			return new RefusedExchange();
		}

		const session = this.#startSession();
		const exchange = new ClientExchange(this.#nextStream++, handler, {
			send(frame, payload) {
				session.state.send(frame, payload);
			},
			handleCancel: stream => {
				this.#cancelExchange(stream);
			},
		});
		this.#exchanges.set(exchange.stream, exchange);
		session.state.send({kind: 'request', stream: exchange.stream, head});
		exchange.startTimer(head.remainingMs, () => {
			this.#handleDeadline(exchange.stream);
		});
		return exchange;
	}

	/** The node at the other end of the link. */
	getPeer(): LinkPeer {
		return this.#options.peer;
	}

	/** Number of exchanges in progress. */
	countExchanges(): number {
		return this.#exchanges.size;
	}

	/** True while a session is open, whether it has exchanges in progress or not. */
	hasSession(): boolean {
		return this.#session !== undefined;
	}

	/** Ends the session; exchanges in progress fail. */
	close(): void {
		this.#isClosed = true;
		this.#session?.end(createFailure('linkLost', 'this node closed the link'));
	}

	#findRefusalReason(): string | undefined {
		if (this.#isClosed) {
			return 'the link is closed';
		}

		if (performance.now() < this.#refuseExchangesUntil) {
			return 'the last attempt to connect failed';
		}

		if (this.#session?.hasStalledAcknowledgements()) {
			return 'the other node does not acknowledge frames';
		}

		if (this.#exchanges.size >= maxExchanges) {
			return 'too many exchanges in progress';
		}

		return (this.#session?.state.countBufferedBytes() ?? 0) >= softMaxUnacknowledgedBytes ? 'too many unacknowledged bytes' : undefined;
	}

	#startSession(): ClientSession {
		this.#session ??= new ClientSession(this.#options, {
			countExchanges: () => this.#exchanges.size,
			handleFrame: (frame, payload) => {
				this.#dispatchFrame(frame, payload);
			},
			handleUnreachable: () => {
				this.#handleUnreachable();
			},
			handleEnd: end => {
				this.#handleEnd(end);
			},
		});
		if (this.#exchanges.size === 0) {
			this.#session.startBusyPeriod();
		}

		return this.#session;
	}

	#dispatchFrame(frame: ExchangeFrame, payload: Uint8Array): void {
		const exchange = this.#exchanges.get(frame.stream);
		if (!exchange) {
			this.#options.metrics.addCount('link_late_frames_total', frame.kind === 'credit' ? 0 : 1);
			return;
		}

		switch (frame.kind) {
			case 'response': {
				exchange.handler.handleHead(frame.head);
				break;
			}

			case 'data': {
				exchange.handler.handleData(payload);
				break;
			}

			case 'credit': {
				exchange.handler.handleCredit(frame.bytes);
				break;
			}

			case 'accepted': {
				exchange.handler.handleAccepted?.();
				break;
			}

			case 'end': {
				this.#removeExchange(exchange);
				exchange.handler.handleEnd();
				break;
			}

			case 'failure': {
				this.#removeExchange(exchange);
				exchange.handler.handleFailure(frame.failure);
				break;
			}

			case 'request':
			case 'cancel': {
				this.#session?.end(createFailure('malformedFrame', `unexpected ${frame.kind} frame from the server side`));
				break;
			}
		}
	}

	#cancelExchange(stream: number): void {
		const exchange = this.#exchanges.get(stream);
		const state = this.#session?.state;
		if (!exchange || !state) {
			return;
		}

		this.#removeExchange(exchange);
		if (state.isRequestUnsent(stream)) {
			state.removeUnsent(stream);
		} else {
			state.send({kind: 'cancel', stream});
		}
	}

	#handleDeadline(stream: number): void {
		const exchange = this.#exchanges.get(stream);
		if (!exchange) {
			return;
		}

		const isUnsent = this.#session?.state.isRequestUnsent(stream);
		this.#cancelExchange(stream);
		exchange.handler.handleFailure(this.#createFailure(isUnsent ? 'deadlinePassed' : 'answerTimeout', 'no complete response arrived over the link in time'));
	}

	/** Fails the exchanges whose request was never sent, and refuses new exchanges for `connectFailureCooldownMs`. */
	#handleUnreachable(): void {
		const state = this.#session?.state;
		const unsent = [...this.#exchanges.values()].filter(({stream}) => state?.isRequestUnsent(stream));
		this.#refuseExchangesUntil = performance.now() + connectFailureCooldownMs;
		unsent.forEach(exchange => {
			this.#removeExchange(exchange);
			state?.removeUnsent(exchange.stream);
		});
		unsent.forEach(({handler}) => {
			handler.handleFailure(this.#createFailure('linkUnreachable', 'no connection could be established'));
		});
	}

	/**
	 * Fails every exchange. The failure says that the request was not run only where the other side provably never received
	 * the request.
	 */
	#handleEnd({failure, received}: SessionEnd): void {
		const state = this.#session?.state;
		const exchanges = [...this.#exchanges.values()];
		const unreceived = new Set(exchanges.filter(({stream}) => received === undefined
			? state?.isRequestUnsent(stream)
			: state?.isRequestUnreceived(stream, received)));
		this.#session = undefined;
		exchanges.forEach(exchange => {
			this.#removeExchange(exchange);
		});
		if (exchanges.length > 0) {
			this.#options.logger.log('linkEnded', {node: this.#options.peer.identity.id, code: failure.code, detail: failure.detail});
		}

		exchanges.forEach(exchange => {
			exchange.handler.handleFailure(unreceived.has(exchange) ? this.#createFailure('linkUnreachable', failure.detail) : failure);
		});
	}

	#removeExchange(exchange: ClientExchange): void {
		exchange.finish();
		this.#exchanges.delete(exchange.stream);
		if (this.#exchanges.size === 0) {
			this.#session?.startIdlePeriod();
		}
	}

	#createFailure(name: 'linkUnreachable' | 'linkLost' | 'deadlinePassed' | 'answerTimeout', detail: string): Failure {
		return createFailure(name, `node ${this.#options.peer.identity.id}: ${detail}`);
	}
}
