import {expect} from 'chai';
import {install, type Clock} from '@sinonjs/fake-timers';
import {
	PeerSummarySource, comparedPeerCount, priorBaseline, OutcomeRecorder, HealthMonitor, type HealthChange, type OutcomeKind, type ServerSummary,
} from '../../index.js';

const startMs = 20_000;

class FakeSource extends PeerSummarySource {
	/** Monotonic time from which on every request of the peers fails, in milliseconds. */
	failingSince = Number.POSITIVE_INFINITY;
	asked = 0;

	override async fetchSummaries(_service: string, peers: number): Promise<readonly ServerSummary[]> {
		this.asked += peers;
		return Array.from({length: peers}, () => this.#createSummary());
	}

	#createSummary(): ServerSummary {
		const recorder = new OutcomeRecorder();
		const now = performance.now();
		Array.from({length: 400}, (_, index) => now - ((400 - index) * 100)).filter(at => at >= 0).forEach(at => {
			const kind: OutcomeKind = at < this.failingSince ? 'answered' : 'failed';
			recorder.recordOutcome({at, kind, durationMs: 40}, priorBaseline);
		});
		return recorder.getSummary(now);
	}
}

describe('health monitor', () => {
	let clock: Clock;
	let source: FakeSource;
	let monitor: HealthMonitor;
	let changes: HealthChange[];

	beforeEach(async () => {
		clock = install();
		source = new FakeSource();
		monitor = new HealthMonitor(source);
		changes = [];
		monitor.changes.registerListener(change => {
			changes.push(change);
		});
		monitor.addServer('server-1', 'catalogue', 'fast');
		await clock.tickAsync(startMs);
		monitor.sweep();
		await clock.tickAsync(0);
	});

	afterEach(() => {
		clock.uninstall();
	});

	async function recordOutcomes(count: number, kind: OutcomeKind): Promise<void> {
		if (count === 0) {
			return;
		}

		monitor.recordOutcome('server-1', {at: performance.now(), kind, durationMs: 40});
		await clock.tickAsync(100);
		await recordOutcomes(count - 1, kind);
	}

	it('makes a new server ready after it has warmed up', () => {
		expect(changes.map(({after}) => after)).to.deep.equal(['ready']);
	});

	it('ejects a server that fails while its peers do not', async () => {
		await recordOutcomes(10, 'failed');
		expect(monitor.getState('server-1')).to.equal('ejected');
		expect(monitor.getBadness('server-1')).to.be.within(1, 10);
	});

	it('does not eject a server while its peers fail too', async () => {
		source.failingSince = performance.now();
		await recordOutcomes(200, 'failed');
		expect(monitor.getState('server-1')).to.equal('ready');
	});

	it('asks a limited number of peers while an alarm lasts', async () => {
		source.failingSince = performance.now();
		source.asked = 0;
		await recordOutcomes(1000, 'failed');
		expect(source.asked).to.be.at.most(comparedPeerCount * 9);
	});

	it('lists no summary of an ejected server for peers', async () => {
		expect(monitor.listSummaries('catalogue')).to.have.length(1);
		await recordOutcomes(10, 'failed');
		expect(monitor.listSummaries('catalogue')).to.have.length(0);
	});

	it('starts over in the warming state when the server is another process', async () => {
		await recordOutcomes(10, 'failed');
		monitor.addServer('server-1', 'catalogue', 'fast');
		expect(monitor.getState('server-1')).to.equal('warming');
	});
});
