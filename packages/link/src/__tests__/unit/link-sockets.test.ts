import {Buffer} from 'node:buffer';
import {setImmediate as waitTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {install, type Clock} from '@sinonjs/fake-timers';
import {MetricRegistry, SilentLogger, type Address} from '@limpetbarrow/core';
import {TcpRelay} from '@limpetbarrow/stand-ins';
import {
	heartbeatIntervalMs, LinkPool, LinkServer, probeTimeoutMs, silenceTimeoutMs,
} from '../../index.js';
import {
	createHead, formatAnswer, RecordingCarrier, OutcomeRecorder,
} from '../recording-carrier.js';

const identity = {id: 'two', incarnation: 7};
const parts = 20;

async function waitFor(condition: () => boolean): Promise<void> {
	if (!condition()) {
		await waitTurn();
		await waitFor(condition);
	}
}

describe('a link over sockets', () => {
	let clock: Clock;
	let carrier: RecordingCarrier;
	let server: LinkServer;
	let relay: TcpRelay;
	let pool: LinkPool;
	let address: Address;
	let metrics: MetricRegistry;

	beforeEach(async () => {
		clock = install({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance']});
		metrics = new MetricRegistry();
		carrier = new RecordingCarrier();
		server = new LinkServer(identity, () => carrier, new SilentLogger(), metrics);
		relay = new TcpRelay(await server.listen({host: '127.0.0.1', port: 0}));
		address = await relay.listen();
		pool = new LinkPool({id: 'one', incarnation: 1}, {metrics});
	});

	afterEach(async () => {
		pool.close();
		await relay.close();
		await server.close();
		clock.uninstall();
	});

	function send(requestId: string): OutcomeRecorder {
		const recorder = new OutcomeRecorder();
		const exchange = pool.getLink({identity, address}).openExchange(createHead(requestId), recorder.handler);
		exchange.writeBody(Buffer.from(requestId));
		exchange.endBody();
		return recorder;
	}

	async function sendAndAnswer(requestId: string): Promise<void> {
		const recorder = send(requestId);
		await waitFor(() => carrier.runs.some(({exchange}) => exchange.isBodyWhole && !exchange.isAnswered));
		carrier.answer(carrier.runs.at(-1)!, parts);
		await waitFor(() => recorder.outcome.isWhole);
	}

	/** Advances the clock until the condition holds, and lets the event loop process socket events between the steps. */
	async function advanceClockUntil(condition: () => boolean, steps = 400): Promise<void> {
		if (condition() || steps === 0) {
			expect(condition()).to.equal(true);
			return;
		}

		clock.tick(heartbeatIntervalMs / 20);
		await Array.from({length: 20}).reduce<Promise<void>>(async previous => {
			await previous;
			await waitTurn();
		}, Promise.resolve());
		await advanceClockUntil(condition, steps - 1);
	}

	const faults: ReadonlyArray<readonly [string, () => void]> = [
		['goes silent', () => {
			relay.pauseConnections();
		}],
		['breaks', () => {
			relay.closeConnections();
		}],
	];

	faults.forEach(([name, fail]) => {
		it(`delivers the complete response of a single run when the connection ${name} during a request`, async () => {
			await sendAndAnswer('warm');
			const recorder = send('a');
			await waitFor(() => carrier.runs.length === 2);
			fail();
			carrier.answer(carrier.runs[1]!, parts);
			await advanceClockUntil(() => recorder.outcome.isWhole);
			expect(recorder.outcome).to.include({text: formatAnswer('a', parts), ends: 1});
			expect(carrier.runs.length).to.equal(2);
			expect(relay.countConnections()).to.equal(2);
			await advanceClockUntil(() => server.countExchanges() === 0 && pool.countExchanges() === 0);
		});
	});

	(['up', 'down'] as const).forEach(direction => {
		it(`delivers the complete response of a single run after packets in direction ${direction} were dropped for a while`, async () => {
			const recorder = send('a');
			await waitFor(() => carrier.runs.length === 1);
			relay.setFaults({dropped: [direction]});
			carrier.answer(carrier.runs[0]!, parts);
			const start = clock.now;
			await advanceClockUntil(() => clock.now - start > silenceTimeoutMs / 2);
			relay.setFaults({dropped: []});
			await advanceClockUntil(() => recorder.outcome.ends > 0);
			expect(recorder.outcome).to.include({text: formatAnswer('a', parts), isWhole: true, ends: 1});
			expect(carrier.runs.length).to.equal(1);
		});
	});

	it('replaces an idle connection that went silent soon after the next request starts', async () => {
		await sendAndAnswer('warm');
		clock.tick(20_000);
		relay.pauseConnections();
		const start = clock.now;
		const recorder = send('a');
		await advanceClockUntil(() => carrier.runs.length === 2);
		expect(clock.now - start).to.be.at.most(probeTimeoutMs + heartbeatIntervalMs);
		carrier.answer(carrier.runs[1]!, parts);
		await advanceClockUntil(() => recorder.outcome.isWhole);
	});

	it('reports a request as not run when no server listens', async () => {
		await relay.close();
		const recorder = send('a');
		await waitFor(() => recorder.outcome.ends > 0);
		expect(recorder.outcome.failure).to.include({name: 'linkUnreachable', ran: 'not-run'});
	});

	it('reports unknown execution when the other node dies during the response', async () => {
		const recorder = send('a');
		await waitFor(() => carrier.runs.length === 1);
		carrier.runs[0]!.handler.handleHead({status: 200, headers: ['x-id', 'a']});
		await waitFor(() => recorder.outcome.text === 'a');
		relay.setFaults({isDeaf: true});
		relay.closeConnections();
		await advanceClockUntil(() => recorder.outcome.ends > 0);
		expect(recorder.outcome.failure).to.include({name: 'linkLost', ran: 'unknown'});
		expect(recorder.outcome.isWhole).to.equal(false);
	});

	it('sends no bytes while idle', async () => {
		await sendAndAnswer('warm');
		clock.tick(6000);
		await waitTurn();
		let bytes = 0;
		relay.chunks.registerListener(chunk => {
			bytes += chunk.bytes;
		});
		const start = clock.now;
		await advanceClockUntil(() => clock.now - start > 5000);
		expect([bytes, pool.countSessions(), server.countSessions()]).to.deep.equal([0, 1, 1]);
	});
});
