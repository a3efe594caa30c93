import {expect} from 'chai';
import {install, type Clock} from '@sinonjs/fake-timers';
import {
	PeerSummarySource, comparedPeerCount, priorBaseline, OutcomeRecorder, HealthMonitor, type HealthChange, type OutcomeKind, type ServerSummary,
} from '../../index.js';

const startMs = 20_000;

class FakeSource extends PeerSummarySource {
	/** Monotonic time since which every request of the peers fails. */
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

describe('server judge', () => {
	let clock: Clock;
	let source: FakeSource;
	let judge: HealthMonitor;
	let changes: HealthChange[];

	beforeEach(async () => {
		clock = install();
		source = new FakeSource();
		judge = new HealthMonitor(source);
		changes = [];
		judge.changes.registerListener(change => {
			changes.push(change);
		});
		judge.addServer('server-1', 'catalogue', 'fast');
		await clock.tickAsync(startMs);
		judge.sweep();
		await clock.tickAsync(0);
	});

	afterEach(() => {
		clock.uninstall();
	});

	async function recordOutcomes(count: number, kind: OutcomeKind): Promise<void> {
		if (count === 0) {
			return;
		}

		judge.recordOutcome('server-1', {at: performance.now(), kind, durationMs: 40});
		await clock.tickAsync(100);
		await recordOutcomes(count - 1, kind);
	}

	it('makes a new server ready after it has warmed', () => {
		expect(changes.map(({after}) => after)).to.deep.equal(['ready']);
	});

	it('ejects a server that fails while its peers do not', async () => {
		await recordOutcomes(10, 'failed');
		expect(judge.getState('server-1')).to.equal('ejected');
		expect(judge.getBadness('server-1')).to.be.within(1, 10);
	});

	it('ejects nobody while the peers fail too', async () => {
		source.failingSince = performance.now();
		await recordOutcomes(200, 'failed');
		expect(judge.getState('server-1')).to.equal('ready');
	});

	it('asks a bounded number of peers while an alarm stands', async () => {
		source.failingSince = performance.now();
		source.asked = 0;
		await recordOutcomes(1000, 'failed');
		expect(source.asked).to.be.at.most(comparedPeerCount * 9);
	});

	it('leaves an ejected server out of what it tells peers', async () => {
		expect(judge.listSummaries('catalogue')).to.have.length(1);
		await recordOutcomes(10, 'failed');
		expect(judge.listSummaries('catalogue')).to.have.length(0);
	});

	it('begins anew when the server is another process', async () => {
		await recordOutcomes(10, 'failed');
		judge.addServer('server-1', 'catalogue', 'fast');
		expect(judge.getState('server-1')).to.equal('warming');
	});
});
