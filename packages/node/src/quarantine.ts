/** Refuses requests that crashed backend servers before, and finds them. */
import {
	createFailure, Exchange, exchangeWindowBytes, Subject, type Address, type ExchangeHandler, type Failure, type PoisonMark, type RequestHead,
} from '@limpetbarrow/core';
import {isPoison, mergePoisonMarks, PoisonRegister} from '@limpetbarrow/detect';
import {isRefusing} from './address-probe.js';
import {createClosedExchange, refuseExchange} from './closed-exchange.js';
import {FingerprintBuilder} from './fingerprint.js';

/** Opens the exchange to the backend server. */
export type OpenNext = (handler: ExchangeHandler) => Exchange;

/** Finds out whether nothing listens at an address any more. */
export type ProbeAddress = (address: Address) => Promise<boolean>;

const firstServerError = 500;

/** Watches the requests of one node's backend servers. */
export class Quarantine {
	/** Fires when the node's own marks have changed. */
	readonly changes = new Subject<readonly PoisonMark[]>();
	readonly #register = new PoisonRegister();
	readonly #listFleetMarks: () => readonly PoisonMark[];
	readonly #probe: ProbeAddress;
	readonly #probing = new Set<string>();
	#merged: ReadonlyMap<string, PoisonMark> = new Map();
	#heads: ReadonlySet<string> = new Set();

	constructor(listFleetMarks: () => readonly PoisonMark[], probe: ProbeAddress = isRefusing) {
		this.#listFleetMarks = listFleetMarks;
		this.#probe = probe;
	}

	/** Carries a request on, or refuses it once its body is known when one like it is marked. */
	openExchange(head: RequestHead, handler: ExchangeHandler, server: {readonly id: string; readonly address: Address}, openNext: OpenNext): Exchange {
		const builder = new FingerprintBuilder(head);
		return new WatchedExchange({
			builder,
			isHeld: this.#heads.has(builder.headHash),
			handler,
			openNext,
			isRefused: fingerprint => this.isQuarantined(fingerprint),
			recordAnswer: fingerprint => {
				this.#register.recordAnswer(fingerprint);
			},
			recordBreak: fingerprint => {
				void this.#handleBreak(server.id, server.address, fingerprint);
			},
		});
	}

	isQuarantined(fingerprint: string): boolean {
		const mark = this.#merged.get(fingerprint);
		return mark !== undefined && mark.expiresAt > Date.now() && isPoison(mark);
	}

	/** True when a quarantined request is known to have crashed the backend server. */
	hasCrashed(serverId: string): boolean {
		return [...this.#merged.values()].some(mark => isPoison(mark) && mark.serverIds.includes(serverId));
	}

	/** The marks this node publishes. */
	listMarks(): readonly PoisonMark[] {
		return this.#register.listMarks(Date.now());
	}

	/** Takes over what other nodes have marked. */
	sweep(): void {
		this.#merged = mergePoisonMarks([...this.#listFleetMarks(), ...this.listMarks()], Date.now());
		this.#heads = new Set([...this.#merged.keys()].map(fingerprint => fingerprint.split('.', 1)[0]!));
	}

	async #handleBreak(serverId: string, address: Address, fingerprint: string): Promise<void> {
		this.#register.recordBrokenConnection(serverId, fingerprint, Date.now());
		if (this.#probing.has(serverId)) {
			return;
		}

		this.#probing.add(serverId);
		const isCrashed = await this.#probe(address);
		this.#probing.delete(serverId);
		if (isCrashed && this.#register.recordCrash(serverId, Date.now())) {
			this.sweep();
			this.changes.publish(this.listMarks());
		}
	}
}

type WatchOptions = {
	readonly builder: FingerprintBuilder;
	/** True when the body must be known before the request may run. */
	readonly isHeld: boolean;
	readonly handler: ExchangeHandler;
	readonly openNext: OpenNext;
	readonly isRefused: (fingerprint: string) => boolean;
	readonly recordAnswer: (fingerprint: string) => void;
	readonly recordBreak: (fingerprint: string) => void;
};

/** Hashes a request's body on its way. */
class WatchedExchange extends Exchange {
	readonly #options: WatchOptions;
	#next: Exchange | undefined;
	#held: readonly Uint8Array[] = [];
	#heldBytes = 0;
	#status = 0;

	constructor(options: WatchOptions) {
		super();
		this.#options = options;
		if (options.isHeld) {
			queueMicrotask(() => {
				options.handler.handleAccepted?.();
			});
		} else {
			this.#next = options.openNext(this.#createHandler());
		}
	}

	override writeBody(chunk: Uint8Array): void {
		this.#options.builder.addChunk(chunk);
		if (this.#next) {
			this.#next.writeBody(chunk);
			return;
		}

		this.#held = [...this.#held, chunk];
		this.#heldBytes += chunk.length;
		if (this.#heldBytes >= exchangeWindowBytes) {
			this.#release();
		}
	}

	override endBody(): void {
		this.#options.builder.endBody();
		if (!this.#next) {
			this.#release();
		}

		this.#next?.endBody();
	}

	override grantCredit(bytes: number): void {
		this.#next?.grantCredit(bytes);
	}

	override cancel(): void {
		this.#next?.cancel();
		this.#next ??= createClosedExchange();
	}

	/** Decides on a held request, at the end of its body or where that is too large to hold. */
	#release(): void {
		const {builder, handler, openNext, isRefused} = this.#options;
		const fingerprint = builder.findFingerprint();
		if (fingerprint !== undefined && isRefused(fingerprint)) {
			this.#next = refuseExchange(handler, createFailure('poisonRequest', `fingerprint ${fingerprint}`));
			return;
		}

		const next = openNext(this.#createHandler());
		this.#next = next;
		this.#held.forEach(chunk => {
			next.writeBody(chunk);
		});
		this.#held = [];
	}

	#createHandler(): ExchangeHandler {
		const {handler} = this.#options;
		return {
			handleHead: head => {
				this.#status = head.status;
				handler.handleHead(head);
			},
			handleData: handler.handleData,
			handleCredit: handler.handleCredit,
			...(handler.handleAccepted && {handleAccepted: handler.handleAccepted}),
			handleEnd: () => {
				this.#recordAnswer();
				handler.handleEnd();
			},
			handleFailure: failure => {
				this.#recordFailure(failure);
				handler.handleFailure(failure);
			},
		};
	}

	#recordAnswer(): void {
		const fingerprint = this.#options.builder.findFingerprint();
		if (fingerprint !== undefined && this.#status < firstServerError) {
			this.#options.recordAnswer(fingerprint);
		}
	}

	#recordFailure({name}: Failure): void {
		const fingerprint = this.#options.builder.findFingerprint();
		if (fingerprint !== undefined && name === 'serverBroke') {
			this.#options.recordBreak(fingerprint);
		}
	}
}
