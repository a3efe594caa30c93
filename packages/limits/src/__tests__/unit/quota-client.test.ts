import {expect} from 'chai';
import {install, type Clock} from '@sinonjs/fake-timers';
import * as fc from 'fast-check';
import {type Failure} from '@limpetbarrow/core';
import {
	QuotaClient, QuotaTransport, type CancelPermit, type OrganisationLimit, type QuotaAnswer,
} from '../../index.js';

type Question = {
	readonly rank: number;
	readonly organisation: string;
	readonly wanted: number;
	readonly at: number;
	readonly handleAnswer: (answer: QuotaAnswer) => void;
	readonly number: number;
};

class RecordingTransport extends QuotaTransport {
	readonly questions: Question[] = [];

	override askHome(...[rank, organisation, wanted, handleAnswer, number]: Parameters<QuotaTransport['askHome']>): void {
		this.questions.push({
			rank, organisation, wanted, at: performance.now(), handleAnswer, number,
		});
	}

	override countMembers(): number {
		return 10;
	}
}

const limit: OrganisationLimit = {organisation: 'o', rate: 100, burst: 100};

function grantPermits(granted: number, waitMs = 0, isSettled = true): QuotaAnswer {
	return {granted, waitMs, isSettled};
}

describe('QuotaClient', () => {
	let clock: Clock;
	let transport: RecordingTransport;
	let client: QuotaClient;
	let results: Array<'permit' | Failure>;

	beforeEach(() => {
		clock = install({now: 0, toFake: ['setTimeout', 'clearTimeout', 'performance']});
		transport = new RecordingTransport();
		client = new QuotaClient(transport, {random: () => 0, maxEntries: 3, maxWaiting: 50});
		results = [];
	});

	afterEach(() => {
		clock.uninstall();
	});

	function takePermit(change: Partial<OrganisationLimit> = {}): CancelPermit {
		return client.takePermit({...limit, ...change}, performance.now(), result => {
			results.push(result.isRight() ? 'permit' : result.swap().extract() as Failure);
		});
	}

	function sendMany(count: number, afterEach?: () => void): void {
		Array.from({length: count}).forEach(() => {
			takePermit();
			afterEach?.();
		});
	}

	function countPermits(from = 0): number {
		return results.slice(from).filter(result => result === 'permit').length;
	}

	function listRetryMs(): ReadonlyArray<number | undefined> {
		return results.map(result => result === 'permit' ? undefined : result.retryAfterMs);
	}

	describe('answers', () => {
		it('shares one question among requests that wait for the same answer, and asks again for the later ones', () => {
			Array.from({length: 3}, () => takePermit());
			expect(transport.questions.map(({wanted}) => wanted)).to.deep.equal([1]);
			transport.questions[0]!.handleAnswer(grantPermits(1));
			expect(results).to.deep.equal(['permit']);
			expect(transport.questions.map(({wanted}) => wanted)).to.deep.equal([1, 2]);
			transport.questions[1]!.handleAnswer(grantPermits(2));
			expect(results).to.deep.equal(['permit', 'permit', 'permit']);
			expect(client.countWaiting()).to.equal(0);
		});

		it('refuses without asking while the organisation is exhausted, and calls back synchronously', () => {
			takePermit();
			transport.questions[0]!.handleAnswer(grantPermits(0, 400));
			clock.tick(100);
			takePermit();
			expect(listRetryMs()).to.deep.equal([400, 300]);
			expect(results.map(result => result === 'permit' ? result : result.name)).to.deep.equal(['limitExceeded', 'limitExceeded']);
			clock.tick(300);
			takePermit();
			expect(transport.questions.length).to.equal(2);
		});

		it('lengthens the retry delay by up to half, so that callers don\'t return at the same time', () => {
			client = new QuotaClient(transport, {random: () => 0.999});
			takePermit();
			transport.questions[0]!.handleAnswer(grantPermits(0, 400));
			expect(listRetryMs()).to.deep.equal([600]);
		});

		it('goes on when the home is this node and answers at once', () => {
			transport.askHome = (_rank, _organisation, wanted, handleAnswer) => {
				handleAnswer(grantPermits(wanted));
			};

			takePermit();
			takePermit();
			expect(results).to.deep.equal(['permit', 'permit']);
		});

		it('asks the other home for what a home that has not settled doesn\'t grant', () => {
			Array.from({length: 3}, () => takePermit());
			transport.questions[0]!.handleAnswer(grantPermits(0, 500, false));
			transport.questions[1]!.handleAnswer(grantPermits(1));
			transport.questions[2]!.handleAnswer(grantPermits(2));
			expect(transport.questions.map(({rank, wanted}) => [rank, wanted])).to.deep.equal([[0, 1], [1, 1], [0, 2]]);
			expect(results.length).to.equal(3);
		});

		it('accepts no more permits than it asked for', () => {
			takePermit();
			transport.questions[0]!.handleAnswer(grantPermits(1000));
			takePermit();
			expect(results).to.deep.equal(['permit']);
		});
	});

	describe('silence', () => {
		it('asks the first home twice, then the second, then spends its own share', () => {
			client = new QuotaClient(transport, {random: () => 0.99});
			takePermit();
			takePermit();
			// The second node has time to pass the question on to the home.
			clock.tick(600);
			expect(transport.questions.map(({rank, at}) => [rank, at])).to.deep.equal([[0, 0], [0, 150], [1, 300]]);
			expect(results.length).to.equal(2);
			// One of ten members: 10 requests a second, and 1 a second until a home would know.
			expect(countPermits()).to.equal(0);
			sendMany(100, () => {
				clock.tick(9);
			});
			expect(countPermits()).to.equal(1);
			expect(transport.questions.length).to.equal(3);
		});

		it('spends its whole share when no home has answered for 3.5 s', () => {
			sendMany(1000, () => {
				clock.tick(10);
			});
			expect(countPermits()).to.be.within(50, 70);
		});

		it('spends only part of its share when it has asked no home for some time, because a home may still count on it', () => {
			sendMany(2, () => {
				clock.tick(5000);
			});
			const {length} = results;
			sendMany(200, () => {
				clock.tick(10);
			});
			expect(countPermits(length)).to.be.at.most(3);
		});

		it('asks the second home first for a second, and an answer of the first ends that', () => {
			takePermit();
			clock.tick(300);
			transport.questions[2]!.handleAnswer(grantPermits(1));
			takePermit();
			expect(transport.questions.at(-1)!.rank).to.equal(1);
			transport.questions[1]!.handleAnswer(grantPermits(1));
			clock.tick(10);
			transport.questions[3]!.handleAnswer(grantPermits(1));
			clock.tick(1000);
			takePermit();
			expect(transport.questions.at(-1)!.rank).to.equal(0);
		});

		it('numbers questions, with the same number for each attempt, and uses one answer of a home only', () => {
			takePermit();
			clock.tick(160);
			takePermit();
			transport.questions[1]!.handleAnswer(grantPermits(1));
			transport.questions[0]!.handleAnswer(grantPermits(1));
			expect(results).to.deep.equal(['permit']);
			expect(new Set(transport.questions.map(({number}) => number)).size).to.equal(2);
			expect(transport.questions[0]!.number).to.equal(transport.questions[1]!.number);
		});

		it('uses the permits of an answer that comes after the next attempt, and gives no second result', () => {
			takePermit();
			clock.tick(160);
			transport.questions[0]!.handleAnswer(grantPermits(1));
			transport.questions[0]!.handleAnswer(grantPermits(1));
			transport.questions[1]!.handleAnswer(grantPermits(1));
			clock.tick(1000);
			expect(results).to.deep.equal(['permit']);
		});
	});

	describe('stock', () => {
		/** Sends a request each 10 ms; each question is answered after 30 ms. */
		function sendSteadily(count: number): void {
			const {questions} = transport;
			transport.askHome = (...[rank, organisation, wanted, handleAnswer, number]: Parameters<QuotaTransport['askHome']>) => {
				questions.push({
					rank, organisation, wanted, at: performance.now(), handleAnswer, number,
				});
				setTimeout(() => {
					handleAnswer(grantPermits(wanted));
				}, 30);
			};

			sendMany(count, () => {
				clock.tick(10);
			});
		}

		it('asks ahead for steady demand, so that requests don\'t wait and questions are few', () => {
			sendSteadily(200);
			const before = transport.questions.length;
			sendSteadily(100);
			expect(transport.questions.length - before).to.be.at.most(10);
			expect(transport.questions.at(-1)!.wanted).to.be.within(8, 25);
		});

		it('drops unused permits after a second', () => {
			sendSteadily(200);
			clock.tick(1001);
			const {length} = results;
			takePermit();
			expect(results.length).to.equal(length);
		});

		it('drops permits in stock above a lowered quota', () => {
			sendSteadily(200);
			const {length} = results;
			Array.from({length: 5}, () => takePermit({rate: 4, burst: 1}));
			expect(countPermits(length)).to.be.at.most(1);
		});

		it('gives a returned permit to a request that waits, else keeps it, and never keeps many', () => {
			takePermit();
			transport.questions[0]!.handleAnswer(grantPermits(1));
			takePermit();
			client.returnPermit('o', performance.now());
			expect(results).to.deep.equal(['permit', 'permit']);
			transport.questions[1]!.handleAnswer(grantPermits(1));
			Array.from({length: 10}).forEach(() => {
				client.returnPermit('o', performance.now());
			});
			sendMany(3);
			expect(countPermits()).to.equal(3);
			client.returnPermit('unknown', performance.now());
		});
	});

	describe('bounds', () => {
		it('passes a cancelled request over and keeps its permit', () => {
			takePermit()();
			transport.questions[0]!.handleAnswer(grantPermits(1));
			expect(results).to.deep.equal([]);
			expect(client.countWaiting()).to.equal(0);
			takePermit();
			expect(results).to.deep.equal(['permit']);
		});

		it('refuses requests above the most that wait, of the node, of an organisation and of a small quota', () => {
			Array.from({length: 5}, () => takePermit({organisation: 'small', rate: 1, burst: 1}));
			expect(results.length).to.equal(2);
			Array.from({length: 100}, () => takePermit());
			expect(client.countWaiting()).to.equal(28);
			Array.from({length: 100}, () => takePermit({organisation: 'other'}));
			expect(client.countWaiting()).to.equal(50);
			expect(results.length).to.equal(2 + 75 + 78);
		});

		it('drops the least recently used organisation and refuses its waiting requests', () => {
			['a', 'b', 'c', 'd'].forEach(organisation => {
				takePermit({organisation});
			});
			expect(client.countEntries()).to.equal(3);
			expect(results.length).to.equal(1);
			transport.questions[0]!.handleAnswer(grantPermits(1));
			clock.tick(1000);
			expect(results.length).to.equal(4);
		});

		it('admits organisations without a quota without asking', () => {
			takePermit({rate: 0});
			expect(results).to.deep.equal(['permit']);
			expect(client.countEntries()).to.equal(0);
		});

		it('gives each request exactly one result, or none when it was cancelled, whatever the answers', () => {
			const step = fc.oneof(
				fc.record({kind: fc.constant('take' as const)}),
				fc.record({kind: fc.constant('cancel' as const), index: fc.nat(50)}),
				fc.record({kind: fc.constant('return' as const)}),
				fc.record({kind: fc.constant('tick' as const), ms: fc.nat(400)}),
				fc.record({
					kind: fc.constant('answer' as const), index: fc.nat(50), granted: fc.nat(3), waitMs: fc.nat(300), isSettled: fc.boolean(),
				}),
			);
			fc.assert(fc.property(fc.array(step, {maxLength: 80}), steps => {
				const fuzzed = new RecordingTransport();
				const subject = new QuotaClient(fuzzed, {random: () => 0.5, maxWaiting: 5});
				const counts: number[] = [];
				const cancelled = new Set<number>();
				const cancels: CancelPermit[] = [];
				const reenter = new Set([3, 7]);
				const send = (): void => {
					const index = counts.push(0) - 1;
					cancels[index] = subject.takePermit(limit, performance.now(), () => {
						counts[index]!++;
						if (reenter.delete(index)) {
							send();
						}
					});
				};

				steps.forEach(current => {
					switch (current.kind) {
						case 'take': {
							send();
							break;
						}

						case 'cancel': {
							if (counts[current.index] === 0) {
								cancelled.add(current.index);
							}

							cancels[current.index]?.();
							break;
						}

						case 'return': {
							subject.returnPermit('o', performance.now());
							break;
						}

						case 'tick': {
							clock.tick(current.ms);
							break;
						}

						case 'answer': {
							fuzzed.questions[current.index]?.handleAnswer(current);
							break;
						}
					}
				});
				clock.tick(10_000);
				expect(counts).to.deep.equal(counts.map((_count, index) => cancelled.has(index) ? 0 : 1));
				expect(subject.countWaiting()).to.equal(0);
			}), {numRuns: 300});
		});
	});
});
