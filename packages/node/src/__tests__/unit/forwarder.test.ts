import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	Carrier, createFailure, Exchange, MetricRegistry, type ExchangeHandler, type RequestHead, type ResultName, type ServerState,
} from '@limpetbarrow/core';
import {NearestChooser, type Candidate} from '@limpetbarrow/choose';
import {Forwarder} from '../../index.js';

const self = {id: 'node-self', placement: {region: 'volta', failureDomain: 'volta-1'}};
const service = {
	name: 'harvest-ledger', floor: 1, detection: 'cautious', queueLimit: 12,
} as const;

class NullExchange extends Exchange {
	override writeBody(): void {
		// FakeEgress answers by itself.
	}

	override endBody(): void {
		// FakeEgress answers by itself.
	}

	override grantCredit(): void {
		// FakeEgress answers by itself.
	}

	override cancel(): void {
		// FakeEgress answers by itself.
	}
}

/** Fails or answers each request as configured and records the backend servers requested. */
class FakeEgress extends Carrier {
	readonly served: string[] = [];
	readonly #pickFailure: (serverId: string) => ResultName | undefined;

	constructor(pickFailure: (serverId: string) => ResultName | undefined) {
		super();
		this.#pickFailure = pickFailure;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const serverId = head.target.kind === 'egress' ? head.target.serverId : '';
		this.served.push(serverId);
		const failure = this.#pickFailure(serverId);
		queueMicrotask(() => {
			if (failure) {
				handler.handleFailure(createFailure(failure, 'fake'));
			} else {
				handler.handleHead({status: 200, headers: []});
				handler.handleEnd();
			}
		});
		return new NullExchange();
	}
}

function createCandidate(index: number, state: ServerState = 'ready'): Candidate {
	const server = {
		id: `server-${index}`, service: service.name, slots: 3, state, generation: 1, badness: 0,
	};
	return {nodeId: `node-${index}`, placement: self.placement, server};
}

function createForwarder(egress: Carrier, candidates: readonly Candidate[], pickRandom: () => number = () => 0.99): Forwarder {
	return new Forwarder({
		self,
		directory: {listCandidates: () => candidates},
		releases: {
			getConfiguration: () => ({
				release: 1, services: new Map([[service.name, service]]), routes: new Map(), terms: new Map(), organisations: new Map(),
			}),
		},
		chooser: new NearestChooser(self, () => 0),
		findEgress: () => egress,
		metrics: new MetricRegistry(),
		pickRandom,
	});
}

async function sendRequest(forwarder: Forwarder, isRepeatable: boolean): Promise<string> {
	return new Promise(resolve => {
		const head: RequestHead = {
			requestId: 'r', target: {kind: 'egress', serverId: ''}, service: service.name, method: 'GET', path: '/', headers: [], remainingMs: 5000, isRepeatable, organisation: '',
		};
		forwarder.openExchange(head, {
			handleHead() {
				// Only the outcome is checked.
			},
			handleData() {
				// Only the outcome is checked.
			},
			handleCredit() {
				// Only the outcome is checked.
			},
			handleEnd() {
				resolve('answered');
			},
			handleFailure({name}) {
				resolve(name);
			},
		});
	});
}

async function sendRequests(forwarder: Forwarder, count: number): Promise<readonly string[]> {
	return Promise.all(Array.from({length: count}, async () => sendRequest(forwarder, true)));
}

describe('forwarder', () => {
	// Guards against work that is begun when a planned stop leaves no time for it, and then broken off.
	describe('during a planned stop', () => {
		let clock: Clock;

		beforeEach(() => {
			clock = install({toFake: ['performance']});
		});

		afterEach(() => {
			clock.uninstall();
		});

		it('refuses a request as "not run" when answers of its route take longer than the stop', async () => {
			const egress = new FakeEgress(() => {
				clock.tick(800);
				return undefined;
			});
			const forwarder = createForwarder(egress, [createCandidate(1)]);
			expect(await sendRequest(forwarder, false)).to.equal('answered');
			forwarder.startStopping(performance.now() + 1000);
			expect(await sendRequest(forwarder, false)).to.equal('nodeStopping');
			expect(egress.served.length).to.equal(1);
		});

		it('forwards a request that can be answered before the stop ends', async () => {
			const forwarder = createForwarder(new FakeEgress(() => undefined), [createCandidate(1)]);
			forwarder.startStopping(performance.now() + 1000);
			expect(await sendRequest(forwarder, false)).to.equal('answered');
		});

		it('does not repeat a request when the stop leaves no time for it', async () => {
			const egress = new FakeEgress(() => {
				clock.tick(900);
				return 'serverBroke';
			});
			const forwarder = createForwarder(egress, [createCandidate(1), createCandidate(2)]);
			forwarder.startStopping(performance.now() + 1000);
			expect(await sendRequest(forwarder, true)).to.equal('serverBroke');
			expect(egress.served.length).to.equal(1);
		});
	});

	describe('retries', () => {
		const cases: ReadonlyArray<{failure: ResultName; isRepeatable: boolean; tries: number}> = [
			{failure: 'queueFull', isRepeatable: false, tries: 2},
			{failure: 'serverBroke', isRepeatable: true, tries: 2},
			{failure: 'serverBroke', isRepeatable: false, tries: 1},
			{failure: 'linkLost', isRepeatable: false, tries: 1},
			{failure: 'poisonRequest', isRepeatable: true, tries: 1},
		];
		cases.forEach(({failure, isRepeatable, tries}) => {
			it(`${failure} of a ${isRepeatable ? 'repeatable' : 'non-repeatable'} request results in a total of ${tries} attempt(s)`, async () => {
				const egress = new FakeEgress(serverId => serverId === 'server-1' ? failure : undefined);
				const outcome = await sendRequest(createForwarder(egress, [createCandidate(1), createCandidate(2)]), isRepeatable);
				expect(egress.served).to.have.length(tries);
				expect(outcome).to.equal(tries === 2 ? 'answered' : failure);
			});
		});

		it('stay within the retry budget when every attempt fails', async () => {
			const egress = new FakeEgress(() => 'serverBroke');
			await sendRequests(createForwarder(egress, [createCandidate(1), createCandidate(2), createCandidate(3)]), 1000);
			expect(egress.served.length).to.be.within(1001, 1000 + 100 + 3);
		});
	});

	describe('a "not run" failure', () => {
		const refusals: readonly ResultName[] = ['queueFull', 'poisonRequest', 'linkUnreachable', 'serverRefused'];
		refusals.forEach(refusal => {
			it(`is not reported when an earlier attempt may have run and the last one failed with ${refusal}`, async () => {
				const egress = new FakeEgress(serverId => serverId === 'server-1' ? 'serverBroke' : refusal);
				expect(await sendRequest(createForwarder(egress, [createCandidate(1), createCandidate(2)]), true)).to.equal('serverBroke');
				expect(egress.served).to.deep.equal(['server-1', 'server-2']);
			});
		});
	});

	describe('server selection by state', () => {
		it('uses an ejected server when too few others are left for the floor', async () => {
			const egress = new FakeEgress(() => undefined);
			expect(await sendRequest(createForwarder(egress, [createCandidate(1, 'ejected')]), false)).to.equal('answered');
		});

		it('sends only repeatable requests to a server on probation', async () => {
			const egress = new FakeEgress(() => undefined);
			const forwarder = createForwarder(egress, [createCandidate(1, 'probation'), createCandidate(2)], () => 0);
			await sendRequest(forwarder, false);
			await sendRequest(forwarder, true);
			expect(egress.served).to.deep.equal(['server-2', 'server-1']);
		});
	});

	describe('paths to other nodes', () => {
		it('are avoided by later requests after a failure', async () => {
			const egress = new FakeEgress(serverId => serverId === 'server-1' ? 'linkUnreachable' : undefined);
			const forwarder = createForwarder(egress, [createCandidate(1), createCandidate(2)]);
			await sendRequest(forwarder, false);
			await sendRequest(forwarder, false);
			expect(egress.served).to.deep.equal(['server-1', 'server-2', 'server-2']);
		});
	});
});
