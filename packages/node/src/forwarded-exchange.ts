/** One forwarded request and its tries. */
import {
	createFailure, exchangeWindowBytes, Exchange, type Carrier, type ExchangeHandler, type Failure, type RequestHead,
} from '@limpetbarrow/core';
import {type Candidate, type PathHealth, type RetryPolicy} from '@limpetbarrow/choose';
import {type LoadTracker} from './load-tracker.js';

/** What the tries of a request need. */
export type TryOptions = {
	/** Chooses a backend server that wasn't tried yet. */
	readonly chooseCandidate: (head: RequestHead, tried: readonly string[]) => Candidate | undefined;
	readonly findEgress: (nodeId: string) => Carrier | undefined;
	readonly loads: LoadTracker;
	readonly paths: PathHealth;
	readonly retries: RetryPolicy;
	readonly recordRetry: () => void;
};

const maxTries = 3;
const pathFailures: ReadonlySet<string> = new Set(['linkUnreachable', 'linkLost']);

/** Tries a request, again elsewhere when that is safe and within the budget. */
export class ForwardedExchange extends Exchange {
	readonly #head: RequestHead;
	readonly #handler: ExchangeHandler;
	readonly #options: TryOptions;
	readonly #openedAt = performance.now();
	#current: Exchange | undefined;
	#tried: readonly string[] = [];
	#sent: readonly Uint8Array[] = [];
	#sentBytes = 0;
	#isBodyEnded = false;
	#isHeadReceived = false;
	#isOver = false;
	/** Failure of the first try that may have run. */
	#unknown: Failure | undefined;

	constructor(head: RequestHead, handler: ExchangeHandler, options: TryOptions) {
		super();
		this.#head = head;
		this.#handler = handler;
		this.#options = options;
	}

	/** Opens the next try. */
	open(lastFailure: Failure | undefined): void {
		const remainingMs = this.#head.remainingMs - (performance.now() - this.#openedAt);
		const candidate = remainingMs > 0 ? this.#options.chooseCandidate(this.#head, this.#tried) : undefined;
		const egress = candidate && this.#options.findEgress(candidate.nodeId);
		if (!candidate || !egress) {
			this.#fail(lastFailure ?? createFailure(remainingMs > 0 ? 'noServer' : 'deadlinePassed', `service ${this.#head.service}`));
			return;
		}

		this.#tried = [...this.#tried, candidate.server.id];
		this.#options.loads.add(candidate.server.id, 1);
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

	/** The whole body sent so far is still held, since no credit was granted beyond the first window. */
	#isReplayable(): boolean {
		return this.#sentBytes <= exchangeWindowBytes;
	}

	#createHandler({nodeId, server}: Candidate): ExchangeHandler {
		const {loads, paths} = this.#options;
		return {
			handleHead: head => {
				this.#isHeadReceived = true;
				paths.recordSuccess(nodeId, performance.now());
				if (head.load) {
					loads.recordHint(head.load);
				}

				this.#handler.handleHead(head);
			},
			handleData: this.#handler.handleData,
			handleCredit: this.#handler.handleCredit,
			handleEnd: () => {
				this.#isOver = true;
				loads.add(server.id, -1);
				this.#handler.handleEnd();
			},
			handleFailure: failure => {
				loads.add(server.id, -1);
				if (pathFailures.has(failure.name)) {
					paths.recordFailure(nodeId, performance.now());
				}

				this.#handleFailure(failure);
			},
		};
	}

	#handleFailure(failure: Failure): void {
		if (failure.ran !== 'not-run') {
			this.#unknown ??= failure;
		}

		if (this.#isRetryable(failure) && this.#options.retries.takeRetry(failure.ran === 'not-run', performance.now())) {
			this.#options.recordRetry();
			this.open(failure);
		} else {
			this.#fail(failure);
		}
	}

	#isRetryable(failure: Failure): boolean {
		const isSafe = failure.ran === 'not-run' || this.#head.isRepeatable;
		return isSafe && failure.resend !== 'never' && !this.#isHeadReceived && this.#isReplayable() && this.#tried.length < maxTries;
	}

	/** What the last try says of itself holds for the request only if no earlier try may have run. */
	#fail(last: Failure): void {
		const failure = last.ran === 'not-run' ? this.#unknown ?? last : last;
		this.#isOver = true;
		queueMicrotask(() => {
			this.#handler.handleFailure(failure);
		});
	}

	#release(): void {
		const serverId = this.#tried.at(-1);
		if (serverId !== undefined) {
			this.#options.loads.add(serverId, -1);
		}
	}
}
