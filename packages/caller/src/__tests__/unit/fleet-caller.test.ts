import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {type Either} from 'purify-ts';
import {
	attemptHeader, idempotencyHeader, ranHeader, renewHeader, resultCodes, resultHeader, termsHeader, type ResultName,
} from '@limpetbarrow/core';
import {
	FleetCaller, chooseNextStep, readOutcome, Transport, type FleetAnswer, type FleetFailure, type FleetRequest, type Send, type SendResult,
} from '../../index.js';

const order: FleetRequest = {method: 'POST', path: '/orders', body: '{"shoe":34}'};
const look: FleetRequest = {method: 'GET', path: '/fittings/1'};
const ran: SendResult = {
	kind: 'answer', status: 200, headers: {}, text: 'done',
};
const lost: SendResult = {kind: 'lost', detail: 'by the test'};
const notSent: SendResult = {kind: 'not-sent', detail: 'by the test'};

function refuse(name: ResultName, headers: Readonly<Record<string, string>> = {}): SendResult {
	const {code, status, ran: ranState} = resultCodes[name];
	return {
		kind: 'answer', status, headers: {[resultHeader]: String(code), [ranHeader]: ranState, ...headers}, text: '',
	};
}

/** Returns the given results in order, then successful answers, and issues terms on every request for them. */
class FakeTransport extends Transport {
	readonly sends: Send[] = [];
	readonly termsCalls: Send[] = [];
	#results: readonly SendResult[];

	constructor(...results: readonly SendResult[]) {
		super();
		this.#results = results;
	}

	override async send(send: Send): Promise<SendResult> {
		if (send.path.startsWith('/.limpetbarrow/')) {
			this.termsCalls.push(send);
			const id = `t${this.termsCalls.length}`;
			const terms = {
				id, rate: 10, timeoutMs: 2000, issuedAt: Date.now(), expiresAt: Date.now() + 100_000,
			};
			return {
				kind: 'answer', status: 200, headers: {}, text: JSON.stringify({token: `token-${id}`, terms}),
			};
		}

		this.sends.push(send);
		const [result = ran, ...rest] = this.#results;
		this.#results = rest;
		return result;
	}

	/** Lists the key, attempt and terms token of each send. */
	listKeys(): readonly string[] {
		return this.sends.map(({headers}) => `${headers[idempotencyHeader]} ${headers[attemptHeader]} ${headers[termsHeader]}`);
	}
}

function createCaller(transport: Transport): FleetCaller {
	return new FleetCaller({origins: ['http://a', 'http://b'], credentials: {organisation: 'pointe', secret: 's'}, transport});
}

function readFailure(result: Either<FleetFailure, FleetAnswer>): FleetFailure {
	return result.swap().extract() as FleetFailure;
}

describe('FleetCaller', () => {
	let clock: Clock;

	/** Advances the clock past the waits between sends. */
	const settle = async <Value>(pending: Promise<Value>): Promise<Value> => {
		await clock.tickAsync(9000);
		return pending;
	};

	beforeEach(() => {
		clock = install({now: 1_800_000_000_000});
	});

	afterEach(() => {
		clock.uninstall();
	});

	describe('a request that is not repeatable and has no key', () => {
		(['serverBroke', 'linkLost', 'answerTimeout', 'serverTimeout', 'internalError'] as const).forEach(name => {
			it(`is not resent after ${name}`, async () => {
				const transport = new FakeTransport(refuse(name));
				expect(readFailure(await settle(createCaller(transport).send(order)))).to.deep.include({ran: 'unknown', sends: 1});
			});
		});

		it('is not resent when its answer was lost', async () => {
			const transport = new FakeTransport(lost);
			expect(readFailure(await settle(createCaller(transport).send(order))).ran).to.equal('unknown');
			expect(transport.sends.length).to.equal(1);
		});

		it('is resent through another ingress when it is proven not to have run', async () => {
			const transport = new FakeTransport(refuse('nodeStopping'), notSent);
			const answer = await settle(createCaller(transport).send(order));
			expect(answer.isRight()).to.equal(true);
			expect(transport.sends.map(({origin}) => origin)).to.deep.equal(['http://a', 'http://b', 'http://a']);
		});

		it('is resent only after the time in retry-after', async () => {
			const transport = new FakeTransport(refuse('queueFull', {'retry-after': '2'}));
			const sent = createCaller(transport).send(order);
			await clock.tickAsync(1999);
			expect(transport.sends.length).to.equal(1);
			await clock.tickAsync(1);
			const answer = await sent;
			expect(answer.isRight()).to.equal(true);
		});
	});

	describe('a keyed request', () => {
		it('is resent with the same key and a rising attempt number until an answer arrives', async () => {
			const transport = new FakeTransport(lost, refuse('homeUnreachable'), refuse('keyUndecided'));
			const answer = await settle(createCaller(transport).sendOnce(order, {key: 't0:7', token: 'token-t0', attempt: 0}));
			expect((answer.extract() as FleetAnswer).sends).to.equal(4);
			expect(transport.listKeys()).to.deep.equal(['t0:7 1 token-t0', 't0:7 2 token-t0', 't0:7 3 token-t0', 't0:7 4 token-t0']);
		});

		it('does not count an attempt that was never sent', async () => {
			const transport = new FakeTransport(notSent, notSent);
			await settle(createCaller(transport).sendOnce(order, {key: 't0:7', token: 'token-t0', attempt: 0}));
			expect(transport.listKeys()).to.deep.equal(['t0:7 1 token-t0', 't0:7 1 token-t0', 't0:7 1 token-t0']);
		});

		it('gets a new key under new terms when the home of its key was gone at the first send', async () => {
			const transport = new FakeTransport(refuse('homeGone'));
			await settle(createCaller(transport).sendOnce(order, {key: 't0:7', token: 'token-t0', attempt: 0}));
			expect(transport.listKeys()).to.deep.equal(['t0:7 1 token-t0', 't1:7 1 token-t1']);
		});

		it('fails with "unknown" and its key when the outcome is unknown', async () => {
			const transport = new FakeTransport(lost, refuse('keyOutcomeUnknown'));
			const failure = readFailure(await settle(createCaller(transport).sendOnce(order, {key: 't0:7', token: 'token-t0', attempt: 0})));
			expect(failure).to.deep.include({ran: 'unknown', resend: 'never', heldKey: {key: 't0:7', token: 'token-t0', attempt: 2}});
		});

		it('with earlier attempts fails with "unknown" unless a node answers that it has not run', async () => {
			const held = {key: 't0:7', token: 'token-t0', attempt: 3};
			const unsent = readFailure(await createCaller(new FakeTransport(...Array.from({length: 5}, () => notSent))).sendOnce(order, held));
			const refused = readFailure(await createCaller(new FakeTransport(refuse('poisonRequest'))).sendOnce(order, held));
			expect([unsent.ran, refused.ran]).to.deep.equal(['unknown', 'not-run']);
		});

		it('never gets a new key while an earlier send may still run', async () => {
			const transport = new FakeTransport(lost, notSent, notSent, notSent, notSent);
			const failure = readFailure(await settle(createCaller(transport).sendOnce(order)));
			expect(failure.ran).to.equal('unknown');
			expect(new Set(transport.sends.map(({headers}) => headers[idempotencyHeader])).size).to.equal(1);
		});
	});

	describe('limits', () => {
		it('restrict resends to the retry budget, the maximum number of sends and the deadline', async () => {
			const transport = new FakeTransport(...Array.from({length: 100}, () => refuse('nodeStopping')));
			const caller = createCaller(transport);
			await Array.from({length: 10}).reduce<Promise<unknown>>(async before => {
				await before;
				return caller.send(look);
			}, Promise.resolve());
			expect(transport.sends.length).to.equal(10 + 10);
			const late = new FakeTransport(refuse('queueFull', {'retry-after': '60'}));
			expect(readFailure(await createCaller(late).send(look))).to.deep.include({ran: 'not-run', sends: 1});
		});
	});

	describe('terms', () => {
		it('are requested once, then renewed with the token before they expire and when an answer asks for it', async () => {
			const transport = new FakeTransport(ran, ran, ran, {...ran, headers: {[renewHeader]: '1'}});
			const caller = createCaller(transport);
			await Promise.all([caller.send(look), caller.send(look)]);
			expect(transport.termsCalls.map(({body}) => body)).to.deep.equal(['{"organisation":"pointe","secret":"s"}']);
			await clock.tickAsync(85_000);
			await caller.send(look);
			await clock.tickAsync(0);
			expect(transport.termsCalls[1]!.body).to.equal('{"token":"token-t1"}');
			await caller.send(look);
			await clock.tickAsync(0);
			expect(transport.termsCalls.length).to.equal(3);
		});
	});

	describe('chooseNextStep', () => {
		Object.keys(resultCodes).filter(name => resultCodes[name as ResultName].ran === 'unknown').forEach(name => {
			it(`gives up after ${name} on a request that is not repeatable and has no key`, () => {
				const outcome = readOutcome(refuse(name as ResultName));
				expect(chooseNextStep(outcome, {isKeyed: false, isRepeatable: false})).to.equal('give-up');
			});
		});
	});
});
