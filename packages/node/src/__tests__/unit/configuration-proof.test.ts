import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	MetricRegistry, SilentLogger, type LogEventName, type LogFields,
} from '@limpetbarrow/core';
import {MemberTable, type HandleReply, type PeerQueries} from '@limpetbarrow/members';
import {emptyConfiguration, ReleaseState, type ReleasePeer} from '@limpetbarrow/releases';
import {ConfigurationProof} from '../../index.js';

const boundMs = 4700;

class RecordingLogger extends SilentLogger {
	lines: ReadonlyArray<readonly [LogEventName, LogFields]> = [];

	override log(event: LogEventName, fields: LogFields = {}): void {
		this.lines = [...this.lines, [event, fields]];
	}
}

function createPeer(id: string): ReleasePeer {
	return {
		id, failureDomain: 'volta-1', release: 1, isServing: true,
	};
}

function createTable(id: string): MemberTable {
	const address = {host: id, port: 1};
	return new MemberTable({
		id, incarnation: 1, sequence: 1, placement: {region: 'volta', failureDomain: 'volta-1'}, linkAddress: address, gossipAddress: address, ingressAddress: address,
		adminAddress: address, state: 'serving', release: 0, servers: [], poison: [],
	});
}

describe('the proof of a node', () => {
	let clock: Clock;
	let state: ReleaseState;
	let logger: RecordingLogger;
	let proof: ConfigurationProof;
	let asked: ReadonlyArray<{readonly id: string; readonly at: number}>;
	let body: readonly unknown[] | undefined;
	let isRevocationStrict: boolean;
	let isKeyed: boolean;

	beforeEach(() => {
		clock = install({now: 1_790_000_000_000});
		state = new ReleaseState();
		state.applyConfiguration({...emptyConfiguration, release: 5});
		logger = new RecordingLogger();
		asked = [];
		body = undefined;
		isRevocationStrict = true;
		isKeyed = true;
		const queries: Pick<PeerQueries, 'ask' | 'registerTopic'> = {
			registerTopic: () => () => undefined,
			ask(id: string, _topic: string, _body: readonly unknown[], _timeoutMs: number, handleAnswer: HandleReply) { // eslint-disable-line max-params
				asked = [...asked, {id, at: performance.now()}];
				const answer = body;
				setTimeout(() => {
					handleAnswer(answer);
				}, 20);
			},
		};
		const nodes = ['a', 'b', 'c', 'd'].map(id => createPeer(id));
		proof = new ConfigurationProof({
			table: createTable('a'), state, queries, logger, metrics: new MetricRegistry(), hasKeys: () => isKeyed, getSettings: () => ({isRevocationStrict, revocationMs: 5000}),
			role: {listAlivePeers: () => nodes, isProver: () => false},
		});
		proof.start();
	});

	afterEach(() => {
		proof.stop();
		clock.uninstall();
	});

	it('is not asked for unless the settings are strict and the configuration has keys', async () => {
		const cases = [[false, true], [true, false], [false, false]] as const;
		await cases.reduce(async (before, [isStrict, isWithKeys]) => {
			await before;
			isRevocationStrict = isStrict;
			isKeyed = isWithKeys;
			proof.askForProof();
			await clock.tickAsync(20_000);
			expect([proof.isProven(), proof.getDuty().isNeeded, asked.length, logger.lines.length]).to.deep.equal([true, false, 0, 0]);
		}, Promise.resolve());
	});

	it('is missing at first and lasts until 300 ms before the bound', async () => {
		expect(proof.isProven()).to.equal(false);
		proof.freshness.recordProof(proof.freshness.readClocks(), 5);
		await clock.tickAsync(boundMs);
		expect(proof.isProven()).to.equal(true);
		await clock.tickAsync(1);
		expect(proof.isProven()).to.equal(false);
	});

	it('dates from the question, less the age in the answer', async () => {
		body = [5, 700];
		await clock.tickAsync(540);
		expect(proof.freshness.getAgeMs(performance.now(), Date.now())).to.equal(700 + performance.now() - asked[0]!.at);
	});

	// A node that took such an answer for a proof would serve keys that were revoked long ago.
	it('is not given by an answer that is no pair of counts', async () => {
		const bodies: ReadonlyArray<readonly unknown[]> = [[], [5], ['5', 0], [5, -1000], [5, true], [5, 0.5], [-1, 0], [5, Number.NaN], [6, 0]];
		await bodies.reduce(async (before, next) => {
			await before;
			body = next;
			await clock.tickAsync(1000);
			expect(proof.isProven(), JSON.stringify(next)).to.equal(false);
		}, Promise.resolve());
		expect(asked.length).to.be.above(bodies.length);
	});

	it('is asked for at once when a request needs it, at most every 100 ms, and less often when that doesn\'t help', async () => {
		await clock.tickAsync(1000);
		const countAsked = async (ms: number): Promise<number> => {
			const before = asked.length;
			await Array.from({length: ms / 10}).reduce<Promise<unknown>>(async previous => {
				await previous;
				proof.askForProof();
				await clock.tickAsync(10);
			}, Promise.resolve());
			return (asked.length - before) * 1000 / ms;
		};

		const before = asked.length;
		proof.askForProof();
		expect(asked.length).to.equal(before + 1);
		const first = await countAsked(2000);
		await clock.tickAsync(20_000);
		const later = await countAsked(4000);
		// Each period has the questions of one round besides.
		expect(first).to.be.above(10).and.at.most(10 + 6);
		expect(later).to.be.at.most(2 + 6);
	});

	it('is logged when it is lost and regained, at most once in 10 s however often that happens', async () => {
		await Array.from({length: 60}).reduce<Promise<unknown>>(async before => {
			await before;
			proof.freshness.recordProof(proof.freshness.readClocks(), 5);
			await clock.tickAsync(boundMs + 1600);
			proof.freshness.clear();
		}, Promise.resolve());
		const seconds = 60 * (boundMs + 1600) / 1000;
		const counts = (['proofLost', 'proofRegained'] as const).map(name => logger.lines.filter(([event]) => event === name).length);
		counts.forEach(count => {
			expect(count).to.be.above(5).and.at.most((seconds / 10) + 1);
		});
	});
});
