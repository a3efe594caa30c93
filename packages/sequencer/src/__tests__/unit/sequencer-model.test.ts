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

type Sent = {
	readonly key: string;
	readonly attempt: number;
	readonly body: string;
	caller?: FakeCaller;
	isCancelled: boolean;
	isToldNotRun: boolean;
};

/** Callers and their network in front of one home; sends travel any time and overtake one another. */
class Model {
	readonly carrier = new FakeCarrier();
	readonly #clock: Clock;
	readonly #startedAt = Date.now();
	readonly #attempts = new Map<string, number>();
	readonly #isCounting: boolean;
	#home = 0;
	#sequencer: Sequencer;
	readonly #sent: Sent[] = [];
	#runsSeen = 0;

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
				const sent = this.#pickSent(step.index, ({caller, isCancelled}) => caller?.ends === 0 && !isCancelled);
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
				this.#home++;
				this.#sequencer = this.#createHome();
				break;
			}
		}

		await this.#clock.tickAsync(0);
		this.check();
	}

	/** Delivers what is on its way, lets every run end, and looks that each caller was told once. */
	async finish(): Promise<void> {
		await this.#sent.reduce(async (before, sent) => {
			await before;
			this.#dispatch(sent);
			await this.#clock.tickAsync(0);
			this.check();
		}, Promise.resolve());
		await this.#clock.tickAsync(20_000);
		this.check();
		const untold = this.#sent.filter(({caller, isCancelled}) => caller!.ends !== (isCancelled ? 0 : 1));
		expect(untold.map(({key: sentKey, attempt}) => `${sentKey} ${attempt}`), 'callers told other than once').to.deep.equal([]);
		expect(this.#sequencer.countRunning()).to.equal(0);
	}

	check(): void {
		keys.forEach(name => {
			const runs = this.carrier.runs.filter(({head, state}) => head.idempotencyKey === name && state !== 'not-run');
			expect(runs.length, `runs of ${name}`).to.be.at.most(1);
		});
		this.#checkRefusals();
		this.carrier.runs.slice(this.#runsSeen).forEach(({startedAt}) => {
			expect(startedAt, 'runs after the terms ended').to.be.below(this.#startedAt + lifetimeMs);
		});
		this.#runsSeen = this.carrier.runs.length;
	}

	/** No send that left its caller before another was told "not run" may run afterwards. */
	#checkRefusals(): void {
		this.#sent
			.filter(({caller, isToldNotRun}) => caller?.failure?.ran === 'not-run' && caller.failure.name !== 'keyReused' && !isToldNotRun)
			.forEach(sent => {
				sent.isToldNotRun = true;
				const open = this.carrier.runs.filter(({head, state}) => head.idempotencyKey === sent.key && state !== 'not-run' && Number(head.headers[1]) <= sent.attempt);
				expect(open.length, `runs of ${sent.key} told "not run"`).to.equal(0);
			});
		this.carrier.runs.slice(this.#runsSeen).forEach(({head}) => {
			const told = this.#sent.filter(({key: sentKey, attempt, isToldNotRun}) => isToldNotRun && sentKey === head.idempotencyKey && attempt >= Number(head.headers[1]));
			expect(told.length, `a run of ${head.idempotencyKey} after "not run" was told`).to.equal(0);
		});
	}

	#createHome(): Sequencer {
		const own = this.#home;
		const readKey: ReadKey = head => head.idempotencyKey?.startsWith(`h${own}:`)
			? createReadKey(this.#startedAt + lifetimeMs)(head)
			: Left(createFailure('keyOutcomeUnknown', 'another run of the home'));
		return createSequencer(this.carrier, {readKey, bounds: {...wideBounds, maxKeys: 2}});
	}

	#addSend(name: string, isChanged: boolean): void {
		const attempt = this.#isCounting ? (this.#attempts.get(name) ?? 0) + 1 : 0;
		this.#attempts.set(name, attempt);
		this.#sent.push({
			key: name, attempt, body: isChanged ? 'other' : 'body', isCancelled: false, isToldNotRun: false,
		});
	}

	#dispatch(sent: Sent | undefined): void {
		if (!sent || sent.caller) {
			return;
		}

		sent.caller = new FakeCaller(this.#sequencer, createHead(sent.key, sent.attempt), sent.body);
		sent.caller.exchange.endBody();
	}

	#pickSent(position: number, accept: (sent: Sent) => boolean): Sent | undefined {
		const matching = this.#sent.filter(accept);
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

describe('Sequencer against a model of callers, network and home', () => {
	[true, false].forEach(isCounting => {
		it(`runs each key at most once and keeps every "not run"${isCounting ? ', sends counted' : ', sends not counted'}`, async () => {
			const property = fc.asyncProperty(fc.array(stepArbitrary, {minLength: 5, maxLength: 60}), async steps => runModel(steps, isCounting));
			await fc.assert(property, {seed: 20_261_204, numRuns: 1500});
		});
	});
});
