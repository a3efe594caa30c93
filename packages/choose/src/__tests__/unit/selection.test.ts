import {expect} from 'chai';
import fc from 'fast-check';
import {type ServerState} from '@limpetbarrow/core';
import {
	NearestChooser, PathHealth, RetryBudget, selectSubset, ServerSelection, subsetSize, type Candidate,
} from '../../index.js';

const seed = 20_253;
const self = {id: 'node-self', placement: {region: 'volta', failureDomain: 'volta-1'}};

function createCandidate(node: number, state: ServerState = 'ready', region = 'volta'): Candidate {
	const server = {
		id: `server-${node}`, service: 'harvest-ledger', slots: 3, state, generation: 1, badness: 0,
	};
	return {nodeId: `node-${node}`, placement: {region, failureDomain: `${region}-2`}, server};
}

function createCandidates(count: number): readonly Candidate[] {
	return Array.from({length: count}, (_, node) => createCandidate(node));
}

function listIds(candidates: readonly Candidate[]): readonly string[] {
	return candidates.map(({server}) => server.id);
}

describe('server selection', () => {
	describe('retry budget', () => {
		it('limits retries of requests that may have run to a tenth of the traffic plus three initial ones', () => {
			fc.assert(fc.property(fc.array(fc.boolean(), {maxLength: 2000}), isRetries => {
				const budget = new RetryBudget();
				const requests = isRetries.filter(isRetry => !isRetry).length;
				const granted = isRetries.filter(isRetry => {
					if (!isRetry) {
						budget.recordRequest();
					}

					return isRetry && budget.takeRetry(false, 0);
				}).length;
				return granted <= 3 + (requests / 10);
			}), {seed});
		});

		it('guarantees one retry per second, and no more, to requests that did not run', () => {
			const budget = new RetryBudget();
			const times = Array.from({length: 10_001}, (_, index) => index);
			const granted = times.filter(now => budget.takeRetry(true, now)).length;
			expect(granted).to.be.within(10, 3 + 2 + 10);
		});
	});

	describe('path health', () => {
		it('avoids a failed path for a back-off that doubles up to a limit, and until an answer arrives', () => {
			const paths = new PathHealth();
			let now = 0;
			const waits = Array.from({length: 7}, () => {
				paths.recordFailure('node-1', now);
				const start = now;
				while (paths.isAvoided('node-1', now)) {
					now += 100;
				}

				return now - start;
			});
			expect(waits).to.deep.equal([500, 1000, 2000, 4000, 8000, 10_000, 10_000]);
			paths.recordFailure('node-1', now);
			paths.recordSuccess('node-1', now);
			expect(paths.isAvoided('node-1', now)).to.equal(false);
		});

		it('does not count servers behind avoided paths towards the floor', () => {
			const paths = new PathHealth();
			const selection = new ServerSelection(self, paths);
			const candidates = [createCandidate(1), createCandidate(2, 'ejected'), createCandidate(3, 'ejected')];
			expect(listIds(selection.selectServers('s', candidates, 1, 0).serving)).to.deep.equal(['server-1']);
			paths.recordFailure('node-1', 0);
			expect(listIds(selection.selectServers('s', candidates, 1, 1).serving)).to.deep.equal(['server-2']);
			expect(listIds(selection.selectServers('s', candidates, 1, 501).serving)).to.deep.equal(['server-1']);
		});

		it('uses all paths when all are avoided', () => {
			const paths = new PathHealth();
			const selection = new ServerSelection(self, paths);
			paths.recordFailure('node-1', 0);
			expect(listIds(selection.selectServers('s', [createCandidate(1)], 1, 1).serving)).to.deep.equal(['server-1']);
		});
	});

	describe('subset', () => {
		it('is deterministic and has the subset size', () => {
			const candidates = createCandidates(200);
			const first = selectSubset('node-a', candidates);
			expect(first).to.have.length(subsetSize);
			expect(listIds(selectSubset('node-a', candidates.toReversed()))).to.deep.equal(listIds(first));
		});

		it('changes by one server when one is removed', () => {
			const candidates = createCandidates(200);
			const before = selectSubset('node-a', candidates);
			const after = selectSubset('node-a', candidates.filter(candidate => candidate !== before[0]));
			expect(after.filter(candidate => !before.includes(candidate))).to.have.length(1);
		});

		it('connects a node to fewer than half of 730 nodes, with each load below twice the mean', () => {
			const nodes = Array.from({length: 730}, (_, node) => node);
			const services = Array.from({length: 220}, (_, service) => Array.from({length: 55}, (_unused, index) => createCandidate(((service * 37) + (index * 13)) % 730)));
			const used = nodes.filter(node => node % 10 === 0).map(node => new Set(services.flatMap(candidates => selectSubset(`node-${node}`, candidates).map(({nodeId}) => nodeId))));
			expect(Math.max(...used.map(({size}) => size))).to.be.below(365);
			const counts = new Map<string, number>();
			nodes.flatMap(node => selectSubset(`node-${node}`, services[0]!)).forEach(({nodeId}) => {
				counts.set(nodeId, (counts.get(nodeId) ?? 0) + 1);
			});
			expect(Math.max(...counts.values())).to.be.below(2 * 730 * subsetSize / 55);
		});
	});

	describe('nearest chooser', () => {
		it('gives a warming server requests for half of its slots', () => {
			const chooser = new NearestChooser(self, () => 0);
			const candidates = [createCandidate(1, 'warming'), createCandidate(2)];
			const load = {countInFlight: (id: string) => id === 'server-1' ? 2 : 1, getHint: () => undefined};
			expect(chooser.choose(candidates, load)?.server.id).to.equal('server-2');
		});

		it('chooses another region only when the near servers have no spare capacity', () => {
			const chooser = new NearestChooser(self, () => 0);
			const candidates = [createCandidate(1, 'ready', 'keta'), createCandidate(2)];
			const choose = (busy: number): string | undefined => chooser.choose(candidates, {countInFlight: id => id === 'server-2' ? busy : 0, getHint: () => undefined})?.server.id;
			expect([0, 2, 3].map(busy => choose(busy))).to.deep.equal(['server-2', 'server-2', 'server-1']);
		});
	});
});
