import {expect} from 'chai';
import fc from 'fast-check';
import {
	comparedPeerCount, computePeerEvidence, createDetector, detectionPolicies, estimateServiceBaseline, judgeOutcome, OutcomeRecorder, ServerHealth,
	type Baseline, type DetectionPolicy, type OutcomeKind, type ServerSummary, type WorkOutcome,
} from '../../index.js';

const seed = 20_252;
const baseline: Baseline = {
	failureShare: 0.01, slowMs: 100, slowShare: 0.01, requests: 1000,
};
const policies: readonly DetectionPolicy[] = ['fast', 'cautious'];

function createOutcome(kind: OutcomeKind, durationMs = 50, at = 0): WorkOutcome {
	return {at, kind, durationMs};
}

function countUntilFailing(policy: DetectionPolicy, outcomes: readonly WorkOutcome[]): number {
	const detector = createDetector(policy);
	return outcomes.findIndex(outcome => detector.recordOutcome(outcome, baseline).isFailing) + 1;
}

function createSummary(outcomes: readonly WorkOutcome[], now: number): ServerSummary {
	const recorder = new OutcomeRecorder();
	outcomes.forEach(outcome => {
		recorder.recordOutcome(outcome, baseline);
	});
	return recorder.getSummary(now);
}

function createSeries(count: number, pickKind: (index: number) => OutcomeKind, durationMs = 50): readonly WorkOutcome[] {
	return Array.from({length: count}, (_, index) => createOutcome(pickKind(index), durationMs, index * 100));
}

describe('detection', () => {
	describe('evidence', () => {
		const cases: ReadonlyArray<readonly [OutcomeKind, number, boolean | undefined, boolean | undefined]> = [
			['answered', 50, false, false],
			['answered', 150, false, true],
			['failed', 1, true, undefined],
			['timedOut', 50, undefined, undefined],
			['timedOut', 150, true, true],
			['cancelled', 50, undefined, undefined],
			['cancelled', 150, undefined, true],
		];
		cases.forEach(([kind, durationMs, isFailure, isSlow]) => {
			it(`of "${kind}" after ${durationMs} ms is classified by failure and slowness`, () => {
				expect(judgeOutcome(createOutcome(kind, durationMs), baseline)).to.deep.equal({isFailure, isSlow});
			});
		});
	});

	describe('sequential test', () => {
		policies.forEach(policy => {
			it(`${policy} detects a server after a few failures or slow answers`, () => {
				expect(countUntilFailing(policy, createSeries(20, () => 'failed'))).to.be.within(3, 5);
				expect(countUntilFailing(policy, createSeries(20, () => 'answered', 500))).to.be.within(3, 6);
				expect(countUntilFailing(policy, createSeries(20, () => 'cancelled', 500))).to.be.within(3, 6);
			});

			it(`${policy} detects a raised failure share without consecutive failures`, () => {
				expect(countUntilFailing(policy, createSeries(600, index => index % 10 === 9 ? 'failed' : 'answered'))).to.be.within(20, 300);
			});

			it(`${policy} raises no alarm on a normal failure share and on early timeouts and cancellations`, () => {
				const kinds = ['answered', 'timedOut', 'cancelled'] as const;
				expect(countUntilFailing(policy, createSeries(9000, index => index % 300 === 299 ? 'failed' : kinds[index % 3]!))).to.equal(0);
			});
		});

		it('raises no alarm when failures are normal for the service', () => {
			const detector = createDetector('fast');
			const degraded = {...baseline, failureShare: 0.6};
			expect(createSeries(1000, () => 'failed').some(outcome => detector.recordOutcome(outcome, degraded).isFailing)).to.equal(false);
		});

		it('always reports an integer badness from 0 to 10', () => {
			const outcome = fc.record({at: fc.nat(), kind: fc.constantFrom<OutcomeKind>('answered', 'failed', 'timedOut', 'cancelled'), durationMs: fc.nat(1000)});
			const share = fc.double({min: 0.01, max: 0.999, noNaN: true});
			fc.assert(fc.property(fc.array(outcome, {maxLength: 400}), share, share, (outcomes, failureShare, slowShare) => {
				const detector = createDetector('fast');
				return outcomes.every(next => {
					const {badness} = detector.recordOutcome(next, {...baseline, failureShare, slowShare});
					return Number.isInteger(badness) && badness >= 0 && badness <= 10;
				});
			}), {seed});
		});
	});

	describe('baseline', () => {
		it('ignores one failing server among the others', () => {
			const healthy = createSummary(createSeries(1000, () => 'answered'), 100_000);
			const failing = createSummary(createSeries(1000, () => 'failed'), 100_000);
			expect(estimateServiceBaseline([healthy, failing, healthy]).failureShare).to.equal(0.01);
		});

		it('rises at once when all servers fail', () => {
			const degraded = createSummary(createSeries(1000, index => index < 980 ? 'answered' : 'failed'), 100_000);
			expect(estimateServiceBaseline([degraded, degraded, degraded]).failureShare).to.be.greaterThan(0.5);
		});

		it('derives the threshold for slow requests from normal durations', () => {
			const healthy = createSummary(createSeries(1000, () => 'answered', 40), 100_000);
			expect(estimateServiceBaseline([healthy, healthy, healthy]).slowMs).to.be.within(40, 120);
		});
	});

	describe('comparison with peers', () => {
		const failingLately = createSummary(createSeries(1000, index => index < 996 ? 'answered' : 'failed'), 99_900);
		const healthy = createSummary(createSeries(1000, () => 'answered'), 99_900);

		it('gives strong evidence against a server that fails alone', () => {
			expect(computePeerEvidence(failingLately, Array.from({length: comparedPeerCount}, () => healthy))).to.be.greaterThan(detectionPolicies.fast.peerEvidence);
		});

		it('gives no evidence against a server when all fail', () => {
			expect(computePeerEvidence(failingLately, Array.from({length: comparedPeerCount}, () => failingLately))).to.equal(0);
		});
	});

	describe('recovery', () => {
		const options = detectionPolicies.fast;

		function createEjected(): ServerHealth {
			const health = new ServerHealth(createDetector('fast'), options, 0);
			health.sweep(options.warmingMs);
			createSeries(5, () => 'failed').forEach(outcome => {
				health.recordOutcome(outcome, baseline);
			});
			health.eject(20_000);
			return health;
		}

		it('starts in the warming state, in which slow requests raise no alarm', () => {
			const health = new ServerHealth(createDetector('fast'), options, 0);
			expect(health.getState()).to.equal('warming');
			expect(createSeries(50, () => 'answered', 5000).some(outcome => health.recordOutcome(outcome, baseline))).to.equal(false);
			expect(health.sweep(options.warmingMs)).to.equal(true);
			expect(health.getState()).to.equal('ready');
		});

		it('goes through probation and warming after an ejection', () => {
			const health = createEjected();
			expect(health.sweep(20_000 + options.ejectionMs - 1)).to.equal(false);
			expect(health.sweep(20_000 + options.ejectionMs)).to.equal(true);
			expect(health.getState()).to.equal('probation');
			createSeries(20, () => 'answered').forEach(outcome => {
				health.recordOutcome({...outcome, at: 31_000}, baseline);
			});
			expect(health.getState()).to.equal('warming');
		});

		it('doubles the ejection time each time the server fails on probation', () => {
			const health = createEjected();
			const waits = [1, 2, 3].map(() => {
				const start = health.getState() === 'ejected' ? 0 : -1;
				let at = 20_000;
				while (health.getState() === 'ejected') {
					at += 1000;
					health.sweep(at);
				}

				createSeries(3, () => 'failed').forEach(outcome => {
					health.recordOutcome({...outcome, at: 20_000}, baseline);
				});
				return at - 20_000 + start;
			});
			expect(waits).to.deep.equal([options.ejectionMs, options.ejectionMs * 2, options.ejectionMs * 4]);
		});

		it('ends probation without a trial after 60 seconds', () => {
			const health = createEjected();
			health.sweep(40_000);
			expect([99_999, 100_000].map(now => health.sweep(now))).to.deep.equal([false, true]);
			expect(health.getState()).to.equal('warming');
		});

		it('does not keep a server ejected when the whole service fails', () => {
			const health = createEjected();
			health.sweep(60_000);
			createSeries(20, () => 'failed').forEach(outcome => {
				health.recordOutcome({...outcome, at: 61_000}, {...baseline, failureShare: 0.9});
			});
			expect(health.getState()).to.equal('warming');
		});
	});
});
