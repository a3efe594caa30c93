/** Refuses requests that crashed backend servers before, and finds them. */
import {
	createFailure, Exchange, exchangeWindowBytes, Subject, type Address, type ExchangeHandler, type Failure, type PoisonMark, type RequestHead,
} from '@limpetbarrow/core';
import {isPoison, mergePoisonMarks, PoisonRegister} from '@limpetbarrow/detect';
import {isRefusingConnections} from './address-probe.js';
import {createClosedExchange, refuseExchange} from './closed-exchange.js';
import {FingerprintBuilder} from './fingerprint.js';

/** Opens the exchange to the backend server. */
export type OpenBackendExchange = (handler: ExchangeHandler) => Exchange;

/** Finds out whether nothing listens at an address any more. */
export type ProbeAddress = (address: Address) => Promise<boolean>;

const minServerErrorStatus = 500;

/** Watches the requests of one node's backend servers. */
export class Quarantine {
	/** Fires when the node's own marks have changed. */
	readonly changes = new Subject<readonly PoisonMark[]>();
	readonly #poisonRegister = new PoisonRegister();
	readonly #listFleetMarks: () => readonly PoisonMark[];
	readonly #probe: ProbeAddress;
	readonly #probedServerIds = new Set<string>();
	#mergedMarks: ReadonlyMap<string, PoisonMark> = new Map();
	#markedHeadHashes: ReadonlySet<string> = new Set();

	constructor(listFleetMarks: () => readonly PoisonMark[], probe: ProbeAddress = isRefusingConnections) {
		this.#listFleetMarks = listFleetMarks;
		this.#probe = probe;
	}

	/** Carries a request on, or refuses it once its body is known when one like it is marked. */
	openExchange(head: RequestHead, handler: ExchangeHandler, server: {readonly id: string; readonly address: Address}, openBackendExchange: OpenBackendExchange): Exchange {
		const builder = new FingerprintBuilder(head);
		return new FingerprintedExchange({
			builder,
			isBodyHeld: this.#markedHeadHashes.has(builder.headHash),
			handler,
			openBackendExchange,
			isFingerprintQuarantined: fingerprint => this.isQuarantined(fingerprint),
			recordAnswer: fingerprint => {
				this.#poisonRegister.recordAnswer(fingerprint);
			},
			recordBreak: fingerprint => {
				void this.#handleConnectionBreak(server.id, server.address, fingerprint);
			},
		});
	}

	isQuarantined(fingerprint: string): boolean {
		const mark = this.#mergedMarks.get(fingerprint);
		return mark !== undefined && mark.expiresAt > Date.now() && isPoison(mark);
	}

	/** True when a quarantined request is known to have crashed the backend server. */
	hasCrashed(serverId: string): boolean {
		return [...this.#mergedMarks.values()].some(mark => isPoison(mark) && mark.serverIds.includes(serverId));
	}

	/** The marks this node publishes. */
	listMarks(): readonly PoisonMark[] {
		return this.#poisonRegister.listMarks(Date.now());
	}

	/** Takes over what other nodes have marked. */
	mergeFleetMarks(): void {
		this.#mergedMarks = mergePoisonMarks([...this.#listFleetMarks(), ...this.listMarks()], Date.now());
		this.#markedHeadHashes = new Set([...this.#mergedMarks.keys()].map(fingerprint => fingerprint.split('.', 1)[0]!));
	}

	async #handleConnectionBreak(serverId: string, address: Address, fingerprint: string): Promise<void> {
		this.#poisonRegister.recordBreak(serverId, fingerprint, Date.now());
		if (this.#probedServerIds.has(serverId)) {
			return;
		}

		this.#probedServerIds.add(serverId);
		const isCrashed = await this.#probe(address);
		this.#probedServerIds.delete(serverId);
		if (isCrashed && this.#poisonRegister.recordCrash(serverId, Date.now())) {
			this.mergeFleetMarks();
			this.changes.publish(this.listMarks());
		}
	}
}

type FingerprintedExchangeOptions = {
	readonly builder: FingerprintBuilder;
	/** True when the body must be known before the request may run. */
	readonly isBodyHeld: boolean;
	readonly handler: ExchangeHandler;
	readonly openBackendExchange: OpenBackendExchange;
	readonly isFingerprintQuarantined: (fingerprint: string) => boolean;
	readonly recordAnswer: (fingerprint: string) => void;
	readonly recordBreak: (fingerprint: string) => void;
};

/** Hashes a request's body on its way. */
class FingerprintedExchange extends Exchange {
	readonly #options: FingerprintedExchangeOptions;
	#backendExchange: Exchange | undefined;
	#heldChunks: readonly Uint8Array[] = [];
	#heldBytes = 0;
	#responseStatus = 0;

	constructor(options: FingerprintedExchangeOptions) {
		super();
		this.#options = options;
		if (options.isBodyHeld) {
			queueMicrotask(() => {
				options.handler.handleAccepted?.();
			});
		} else {
			this.#backendExchange = options.openBackendExchange(this.#createHandler());
		}
	}

	override writeBody(chunk: Uint8Array): void {
		this.#options.builder.addChunk(chunk);
		if (this.#backendExchange) {
			this.#backendExchange.writeBody(chunk);
			return;
		}

		this.#heldChunks = [...this.#heldChunks, chunk];
		this.#heldBytes += chunk.length;
		if (this.#heldBytes >= exchangeWindowBytes) {
			this.#forwardOrRefuse();
		}
	}

	override endBody(): void {
		this.#options.builder.endBody();
		if (!this.#backendExchange) {
			this.#forwardOrRefuse();
		}

		this.#backendExchange?.endBody();
	}

	override grantCredit(bytes: number): void {
		this.#backendExchange?.grantCredit(bytes);
	}

	override cancel(): void {
		this.#backendExchange?.cancel();
		this.#backendExchange ??= createClosedExchange();
	}

	/** Decides on a held request, at the end of its body or where that is too large to hold. */
	#forwardOrRefuse(): void {
		const {builder, handler, openBackendExchange, isFingerprintQuarantined} = this.#options;
		const fingerprint = builder.findFingerprint();
		if (fingerprint !== undefined && isFingerprintQuarantined(fingerprint)) {
			this.#backendExchange = refuseExchange(handler, createFailure('poisonRequest', `fingerprint ${fingerprint}`));
			return;
		}

		const next = openBackendExchange(this.#createHandler());
		this.#backendExchange = next;
		this.#heldChunks.forEach(chunk => {
			next.writeBody(chunk);
		});
		this.#heldChunks = [];
	}

	#createHandler(): ExchangeHandler {
		const {handler} = this.#options;
		return {
			handleHead: head => {
				this.#responseStatus = head.status;
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
		if (fingerprint !== undefined && this.#responseStatus < minServerErrorStatus) {
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
