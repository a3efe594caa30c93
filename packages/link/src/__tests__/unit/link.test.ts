import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {install, type Clock} from '@sinonjs/fake-timers';
import {MetricRegistry, SilentLogger} from '@limpetbarrow/core';
import {
	LinkClient, LinkServer, idleCloseMs, resumeBoundMs, sessionKeepMs, silenceBoundMs,
} from '../../index.js';
import {
	createHead, formatAnswer, LedgerCarrier, OutcomeRecorder,
} from '../echo-carrier.js';
import {FakeNetwork} from '../fake-network.js';

const clientNode = {id: 'one', incarnation: 1};
const serverNode = {id: 'two', incarnation: 7};
const address = {host: '127.0.0.1', port: 1};
const parts = 3;

class Rig {
	readonly carrier = new LedgerCarrier();
	readonly metrics = new MetricRegistry();
	readonly server = new LinkServer(serverNode, () => this.carrier, new SilentLogger(), this.metrics);
	readonly network = new FakeNetwork(connection => {
		this.server.acceptConnection(connection);
	});

	readonly client = new LinkClient({
		self: clientNode,
		peer: {identity: serverNode, address},
		openConnection: () => this.network.connect(),
		logger: new SilentLogger(),
		metrics: this.metrics,
	});

	readonly exchanges: Array<readonly [string, ReturnType<LinkClient['openExchange']>]> = [];
	readonly recorders = new Map<string, OutcomeRecorder>();

	send(requestId: string, remainingMs?: number): ReturnType<LinkClient['openExchange']> {
		const recorder = new OutcomeRecorder();
		this.recorders.set(requestId, recorder);
		const exchange = this.client.openExchange(createHead(requestId, remainingMs), recorder.handler);
		exchange.writeBody(Buffer.from(`body of ${requestId}`));
		exchange.endBody();
		return exchange;
	}

	getOutcome(requestId: string): OutcomeRecorder['outcome'] {
		return this.recorders.get(requestId)!.outcome;
	}

	countRuns(requestId: string): number {
		return this.carrier.runs.filter(({head}) => head.requestId === requestId).length;
	}

	answerAll(): void {
		this.carrier.runs.filter(({exchange}) => !exchange.isAnswered).forEach(run => {
			this.carrier.answer(run, parts);
		});
	}

	async close(): Promise<void> {
		this.client.close();
		await this.server.close();
	}
}

/** Lets time pass and packets move. */
function runFor(clock: Clock, network: FakeNetwork, ms: number, stepMs = 50): void {
	network.settle();
	if (ms <= 0) {
		return;
	}

	clock.tick(Math.min(stepMs, ms));
	runFor(clock, network, ms - stepMs, stepMs);
}

describe('a link', () => {
	let clock: Clock;
	let rig: Rig;

	beforeEach(() => {
		clock = install();
		rig = new Rig();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('carries a request and its answer', () => {
		rig.send('a');
		rig.network.settle();
		expect(rig.carrier.runs[0]!.exchange).to.include({body: 'body of a', isBodyWhole: true});
		expect([rig.client.countExchanges(), rig.server.countExchanges()]).to.deep.equal([1, 1]);
		rig.answerAll();
		rig.network.settle();
		expect(rig.getOutcome('a')).to.include({text: formatAnswer('a', parts), isWhole: true, ends: 1});
		expect([rig.client.countExchanges(), rig.server.countExchanges()]).to.deep.equal([0, 0]);
	});

	describe('when its connection fails', () => {
		const faults: ReadonlyArray<readonly [string, (network: FakeNetwork) => void]> = [
			['breaks', network => {
				network.closeLines();
			}],
			['goes silent', network => {
				network.pauseLines();
			}],
			['loses the way up for a while', network => {
				network.pauseDirection('up');
			}],
			['loses the way down for a while', network => {
				network.pauseDirection('down');
			}],
		];

		faults.forEach(([name, fail]) => {
			it(`and ${name} before the answer, gives the whole answer from one run`, () => {
				rig.send('a');
				rig.network.settle();
				fail(rig.network);
				rig.carrier.answer(rig.carrier.runs[0]!, parts);
				runFor(clock, rig.network, silenceBoundMs + 500);
				rig.network.resumeDirections();
				runFor(clock, rig.network, resumeBoundMs);
				expect(rig.getOutcome('a')).to.include({text: formatAnswer('a', parts), isWhole: true, ends: 1});
				expect(rig.countRuns('a')).to.equal(1);
			});

			it(`and ${name} with the request under way, runs it once or says that it is not known`, () => {
				rig.send('warm');
				rig.network.settle();
				fail(rig.network);
				rig.send('a');
				runFor(clock, rig.network, silenceBoundMs + 500);
				rig.network.resumeDirections();
				runFor(clock, rig.network, resumeBoundMs);
				expect(rig.countRuns('a')).to.equal(1);
				rig.answerAll();
				rig.network.settle();
				expect(rig.getOutcome('a')).to.include({isWhole: true, ends: 1});
			});
		});

		it('replaces a connection that went silent while idle, well before the bound of a busy one', () => {
			rig.send('warm');
			rig.network.settle();
			rig.answerAll();
			runFor(clock, rig.network, 10_000, 500);
			rig.network.pauseLines();
			rig.send('a');
			runFor(clock, rig.network, 400);
			expect(rig.network.countOpened()).to.equal(2);
			expect(rig.countRuns('a')).to.equal(1);
		});

		it('refuses as not run what was never sent', () => {
			rig.network.pauseDirection('up');
			rig.send('a');
			runFor(clock, rig.network, 1100);
			expect(rig.getOutcome('a').failure).to.include({name: 'linkUnreachable', ran: 'not-run'});
			rig.network.resumeDirections();
			runFor(clock, rig.network, 20_000, 500);
			expect(rig.countRuns('a')).to.equal(0);
		});

		it('says unknown for what was sent to a node that never comes back', () => {
			rig.send('a');
			rig.network.settle();
			rig.network.pauseDirection('up');
			rig.network.pauseDirection('down');
			runFor(clock, rig.network, silenceBoundMs + resumeBoundMs + 2000);
			expect(rig.getOutcome('a').failure).to.include({name: 'linkLost', ran: 'unknown'});
		});

		it('takes no new exchange while the other side does not acknowledge', () => {
			rig.send('a');
			rig.network.settle();
			rig.network.pauseDirection('up');
			rig.send('b');
			runFor(clock, rig.network, silenceBoundMs + 600);
			rig.send('c');
			clock.tick(0);
			expect(rig.getOutcome('c').failure).to.include({name: 'linkUnreachable', ran: 'not-run'});
		});

		it('cancels at the serving side once the session is past its time', () => {
			rig.send('a');
			rig.network.settle();
			rig.network.pauseDirection('up');
			rig.network.pauseDirection('down');
			runFor(clock, rig.network, silenceBoundMs + sessionKeepMs + 2000, 500);
			expect(rig.carrier.runs[0]!.exchange.isCancelled).to.equal(true);
			expect(rig.server.countSessions()).to.equal(0);
		});
	});

	describe('when a side ends it', () => {
		it('says not run for a request that crossed the end, unknown for one that was received', () => {
			rig.send('a');
			rig.network.settle();
			rig.send('b');
			void rig.server.close();
			rig.network.forward('down', 10);
			clock.tick(0);
			expect(rig.getOutcome('a').failure).to.include({name: 'linkLost', ran: 'unknown'});
			expect(rig.getOutcome('b').failure).to.include({name: 'linkUnreachable', ran: 'not-run'});
			expect(rig.countRuns('b')).to.equal(0);
		});

		it('refuses as not run at another run of the node', async () => {
			const other = new LinkServer({...serverNode, incarnation: 8}, () => rig.carrier, new SilentLogger());
			const network = new FakeNetwork(connection => {
				other.acceptConnection(connection);
			});
			const client = new LinkClient({
				self: clientNode, peer: {identity: serverNode, address}, openConnection: () => network.connect(), logger: new SilentLogger(), metrics: rig.metrics,
			});
			const recorder = new OutcomeRecorder();
			client.openExchange(createHead('a'), recorder.handler);
			runFor(clock, network, 100);
			expect(recorder.outcome.failure).to.include({name: 'linkUnreachable', ran: 'not-run'});
			expect(rig.carrier.runs).to.deep.equal([]);
		});
	});

	it('drops and counts the answer to a cancelled request', async () => {
		const exchange = rig.send('a');
		rig.network.settle();
		rig.carrier.answer(rig.carrier.runs[0]!, parts);
		exchange.cancel();
		rig.network.settle();
		expect(rig.getOutcome('a').ends).to.equal(0);
		expect(rig.metrics.getCount('link_late_frames_total')).to.equal(parts + 2);
	});

	it('ends an exchange at its deadline though the other node is frozen', () => {
		rig.send('a', 700);
		rig.network.settle();
		clock.tick(701);
		expect(rig.getOutcome('a').failure).to.include({name: 'answerTimeout', ran: 'unknown'});
		expect(rig.client.countExchanges()).to.equal(0);
	});

	it('sends nothing while idle, then closes', () => {
		rig.send('a');
		rig.network.settle();
		rig.answerAll();
		runFor(clock, rig.network, 10_000, 500);
		const idle = rig.network;
		clock.tick(idleCloseMs - 12_000);
		expect(rig.server.countSessions()).to.equal(1);
		expect(idle.countUnderWay()).to.equal(0);
		runFor(clock, idle, 15_000, 500);
		expect([rig.server.countSessions(), idle.countLines()]).to.deep.equal([0, 0]);
	});

	it('runs each request at most once and gives each answer whole, in order and once, whatever breaks', () => {
		const action = fc.oneof(
			{weight: 6, arbitrary: fc.constantFrom('send', 'answer', 'up', 'down')},
			{weight: 2, arbitrary: fc.constantFrom('break', 'silence', 'cut-up', 'cut-down', 'heal', 'cancel')},
			{weight: 3, arbitrary: fc.constantFrom('wait-short', 'wait-long')},
		);
		fc.assert(fc.property(fc.array(action, {minLength: 5, maxLength: 60}), actions => {
			const model = new Rig();
			const cancelled = new Set<string>();
			actions.forEach((name, index) => {
				applyAction(model, name, `r${index}`, cancelled);
			});
			model.network.resumeDirections();
			runFor(clock, model.network, silenceBoundMs + resumeBoundMs, 200);
			model.carrier.runs.filter(({exchange}) => !exchange.isAnswered).forEach(run => {
				model.carrier.answer(run, parts);
			});
			runFor(clock, model.network, silenceBoundMs + resumeBoundMs + 2000, 200);
			[...model.recorders].forEach(([id, {outcome}]) => {
				const runs = model.countRuns(id);
				expect(runs, `${id} ran`).to.be.at.most(1);
				expect(outcome.ends, `${id} ended`).to.equal(cancelled.has(id) ? Math.min(outcome.ends, 1) : 1);
				expect(formatAnswer(id, parts).startsWith(outcome.text), `${id} got ${outcome.text}`).to.equal(true);
				expect(outcome.isWhole && outcome.text !== formatAnswer(id, parts), `${id} is whole`).to.equal(false);
				expect(outcome.failure?.ran === 'not-run' && runs > 0, `${id} was refused as not run`).to.equal(false);
			});
			model.client.close();
			void model.server.close();
		}), {seed: 41, numRuns: 1500});

		function applyAction(model: Rig, name: string, id: string, cancelled: Set<string>): void {
			const {network, carrier, exchanges} = model;
			const actions = new Map<string, () => void>([
				['send', () => {
					exchanges.push([id, model.send(id)]);
				}],
				['answer', () => {
					carrier.runs.filter(({exchange}) => !exchange.isAnswered).slice(0, 1).forEach(run => {
						carrier.answer(run, parts);
					});
				}],
				['cancel', () => {
					exchanges.splice(0, 1).forEach(([cancelledId, exchange]) => {
						exchange.cancel();
						cancelled.add(cancelledId);
					});
				}],
				['up', () => {
					network.forward('up', 2);
				}],
				['down', () => {
					network.forward('down', 2);
				}],
				['break', () => {
					network.closeLines();
				}],
				['silence', () => {
					network.pauseLines();
				}],
				['cut-up', () => {
					network.pauseDirection('up');
				}],
				['cut-down', () => {
					network.pauseDirection('down');
				}],
				['heal', () => {
					network.resumeDirections();
				}],
				['wait-short', () => {
					clock.tick(30);
				}],
				['wait-long', () => {
					runFor(clock, network, 1500, 250);
				}],
			]);
			actions.get(name)!();
		}
	});
});
