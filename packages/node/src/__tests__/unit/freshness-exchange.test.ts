import process from 'node:process';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {FreshnessFleet, type AgeFigures, type FreshnessPlan} from '../freshness-model.js';

const startMs = 10_000;
const measuredMs = 12_000;
/** Age from which keys are rejected, for a bound of 5 s. */
const boundMs = 4700;
/** Bytes a second that a domain's nodes may send on average. */
const maxBytesPerS = 3000;
/** Time in which the others notice that a node is dead. */
const noticeMs = 8000;
/** Time in which all nodes have proofs again once the cause is over: one call of each prover, and a question on each level. */
const recoveryMs = 4000;
/** Time in which a call to the store fails, and the longest pause before the next one. */
const callTimeoutMs = 1500;
const maxBackOffMs = 4000;
/** `FRESHNESS_SEEDS=20` runs more seeds, `FRESHNESS_REPORT=1` prints the figures. */
const seedCount = Number(process.env.FRESHNESS_SEEDS ?? 1);
const isReporting = process.env.FRESHNESS_REPORT !== undefined;

const sizes = [{nodes: 24, domains: 4}, {nodes: 100, domains: 5}, {nodes: 730, domains: 6}];
const plans: readonly FreshnessPlan[] = sizes.flatMap(size => Array.from({length: seedCount}, (_, index) => ({...size, seed: 71 + (13 * index)})));

describe('proofs of freshness in a fleet', () => {
	let clock: Clock;
	let fleet: FreshnessFleet;
	const advance = async (ms: number): Promise<unknown> => clock.tickAsync(ms);

	const startFleet = async (plan: FreshnessPlan): Promise<void> => {
		fleet = new FreshnessFleet(plan);
		await advance(startMs);
		fleet.takeTraffic(startMs);
		fleet.storeCalls = 0;
	};

	const reportFigures = (title: string, {nodes, seed}: FreshnessPlan, figures: Record<string, unknown>): void => {
		if (isReporting) {
			process.stdout.write(`${title}, ${nodes} nodes, seed ${seed}: ${JSON.stringify(figures)}\n`);
		}
	};

	const measure = async (title: string, plan: FreshnessPlan, isSampled?: (id: string) => boolean): Promise<AgeFigures> => {
		const ages = await fleet.measureAges(measuredMs, advance, isSampled && (({id}) => isSampled(id)));
		const traffic = fleet.takeTraffic(measuredMs);
		reportFigures(title, plan, {...ages, ...traffic, storeCallsPerS: fleet.storeCalls * 1000 / measuredMs});
		expect(traffic.domainBytesPerS).to.be.below(maxBytesPerS);
		return ages;
	};

	/** Measures how long it takes until the nodes have proofs again, in milliseconds. */
	const measureRecovery = async (elapsedMs = 0): Promise<number> => {
		if (fleet.countUnproven() === 0 || elapsedMs > 10_000) {
			return elapsedMs;
		}

		await advance(50);
		return measureRecovery(elapsedMs + 50);
	};

	beforeEach(() => {
		clock = install({now: 1_790_000_000_000});
	});

	afterEach(() => {
		fleet.stop();
		clock.uninstall();
	});

	plans.forEach(plan => {
		describe(`of ${plan.nodes} nodes, seed ${plan.seed}`, () => {
			it('are never too old in calm', async () => {
				await startFleet(plan);
				expect(await measure('calm', plan)).to.have.property('unprovenShare', 0);
			});

			it('come soon once they are needed', async () => {
				fleet = new FreshnessFleet(plan);
				fleet.isNeeded = false;
				await advance(startMs);
				expect(fleet.takeTraffic(startMs).busiestDatagramsPerS).to.equal(0);
				fleet.isNeeded = true;
				const ms = await measureRecovery();
				reportFigures('needed from now on', plan, {ms});
				expect(ms).to.be.at.most(recoveryMs);
			});

			it('are never too old while 1 % of the datagrams is lost', async () => {
				await startFleet({...plan, loss: 0.01});
				expect(await measure('loss', plan)).to.have.property('unprovenShare', 0);
			});

			it('are never too old while changes spread', async () => {
				await startFleet(plan);
				Array.from({length: 4}, (_, index) => index).forEach(index => {
					setTimeout(() => {
						fleet.writeRelease(1500);
					}, index * 2500);
				});
				expect(await measure('changes', plan)).to.have.property('unprovenShare', 0);
			});

			it('are never too old while the store is down for a failure domain and a third of the others', async () => {
				await startFleet(plan);
				fleet.nodes.filter(({failureDomain}, index) => failureDomain === 'domain-0' || index % 3 === 1).forEach(({id}) => {
					fleet.storeCuts.add(id);
				});
				expect(await measure('store down for some', plan)).to.have.property('unprovenShare', 0);
			});

			it('are never too old at the others when a domain\'s prover dies', async () => {
				await startFleet(plan);
				const [id] = fleet.listRankedIds(0);
				fleet.cutIds.add(id!);
				fleet.storeCuts.add(id!);
				setTimeout(() => {
					fleet.deadIds = new Set([id!]);
				}, noticeMs);
				expect(await measure('dead prover', plan, other => other !== id)).to.have.property('unprovenShare', 0);
			});

			it('are never too old while the first node of a domain and a third of the others run older builds, which don\'t answer', async () => {
				await startFleet(plan);
				const [first] = fleet.listRankedIds(0);
				fleet.nodes.filter(({id}, index) => id === first || index % 3 === 2).forEach(({id}) => {
					fleet.oldIds.add(id);
				});
				expect(await measure('older builds', plan)).to.have.property('unprovenShare', 0);
			});

			it('end at a node that is cut off, and at no other', async () => {
				await startFleet(plan);
				const id = fleet.listRankedIds(0).at(-1)!;
				fleet.cutIds.add(id);
				fleet.storeCuts.add(id);
				expect(await measure('cut off, the others', plan, other => other !== id)).to.have.property('unprovenShare', 0);
				expect(fleet.countUnproven()).to.equal(1);
				fleet.cutIds.clear();
				const ms = await measureRecovery();
				reportFigures('cut off, recovery', plan, {ms});
				expect(ms).to.be.at.most(recoveryMs);
			});

			it('end everywhere while the store is down for all, and come back with it', async () => {
				await startFleet(plan);
				fleet.nodes.forEach(({id}) => {
					fleet.storeCuts.add(id);
				});
				await advance(boundMs + 1000);
				expect(fleet.countUnproven()).to.equal(plan.nodes);
				await measure('store down for all', plan);
				fleet.storeCuts.clear();
				const ms = await measureRecovery();
				reportFigures('store back for all, recovery', plan, {ms});
				expect(ms).to.be.at.most(callTimeoutMs + maxBackOffMs + recoveryMs);
			});
		});
	});
});
