import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {ConfigurationFleet, type ConfigurationFleetPlan} from '../configuration-fleet.js';

/** Bound of the users' pages: a change is in force so long after it was acknowledged. */
const applyMs = 3000;
/** The outage ends so long before the change that nodes are in touch again once the bound is over. */
const outageMs = 4500;
const untilChangeMs = 100;
/** Time after the change in which nodes are taken away. */
const removalMs = 1500;
const pollMs = 50;
const seeds = Array.from({length: 12}, (_, index) => index + 1);

describe('a change that is made as the store comes back', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Waits until every running node has the newest release; returns the time that took, at most twice the bound. */
	async function measureDelayMs(fleet: ConfigurationFleet, startedAt: number): Promise<number> {
		await clock.tickAsync(pollMs);
		const delayMs = performance.now() - startedAt;
		return delayMs < 2 * applyMs && (fleet.listLateIds().length > 0 || delayMs < removalMs) ? measureDelayMs(fleet, startedAt) : delayMs;
	}

	/** Plays an outage, a change, and the loss of a share of the nodes; returns the time until the last node has the change. */
	async function playOutage(plan: ConfigurationFleetPlan, removedShare: number): Promise<number> {
		const fleet = new ConfigurationFleet(plan);
		await clock.tickAsync(8000 + (fleet.pickNumber() * 5000));
		fleet.setStoreAway(true);
		await clock.tickAsync(outageMs);
		fleet.setStoreAway(false);
		await clock.tickAsync(untilChangeMs);
		fleet.writeRelease();
		const changedAt = performance.now();
		fleet.listIds().filter(() => fleet.pickNumber() < removedShare).forEach(id => {
			setTimeout(() => {
				fleet.removeNode(id);
			}, fleet.pickNumber() * removalMs);
		});
		const delayMs = await measureDelayMs(fleet, changedAt);
		fleet.stop();
		return delayMs;
	}

	// Guards against a node that knows of a change and waits for its silent watch, its back-off and nodes that are gone.
	it('is in force in time on all nodes though nodes that have it are taken away', async () => {
		const delays = await seeds.reduce<Promise<readonly number[]>>(async (before, seed) => [
			...await before, await playOutage({nodes: 36, domains: 6, seed}, 0.25),
		], Promise.resolve([]));
		expect(delays.filter(delayMs => delayMs > applyMs), `delays ${delays.join(', ')}`).to.deep.equal([]);
	}).timeout(60_000);
});
