/** Chooses a backend server for a request and carries it there, again elsewhere when that is safe. */
import {
	Carrier, createFailure, exchangeWindowBytes, Exchange, type ExchangeHandler, type Failure, type LoadHint, type RequestHead,
} from '@limpetbarrow/core';
import {selectServing, type Candidate, type Chooser} from '@limpetbarrow/choose';
import {type ReleaseState} from '@limpetbarrow/releases';
import {type ServerDirectory} from './server-directory.js';

/** Finds the carrier to a node's egress; undefined when the node is not known any more. */
export type FindEgress = (nodeId: string) => Carrier | undefined;

/** What a forwarder works with. */
export type ForwarderOptions = {
	readonly directory: ServerDirectory;
	readonly releases: ReleaseState;
	readonly chooser: Chooser;
	readonly findEgress: FindEgress;
};

const maxTries = 3;

/** Loads as this node sees them. */
class LoadTracker {
	readonly #inFlight = new Map<string, number>();
	readonly #hints = new Map<string, LoadHint>();

	countInFlight(serverId: string): number {
		return this.#inFlight.get(serverId) ?? 0;
	}

	getHint(serverId: string): LoadHint | undefined {
		return this.#hints.get(serverId);
	}

	add(serverId: string, amount: 1 | -1): void {
		const count = this.countInFlight(serverId) + amount;
		if (count > 0) {
			this.#inFlight.set(serverId, count);
		} else {
			this.#inFlight.delete(serverId);
		}
	}

	recordHint(hint: LoadHint): void {
		this.#hints.set(hint.serverId, hint);
	}
}

/** One request and its tries. */
class ForwardedExchange extends Exchange {
	readonly #head: RequestHead;
	readonly #handler: ExchangeHandler;
	readonly #options: ForwarderOptions;
	readonly #loads: LoadTracker;
	readonly #openedAt = performance.now();
	#current: Exchange | undefined;
	#tried: readonly string[] = [];
	#sent: readonly Uint8Array[] = [];
	#sentBytes = 0;
	#isBodyEnded = false;
	#isHeadReceived = false;
	#isOver = false;

	constructor(head: RequestHead, handler: ExchangeHandler, options: ForwarderOptions, loads: LoadTracker) {
		super();
		this.#head = head;
		this.#handler = handler;
		this.#options = options;
		this.#loads = loads;
	}

	/** Opens the next try. */
	open(lastFailure: Failure | undefined): void {
		const remainingMs = this.#head.remainingMs - (performance.now() - this.#openedAt);
		const candidate = remainingMs > 0 ? this.#choose() : undefined;
		const egress = candidate && this.#options.findEgress(candidate.nodeId);
		if (!candidate || !egress) {
			this.#fail(lastFailure ?? createFailure(remainingMs > 0 ? 'noServer' : 'deadlinePassed', `service ${this.#head.service}`));
			return;
		}

		this.#tried = [...this.#tried, candidate.server.id];
		this.#loads.add(candidate.server.id, 1);
		const target = {kind: 'egress', serverId: candidate.server.id} as const;
		this.#current = egress.openExchange({...this.#head, target, remainingMs}, this.#createHandler(candidate));
		this.#sent.forEach(chunk => this.#current?.writeBody(chunk));
		if (this.#isBodyEnded) {
			this.#current.endBody();
		}
	}

	override writeBody(chunk: Uint8Array): void {
		this.#sentBytes += chunk.length;
		this.#sent = this.#isReplayable() ? [...this.#sent, chunk] : [];
		this.#current?.writeBody(chunk);
	}

	override endBody(): void {
		this.#isBodyEnded = true;
		this.#current?.endBody();
	}

	override grantCredit(bytes: number): void {
		this.#current?.grantCredit(bytes);
	}

	override cancel(): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		this.#release();
		this.#current?.cancel();
	}

	#choose(): Candidate | undefined {
		const {directory, releases, chooser} = this.#options;
		const candidates = directory.listCandidates(this.#head.service);
		const floor = releases.getConfiguration().services.get(this.#head.service)?.floor ?? 0;
		const serving = new Set(selectServing(candidates.map(({server}) => server), floor));
		const untried = candidates.filter(({server}) => serving.has(server) && !this.#tried.includes(server.id));
		return chooser.choose(untried, {
			countInFlight: serverId => this.#loads.countInFlight(serverId),
			getHint: serverId => this.#loads.getHint(serverId),
		});
	}

	/** The whole body sent so far is still held, since no credit was granted beyond the first window. */
	#isReplayable(): boolean {
		return this.#sentBytes <= exchangeWindowBytes;
	}

	#createHandler(candidate: Candidate): ExchangeHandler {
		return {
			handleHead: head => {
				this.#isHeadReceived = true;
				if (head.load) {
					this.#loads.recordHint(head.load);
				}

				this.#handler.handleHead(head);
			},
			handleData: this.#handler.handleData,
			handleCredit: this.#handler.handleCredit,
			handleEnd: () => {
				this.#isOver = true;
				this.#loads.add(candidate.server.id, -1);
				this.#handler.handleEnd();
			},
			handleFailure: failure => {
				this.#loads.add(candidate.server.id, -1);
				this.#handleFailure(failure);
			},
		};
	}

	#handleFailure(failure: Failure): void {
		const isSafe = failure.ran === 'not-run' || this.#head.isRepeatable;
		const isRetried = isSafe && failure.resend !== 'never' && !this.#isHeadReceived && this.#isReplayable() && this.#tried.length < maxTries;
		if (isRetried) {
			this.open(failure);
		} else {
			this.#fail(failure);
		}
	}

	#fail(failure: Failure): void {
		this.#isOver = true;
		queueMicrotask(() => {
			this.#handler.handleFailure(failure);
		});
	}

	#release(): void {
		const serverId = this.#tried.at(-1);
		if (serverId !== undefined) {
			this.#loads.add(serverId, -1);
		}
	}
}

/** Carries requests to backend servers anywhere in the fleet. */
export class Forwarder extends Carrier {
	readonly #options: ForwarderOptions;
	readonly #loads = new LoadTracker();

	constructor(options: ForwarderOptions) {
		super();
		this.#options = options;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const exchange = new ForwardedExchange(head, handler, this.#options, this.#loads);
		exchange.open(undefined);
		return exchange;
	}
}
