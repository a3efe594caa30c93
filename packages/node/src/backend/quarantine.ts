/** Identifies requests that crash backend servers ("poison") and refuses them when they come again. */
import {
	createFailure, Exchange, exchangeWindowBytes, Subject, type Address, type ExchangeHandler, type Failure, type PoisonMark, type RequestHead,
} from '@limpetbarrow/core';
import {
	isPoison, mergePoisonMarks, PoisonRegister, selectUncleared,
} from '@limpetbarrow/detect';
import {createClosedExchange, refuseExchange} from '../routing/closed-exchange.js';
import {isRefusingConnections} from './address-probe.js';
import {FingerprintBuilder} from './fingerprint.js';

/** Opens the exchange with the backend server. */
export type OpenBackendExchange = (handler: ExchangeHandler) => Exchange;

/** Tests whether nothing listens at an address any more. */
export type ProbeAddress = (address: Address) => Promise<boolean>;

/** A change of a node's own marks, and what it came from: a crash, an answer that clears a mark, or the node's earlier process. */
export type MarkChange = {
	readonly cause: 'crash' | 'answer' | 'restart';
	readonly marks: readonly PoisonMark[];
};

const minServerErrorStatus = 500;

/** Tracks the requests to one node's backend servers by fingerprint. */
export class Quarantine {
	/** Publishes each change of the node's own marks. */
	readonly changes = new Subject<MarkChange>();
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

	/**
	 * Forwards a request. If a marked request has the same service, method and path, the body is held first, and the request
	 * is refused when its fingerprint is quarantined.
	 */
	openExchange(head: RequestHead, handler: ExchangeHandler, server: {readonly id: string; readonly address: Address}, openBackendExchange: OpenBackendExchange): Exchange {
		const builder = new FingerprintBuilder(head);
		return new FingerprintedExchange({
			builder,
			isBodyHeld: this.#markedHeadHashes.has(builder.headHash),
			handler,
			openBackendExchange,
			isFingerprintQuarantined: fingerprint => this.isQuarantined(fingerprint),
			recordAnswer: fingerprint => {
				const isOwnMark = this.#poisonRegister.recordAnswer(fingerprint, Date.now());
				if (isOwnMark || this.#mergedMarks.has(fingerprint)) {
					this.#publishMarks('answer');
				}
			},
			recordBreak: fingerprint => {
				void this.#handleConnectionBreak(server.id, server.address, fingerprint);
			},
		});
	}

	/** True when enough backend servers crashed on the request and its mark has not expired. */
	isQuarantined(fingerprint: string): boolean {
		const mark = this.#mergedMarks.get(fingerprint);
		return mark !== undefined && mark.expiresAt > Date.now() && isPoison(mark);
	}

	/** True when a quarantined request crashed the backend server. */
	hasCrashed(serverId: string): boolean {
		return [...this.#mergedMarks.values()].some(mark => isPoison(mark) && mark.serverIds.includes(serverId));
	}

	/** Marks that this node publishes. */
	listMarks(): readonly PoisonMark[] {
		return this.#poisonRegister.listMarks(Date.now());
	}

	/** Restores marks that an earlier process of this node has made. */
	addEarlierMarks(marks: readonly PoisonMark[]): void {
		if (marks.length > 0) {
			this.#poisonRegister.addEarlierMarks(marks, Date.now());
			this.#publishMarks('restart');
		}
	}

	/** Merges the marks and clearances that other nodes publish with this node's own; called periodically. */
	mergeFleetMarks(): void {
		if (this.#mergeMarks()) {
			this.changes.publish({cause: 'answer', marks: this.listMarks()});
		}
	}

	/** Returns true if that changes what this node publishes. */
	#mergeMarks(): boolean {
		const fleetMarks = this.#listFleetMarks();
		const isChanged = this.#poisonRegister.applyFleetMarks([...fleetMarks, ...this.listMarks()]);
		this.#mergedMarks = mergePoisonMarks(selectUncleared([...fleetMarks, ...this.listMarks()]), Date.now());
		this.#markedHeadHashes = new Set([...this.#mergedMarks.keys()].map(fingerprint => fingerprint.split('.', 1)[0]!));
		return isChanged;
	}

	/** A broken connection is a crash only if nothing listens at the server's address afterwards. */
	async #handleConnectionBreak(serverId: string, address: Address, fingerprint: string): Promise<void> {
		this.#poisonRegister.recordBrokenConnection(serverId, fingerprint, Date.now());
		if (this.#probedServerIds.has(serverId)) {
			return;
		}

		this.#probedServerIds.add(serverId);
		const isCrashed = await this.#probe(address);
		this.#probedServerIds.delete(serverId);
		if (isCrashed && this.#poisonRegister.recordCrash(serverId, Date.now())) {
			this.#publishMarks('crash');
		}
	}

	#publishMarks(cause: MarkChange['cause']): void {
		this.#mergeMarks();
		this.changes.publish({cause, marks: this.listMarks()});
	}
}

type FingerprintedExchangeOptions = {
	readonly builder: FingerprintBuilder;
	/** True when the body is held until its fingerprint is known. */
	readonly isBodyHeld: boolean;
	readonly handler: ExchangeHandler;
	readonly openBackendExchange: OpenBackendExchange;
	readonly isFingerprintQuarantined: (fingerprint: string) => boolean;
	readonly recordAnswer: (fingerprint: string) => void;
	readonly recordBreak: (fingerprint: string) => void;
};

/** Computes a request's fingerprint while its body passes, and records how the request ended under that fingerprint. */
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

	/** Refuses or forwards a held request, at the end of its body or once the held bytes fill the exchange window. */
	#forwardOrRefuse(): void {
		const {builder, handler, openBackendExchange, isFingerprintQuarantined} = this.#options;
		const fingerprint = builder.findFingerprint();
		if (fingerprint !== undefined && isFingerprintQuarantined(fingerprint)) {
			this.#backendExchange = refuseExchange(handler, createFailure('poisonRequest', `requests with fingerprint ${fingerprint} have crashed backend servers`));
			return;
		}

		const backendExchange = openBackendExchange(this.#createHandler());
		this.#backendExchange = backendExchange;
		this.#heldChunks.forEach(chunk => {
			backendExchange.writeBody(chunk);
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
