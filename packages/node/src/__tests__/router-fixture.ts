/** Test fixture: a request router on a node that can reach two backend servers, whose egresses record the attempts. */
import {Buffer} from 'node:buffer';
import {
	Carrier, Exchange, MetricRegistry, SilentLogger, type ExchangeHandler, type Failure, type RequestHead, type ServerRecord,
} from '@limpetbarrow/core';
import {type Candidate} from '@limpetbarrow/choose';
import {RequestRouter, VerifyingServerProtocol} from '../index.js';
import {testServerHeaders} from './raw-backend.js';

/** One attempt as seen by the egress of another node. */
export class FakeAttempt extends Exchange {
	isEnded = false;
	isCancelled = false;
	isAccepted = false;
	isRefused = false;
	readonly head: RequestHead;
	readonly handler: ExchangeHandler;
	#bodyParts: readonly Uint8Array[] = [];
	#consumedBytes = 0;

	constructor(head: RequestHead, handler: ExchangeHandler) {
		super();
		this.head = head;
		this.handler = handler;
	}

	override writeBody(chunk: Uint8Array): void {
		this.#bodyParts = [...this.#bodyParts, chunk];
	}

	override endBody(): void {
		this.isEnded = true;
	}

	override grantCredit(): void {
		// Response bodies are empty in these tests.
	}

	override cancel(): void {
		this.isCancelled = true;
	}

	accept(): void {
		this.isAccepted = true;
		this.handler.handleAccepted?.();
	}

	refuse(failure: Failure): void {
		this.isRefused = true;
		this.handler.handleFailure(failure);
	}

	/** The part of the request's body that has arrived. */
	getBody(): Uint8Array {
		return Buffer.concat(this.#bodyParts);
	}

	/** Consumes all of the body that has arrived, so that the sender gets credit for it. */
	readBody(): void {
		const bytes = this.getBody().length - this.#consumedBytes;
		this.#consumedBytes += bytes;
		this.handler.handleCredit(bytes);
	}

	answer(status = 200, headers: readonly string[] = []): void {
		this.handler.handleHead({status, headers});
		this.handler.handleEnd();
	}
}

export class FakeEgress extends Carrier {
	attempts: readonly FakeAttempt[] = [];
	/** Failure for each request; requests are not refused while it is undefined. */
	refusal: Failure | undefined;

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const attempt = new FakeAttempt(head, handler);
		this.attempts = [...this.attempts, attempt];
		const {refusal} = this;
		if (refusal) {
			queueMicrotask(() => {
				attempt.refuse(refusal);
			});
		}

		return attempt;
	}
}

const protocol = new VerifyingServerProtocol(testServerHeaders);
const self = {id: 'own', placement: {region: 'r', failureDomain: 'a'}};

function createCandidate(id: string, failureDomain: string, state: ServerRecord['state'] = 'ready'): Candidate {
	return {
		nodeId: `node-${id}`,
		placement: {region: 'r', failureDomain},
		server: {
			id, service: 'desk', slots: 3, state, generation: 1, badness: 0,
		},
	};
}

/** A router, and the outcome of the request that was opened last. */
export class RouterFixture {
	readonly egresses: ReadonlyMap<string, FakeEgress> = new Map(['near', 'far'].map(id => [`node-${id}`, new FakeEgress()]));
	readonly router: RequestRouter;
	/** What the directory lists. */
	candidates: readonly Candidate[] = [createCandidate('near', 'a'), createCandidate('far', 'b'), createCandidate('gone', 'a', 'leaving')];
	outcomes: readonly string[] = [];
	failure: Failure | undefined;

	constructor() {
		this.router = new RequestRouter({
			self,
			directory: {listCandidates: () => this.candidates},
			findEgress: nodeId => this.egresses.get(nodeId),
			findLocalLoad: () => undefined,
			isLeaving: head => protocol.isLeaving(head),
			metrics: new MetricRegistry(),
			logger: new SilentLogger(),
			pickRandom: () => 0.5,
		});
	}

	/** Opens a request without a body. */
	openRequest(fields: Partial<RequestHead> = {}): Exchange {
		const exchange = this.openUpload(fields);
		exchange.endBody();
		return exchange;
	}

	/** Opens a request whose body the test sends; `handleCredit` is called with the credit that the request gets for it. */
	openUpload(fields: Partial<RequestHead>, handleCredit: (bytes: number) => void = () => undefined): Exchange {
		return this.router.openExchange({
			requestId: 'r-1',
			target: {kind: 'egress', serverId: ''},
			service: 'desk',
			method: 'GET',
			path: '/',
			headers: [],
			remainingMs: 2000,
			objectiveMs: 800,
			maxAttempts: 2,
			isRepeatable: true,
			organisation: '',
			...fields,
		}, {
			handleHead: ({status}) => {
				this.outcomes = [...this.outcomes, String(status)];
			},
			handleData() {
				// Only the response heads are checked.
			},
			handleCredit,
			handleEnd: () => {
				this.outcomes = [...this.outcomes, 'end'];
			},
			handleFailure: last => {
				this.failure = last;
				this.outcomes = [...this.outcomes, last.name];
			},
		});
	}

	getAttempts(id: string): readonly FakeAttempt[] {
		return this.egresses.get(`node-${id}`)!.attempts;
	}

	/** Number of attempts at both backend servers. */
	countAttempts(): number {
		return this.listAttempts().length;
	}

	listAttempts(): readonly FakeAttempt[] {
		return [...this.getAttempts('near'), ...this.getAttempts('far')];
	}

	/** Lists the attempts that were neither refused nor cancelled. */
	listOpenAttempts(): readonly FakeAttempt[] {
		return this.listAttempts().filter(({isCancelled, isRefused}) => !isCancelled && !isRefused);
	}

	/** Makes both egresses refuse all requests, or none if there is no failure. */
	refuseAll(refusal: Failure | undefined): void {
		this.egresses.forEach(egress => {
			egress.refusal = refusal;
		});
	}
}
