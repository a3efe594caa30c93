import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {Left} from 'purify-ts';
import {createFailure, type ResultName} from '@limpetbarrow/core';
import {type ReadKey, type Sequencer} from '../../index.js';
import {
	createHead, createReadKey, createSequencer, FakeCaller, FakeCarrier, type FakeRun, wideBounds,
} from './fakes.js';

const lifetimeMs = 60_000;
const keys = ['h0:a', 'h0:b', 'h0:c'] as const;

type Step
	= | {readonly kind: 'send' | 'sendBoth'; readonly key: number; readonly isChanged: boolean}
		| {readonly kind: 'deliver' | 'cancel' | 'answer'; readonly index: number}
		| {readonly kind: 'fail'; readonly index: number; readonly name: ResultName}
		| {readonly kind: 'wait' | 'pause'; readonly ms: number}
		| {readonly kind: 'restart'};

const index = fc.nat(7);
const key = fc.nat(keys.length - 1);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constantFrom('send' as const, 'sendBoth' as const), key, isChanged: fc.integer({min: 0, max: 9}).map(number => number === 0)})},
	{weight: 8, arbitrary: fc.record({kind: fc.constantFrom('deliver' as const, 'deliver' as const, 'cancel' as const, 'answer' as const), index})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('fail' as const), index, name: fc.constantFrom<ResultName>('queueFull', 'serverRefused', 'serverBroke', 'linkLost')})},
	{weight: 2, arbitrary: fc.record({kind: fc.constantFrom('wait' as const, 'pause' as const), ms: fc.constantFrom(100, 5000, 40_000)})},
	{weight: 1, arbitrary: fc.constant({kind: 'restart' as const})},
);

type SentRequest = {
	readonly key: string;
	readonly attempt: number;
	readonly body: string;
	caller?: FakeCaller;
	isCancelled: boolean;
	isReportedNotRun: boolean;
};

/** Simulates callers and their network in front of one home node. Requests are delayed for any time and can be reordered. */
class Model {
	readonly carrier = new FakeCarrier();
	readonly #clock: Clock;
	readonly #startedAt = Date.now();
	readonly #attempts = new Map<string, number>();
	readonly #isCounting: boolean;
	#homeIncarnation = 0;
	#sequencer: Sequencer;
	readonly #sentRequests: SentRequest[] = [];
	#checkedRunCount = 0;

	constructor(clock: Clock, isCounting: boolean) {
		this.#clock = clock;
		this.#isCounting = isCounting;
		this.#sequencer = this.#createHome();
	}

	async apply(step: Step): Promise<void> {
		switch (step.kind) {
			case 'send':
			case 'sendBoth': {
				const count = step.kind === 'send' ? 1 : 2;
				Array.from({length: count}).forEach(() => {
					this.#addSend(keys[step.key]!, step.isChanged);
				});
				break;
			}

			case 'deliver': {
				this.#dispatch(this.#pickSent(step.index, ({caller}) => !caller));
				break;
			}

			case 'cancel': {
				const sent = this.#pickSent(step.index, ({caller, isCancelled}) => caller?.endCount === 0 && !isCancelled);
				if (sent) {
					sent.isCancelled = true;
					sent.caller!.exchange.cancel();
				}

				break;
			}

			case 'answer': {
				this.#pickRun(step.index)?.answer('done');
				break;
			}

			case 'fail': {
				this.#pickRun(step.index)?.fail(step.name);
				break;
			}

			case 'wait': {
				await this.#clock.tickAsync(step.ms);
				break;
			}

			case 'pause': {
				this.#clock.setSystemTime(Date.now() + step.ms);
				break;
			}

			case 'restart': {
				this.#homeIncarnation++;
				this.#sequencer = this.#createHome();
				break;
			}
		}

		await this.#clock.tickAsync(0);
		this.check();
	}

	/** Delivers all requests in transit, lets every run end, and checks that each caller got exactly one result. */
	async finish(): Promise<void> {
		await this.#sentRequests.reduce(async (before, sent) => {
			await before;
			this.#dispatch(sent);
			await this.#clock.tickAsync(0);
			this.check();
		}, Promise.resolve());
		await this.#clock.tickAsync(20_000);
		this.check();
		const wronglyNotified = this.#sentRequests.filter(({caller, isCancelled}) => caller!.endCount !== (isCancelled ? 0 : 1));
		expect(wronglyNotified.map(({key: sentKey, attempt}) => `${sentKey} ${attempt}`), 'callers that did not get exactly one result').to.deep.equal([]);
		expect(this.#sequencer.countRunning()).to.equal(0);
	}

	check(): void {
		keys.forEach(name => {
			const runs = this.carrier.runs.filter(({head, state}) => head.idempotencyKey === name && state !== 'not-run');
			expect(runs.length, `runs of ${name}`).to.be.at.most(1);
		});
		this.#checkRefusals();
		this.carrier.runs.slice(this.#checkedRunCount).forEach(({startedAt}) => {
			expect(startedAt, 'runs after the terms ended').to.be.below(this.#startedAt + lifetimeMs);
		});
		this.#checkedRunCount = this.carrier.runs.length;
	}

	/** Checks that once an attempt was answered with "not run", neither it nor an earlier attempt of the key runs. */
	#checkRefusals(): void {
		this.#sentRequests
			.filter(({caller, isReportedNotRun}) => caller?.failure?.ran === 'not-run' && caller.failure.name !== 'keyReused' && !isReportedNotRun)
			.forEach(sent => {
				sent.isReportedNotRun = true;
				const activeRuns = this.carrier.runs.filter(({head, state}) => head.idempotencyKey === sent.key && state !== 'not-run' && Number(head.headers[1]) <= sent.attempt);
				expect(activeRuns.length, `runs of ${sent.key} that was answered with "not run"`).to.equal(0);
			});
		this.carrier.runs.slice(this.#checkedRunCount).forEach(({head}) => {
			const refusals = this.#sentRequests.filter(({key: sentKey, attempt, isReportedNotRun}) => isReportedNotRun && sentKey === head.idempotencyKey && attempt >= Number(head.headers[1]));
			expect(refusals.length, `a run of ${head.idempotencyKey} after it was answered with "not run"`).to.equal(0);
		});
	}

	#createHome(): Sequencer {
		const incarnation = this.#homeIncarnation;
		const readKey: ReadKey = head => head.idempotencyKey?.startsWith(`h${incarnation}:`)
			? createReadKey(this.#startedAt + lifetimeMs)(head)
			: Left(createFailure('keyOutcomeUnknown', 'the key belongs to another process of the home node'));
		return createSequencer(this.carrier, {readKey, bounds: {...wideBounds, maxKeys: 2}});
	}

	#addSend(name: string, isChanged: boolean): void {
		const attempt = this.#isCounting ? (this.#attempts.get(name) ?? 0) + 1 : 0;
		this.#attempts.set(name, attempt);
		this.#sentRequests.push({
			key: name, attempt, body: isChanged ? 'other' : 'body', isCancelled: false, isReportedNotRun: false,
		});
	}

	#dispatch(sent: SentRequest | undefined): void {
		if (!sent || sent.caller) {
			return;
		}

		sent.caller = new FakeCaller(this.#sequencer, createHead(sent.key, sent.attempt), sent.body);
		sent.caller.exchange.endBody();
	}

	#pickSent(position: number, accept: (sent: SentRequest) => boolean): SentRequest | undefined {
		const matching = this.#sentRequests.filter(accept);
		return matching[position % Math.max(1, matching.length)];
	}

	#pickRun(position: number): FakeRun | undefined {
		const open = this.carrier.runs.filter(({state}) => state === 'pending');
		return open[position % Math.max(1, open.length)];
	}
}

async function runModel(steps: readonly Step[], isCounting: boolean): Promise<void> {
	const clock = install({now: 1_000_000});
	try {
		const model = new Model(clock, isCounting);
		await steps.reduce(async (before, step) => {
			await before;
			await model.apply(step);
		}, Promise.resolve());
		await model.finish();
	} finally {
		clock.uninstall();
	}
}

describe('Sequencer with simulated callers, network and home node', () => {
	[true, false].forEach(isCounting => {
		it(`runs each key at most once and never runs an attempt answered with "not run"${isCounting ? ', if callers count attempts' : ', if callers do not count attempts'}`, async () => {
			const property = fc.asyncProperty(fc.array(stepArbitrary, {minLength: 5, maxLength: 60}), async steps => runModel(steps, isCounting));
			await fc.assert(property, {seed: 20_261_204, numRuns: 1500});
		});
	});
});
