import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {install, type Clock} from '@sinonjs/fake-timers';
import {MetricRegistry, SilentLogger} from '@limpetbarrow/core';
import {
	connectTimeoutMs, LinkClient, LinkServer, linkIdleTimeoutMs, resumeTimeoutMs, sessionRetentionMs, silenceTimeoutMs,
} from '../../index.js';
import {
	createHead, formatAnswer, RecordingCarrier, OutcomeRecorder,
} from '../recording-carrier.js';
import {FakeNetwork} from '../fake-network.js';

const clientNode = {id: 'one', incarnation: 1};
const serverNode = {id: 'two', incarnation: 7};
const address = {host: '127.0.0.1', port: 1};
const parts = 3;
/** Time after which an exchange is given up, in milliseconds. */
const attemptMs = 150;

class LinkFixture {
	readonly carrier = new RecordingCarrier();
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

/** Advances the clock by `ms` and delivers packets at every step. */
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
	let fixture: LinkFixture;

	beforeEach(() => {
		clock = install();
		fixture = new LinkFixture();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('carries a request and its response', () => {
		fixture.send('a');
		fixture.network.settle();
		expect(fixture.carrier.runs[0]!.exchange).to.include({body: 'body of a', isBodyWhole: true});
		expect([fixture.client.countExchanges(), fixture.server.countExchanges()]).to.deep.equal([1, 1]);
		fixture.answerAll();
		fixture.network.settle();
		expect(fixture.getOutcome('a')).to.include({text: formatAnswer('a', parts), isWhole: true, ends: 1});
		expect([fixture.client.countExchanges(), fixture.server.countExchanges()]).to.deep.equal([0, 0]);
	});

	describe('when its connection fails', () => {
		const faults: ReadonlyArray<readonly [string, (network: FakeNetwork) => void]> = [
			['closes', network => {
				network.closeConnections();
			}],
			['goes silent', network => {
				network.pauseConnections();
			}],
			['drops packets from client to server for a while', network => {
				network.pauseDirection('up');
			}],
			['drops packets from server to client for a while', network => {
				network.pauseDirection('down');
			}],
		];

		faults.forEach(([name, fail]) => {
			it(`and ${name} before the response, delivers the complete response of a single run`, () => {
				fixture.send('a');
				fixture.network.settle();
				fail(fixture.network);
				fixture.carrier.answer(fixture.carrier.runs[0]!, parts);
				runFor(clock, fixture.network, silenceTimeoutMs + 500);
				fixture.network.resumeDirections();
				runFor(clock, fixture.network, resumeTimeoutMs);
				expect(fixture.getOutcome('a')).to.include({text: formatAnswer('a', parts), isWhole: true, ends: 1});
				expect(fixture.countRuns('a')).to.equal(1);
			});

			it(`and ${name} while the request is in flight, runs the request once and delivers the complete response`, () => {
				fixture.send('warm');
				fixture.network.settle();
				fail(fixture.network);
				fixture.send('a');
				runFor(clock, fixture.network, silenceTimeoutMs + 500);
				fixture.network.resumeDirections();
				runFor(clock, fixture.network, resumeTimeoutMs);
				expect(fixture.countRuns('a')).to.equal(1);
				fixture.answerAll();
				fixture.network.settle();
				expect(fixture.getOutcome('a')).to.include({isWhole: true, ends: 1});
			});
		});

		it('replaces a connection that went silent while idle well before the silence timeout of a busy one', () => {
			fixture.send('warm');
			fixture.network.settle();
			fixture.answerAll();
			runFor(clock, fixture.network, 10_000, 500);
			fixture.network.pauseConnections();
			fixture.send('a');
			runFor(clock, fixture.network, 400);
			expect(fixture.network.countOpened()).to.equal(2);
			expect(fixture.countRuns('a')).to.equal(1);
		});

		it('reports a request that was never sent as not run', () => {
			fixture.network.pauseDirection('up');
			fixture.send('a');
			runFor(clock, fixture.network, 1100);
			expect(fixture.getOutcome('a').failure).to.include({name: 'linkUnreachable', ran: 'not-run'});
			fixture.network.resumeDirections();
			runFor(clock, fixture.network, 20_000, 500);
			expect(fixture.countRuns('a')).to.equal(0);
		});

		it('reports unknown execution for a request sent to a node that never reconnects', () => {
			fixture.send('a');
			fixture.network.settle();
			fixture.network.pauseDirection('up');
			fixture.network.pauseDirection('down');
			runFor(clock, fixture.network, silenceTimeoutMs + resumeTimeoutMs + 2000);
			expect(fixture.getOutcome('a').failure).to.include({name: 'linkLost', ran: 'unknown'});
		});

		it('refuses new exchanges while the other side does not acknowledge frames', () => {
			fixture.send('a');
			fixture.network.settle();
			fixture.network.pauseDirection('up');
			fixture.send('b');
			runFor(clock, fixture.network, silenceTimeoutMs + 600);
			fixture.send('c');
			clock.tick(0);
			expect(fixture.getOutcome('c').failure).to.include({name: 'linkUnreachable', ran: 'not-run'});
		});

		it('cancels the exchange on the server side when the session is not resumed in time', () => {
			fixture.send('a');
			fixture.network.settle();
			fixture.network.pauseDirection('up');
			fixture.network.pauseDirection('down');
			runFor(clock, fixture.network, silenceTimeoutMs + sessionRetentionMs + 2000, 500);
			expect(fixture.carrier.runs[0]!.exchange.isCancelled).to.equal(true);
			expect(fixture.server.countSessions()).to.equal(0);
		});
	});

	describe('under steady load of exchanges that are given up soon, one at a time', () => {
		/** Opens an exchange, gives it up, and waits, each for less than the time after which an idle connection is probed. */
		function sendSteadily(totalMs: number, number = 0): void {
			if (totalMs <= 0) {
				return;
			}

			const exchange = fixture.send(`steady-${number}`);
			runFor(clock, fixture.network, attemptMs);
			exchange.cancel();
			runFor(clock, fixture.network, attemptMs);
			sendSteadily(totalMs - (2 * attemptMs), number + 1);
		}

		beforeEach(() => {
			fixture.send('a');
			fixture.network.settle();
			fixture.answerAll();
			fixture.network.settle();
		});

		// Guards against a time-out that starts anew with each exchange and so is never over.
		const silences: ReadonlyArray<readonly [string, (network: FakeNetwork) => void]> = [
			['both directions are silent', network => {
				network.pauseConnections();
			}],
			['nothing reaches the other side', network => {
				network.pauseDirection('up');
			}],
			['nothing comes back', network => {
				network.pauseDirection('down');
			}],
		];
		silences.forEach(([what, silence]) => {
			it(`replaces the connection when ${what}`, () => {
				silence(fixture.network);
				sendSteadily(silenceTimeoutMs + 1000);
				expect(fixture.metrics.getCount('link_replaced_total')).to.equal(1);
				fixture.network.resumeDirections();
				runFor(clock, fixture.network, connectTimeoutMs);
				fixture.send('b');
				runFor(clock, fixture.network, 500);
				fixture.answerAll();
				runFor(clock, fixture.network, 200);
				expect(fixture.getOutcome('b')).to.include({ends: 1, isWhole: true});
			});
		});

		it('keeps a connection that works', () => {
			sendSteadily(5 * silenceTimeoutMs);
			expect(fixture.metrics.getCount('link_replaced_total')).to.equal(0);
			expect(fixture.network.countOpened()).to.equal(1);
		});
	});

	describe('when the server refuses or ends the session', () => {
		it('reports a request that crossed the close frame as not run, and one that was received as unknown', () => {
			fixture.send('a');
			fixture.network.settle();
			fixture.send('b');
			void fixture.server.close();
			fixture.network.forward('down', 10);
			clock.tick(0);
			expect(fixture.getOutcome('a').failure).to.include({name: 'linkLost', ran: 'unknown'});
			expect(fixture.getOutcome('b').failure).to.include({name: 'linkUnreachable', ran: 'not-run'});
			expect(fixture.countRuns('b')).to.equal(0);
		});

		it('reports a request as not run when another incarnation of the node answers', async () => {
			const other = new LinkServer({...serverNode, incarnation: 8}, () => fixture.carrier, new SilentLogger());
			const network = new FakeNetwork(connection => {
				other.acceptConnection(connection);
			});
			const client = new LinkClient({
				self: clientNode, peer: {identity: serverNode, address}, openConnection: () => network.connect(), logger: new SilentLogger(), metrics: fixture.metrics,
			});
			const recorder = new OutcomeRecorder();
			client.openExchange(createHead('a'), recorder.handler);
			runFor(clock, network, 100);
			expect(recorder.outcome.failure).to.include({name: 'linkUnreachable', ran: 'not-run'});
			expect(fixture.carrier.runs).to.deep.equal([]);
		});
	});

	it('drops and counts the frames of the response to a cancelled request', async () => {
		const exchange = fixture.send('a');
		fixture.network.settle();
		fixture.carrier.answer(fixture.carrier.runs[0]!, parts);
		exchange.cancel();
		fixture.network.settle();
		expect(fixture.getOutcome('a').ends).to.equal(0);
		expect(fixture.metrics.getCount('link_late_frames_total')).to.equal(parts + 2);
	});

	it('fails an exchange at its deadline when the other node does not respond', () => {
		fixture.send('a', 700);
		fixture.network.settle();
		clock.tick(701);
		expect(fixture.getOutcome('a').failure).to.include({name: 'answerTimeout', ran: 'unknown'});
		expect(fixture.client.countExchanges()).to.equal(0);
	});

	it('sends nothing while idle, and closes after the idle timeout', () => {
		fixture.send('a');
		fixture.network.settle();
		fixture.answerAll();
		runFor(clock, fixture.network, 10_000, 500);
		const idle = fixture.network;
		clock.tick(linkIdleTimeoutMs - 12_000);
		expect(fixture.server.countSessions()).to.equal(1);
		expect(idle.countInFlight()).to.equal(0);
		runFor(clock, idle, 15_000, 500);
		expect([fixture.server.countSessions(), idle.countConnections()]).to.deep.equal([0, 0]);
	});

	it('runs each request at most once and delivers each response completely, in order and once under random faults', () => {
		const action = fc.oneof(
			{weight: 6, arbitrary: fc.constantFrom('send', 'answer', 'up', 'down')},
			{weight: 2, arbitrary: fc.constantFrom('break', 'silence', 'cut-up', 'cut-down', 'heal', 'cancel')},
			{weight: 3, arbitrary: fc.constantFrom('wait-short', 'wait-long')},
		);
		fc.assert(fc.property(fc.array(action, {minLength: 5, maxLength: 60}), actions => {
			const randomFixture = new LinkFixture();
			const cancelled = new Set<string>();
			actions.forEach((name, index) => {
				applyAction(randomFixture, name, `r${index}`, cancelled);
			});
			randomFixture.network.resumeDirections();
			runFor(clock, randomFixture.network, silenceTimeoutMs + resumeTimeoutMs, 200);
			randomFixture.carrier.runs.filter(({exchange}) => !exchange.isAnswered).forEach(run => {
				randomFixture.carrier.answer(run, parts);
			});
			runFor(clock, randomFixture.network, silenceTimeoutMs + resumeTimeoutMs + 2000, 200);
			[...randomFixture.recorders].forEach(([id, {outcome}]) => {
				const runs = randomFixture.countRuns(id);
				expect(runs, `${id} ran`).to.be.at.most(1);
				expect(outcome.ends, `${id} ended`).to.equal(cancelled.has(id) ? Math.min(outcome.ends, 1) : 1);
				expect(formatAnswer(id, parts).startsWith(outcome.text), `${id} got ${outcome.text}`).to.equal(true);
				expect(outcome.isWhole && outcome.text !== formatAnswer(id, parts), `${id} is whole`).to.equal(false);
				expect(outcome.failure?.ran === 'not-run' && runs > 0, `${id} was refused as not run`).to.equal(false);
			});
			randomFixture.client.close();
			void randomFixture.server.close();
		}), {seed: 41, numRuns: 1500});

		function applyAction(randomFixture: LinkFixture, name: string, id: string, cancelled: Set<string>): void {
			const {network, carrier, exchanges} = randomFixture;
			const actions = new Map<string, () => void>([
				['send', () => {
					exchanges.push([id, randomFixture.send(id)]);
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
					network.closeConnections();
				}],
				['silence', () => {
					network.pauseConnections();
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
