import {expect} from 'chai';
import {
	chooseNextServer, type SpilloverRequest, type SpilloverCandidate, type Tier,
} from '../../index.js';

const request: SpilloverRequest = {isRetryable: true, objectiveMs: 800, objectiveLeftMs: 800};

function createView(id: string, tier: Tier, fields: Partial<SpilloverCandidate> = {}): SpilloverCandidate {
	return {
		candidate: {
			nodeId: `node-${id}`,
			placement: {region: 'r', failureDomain: 'd'},
			server: {
				id, service: 's', slots: 3, state: 'ready', generation: 1, badness: 0,
			},
		},
		tier,
		waitMs: 0,
		workMs: 100,
		isUnwell: false,
		isShedding: false,
		refusals: 0,
		...fields,
	};
}

function chooseId(views: readonly SpilloverCandidate[], fields: Partial<SpilloverRequest> = {}): string | undefined {
	return chooseNextServer(views, {...request, ...fields}, () => 0)?.candidate.server.id;
}

describe('spillover', () => {
	describe('while near servers have spare capacity', () => {
		it('chooses the own host first, then the own failure domain, then the region', () => {
			const views = [createView('far', 'remote'), createView('region', 'region'), createView('near', 'failureDomain'), createView('own', 'host')];
			expect(chooseId(views)).to.equal('own');
			expect(chooseId(views.slice(0, 3))).to.equal('near');
			expect(chooseId(views.slice(0, 2))).to.equal('region');
		});
	});

	describe('under a burst in one failure domain', () => {
		it('stays near for a short wait and spills over for a long one', () => {
			const further = createView('region', 'region');
			expect(chooseId([createView('near', 'failureDomain', {waitMs: 150}), further])).to.equal('near');
			expect(chooseId([createView('near', 'failureDomain', {waitMs: 350}), further])).to.equal('region');
		});

		it('limits the wait at the chosen server to the cost of going to the next best', () => {
			const step = chooseNextServer([createView('near', 'failureDomain'), createView('region', 'region')], request, () => 0);
			expect(step?.patienceMs).to.be.within(200, 300);
		});
	});

	describe('under overload everywhere', () => {
		it('assumes half of the mean known wait where none is known', () => {
			const views = [createView('near', 'failureDomain', {waitMs: 400}), createView('far', 'remote', {waitMs: undefined, workMs: undefined})];
			expect(chooseId(views)).to.equal('near');
		});

		it('never waits longer than the objective allows after the work', () => {
			const step = chooseNextServer([createView('own', 'host', {waitMs: 300})], {...request, objectiveLeftMs: 300}, () => 0);
			expect(step?.patienceMs).to.equal((300 * 0.9) - 100);
		});

		it('has no last resort whose wait is known to be too long, so that the request is refused at once', () => {
			expect(chooseId([createView('own', 'host', {waitMs: 900, refusals: 3})])).to.equal(undefined);
		});

		it('asks a server again only if it has stated a wait that is acceptable, and then accepts that wait', () => {
			const refused = createView('full', 'host', {refusals: 1, waitMs: 300});
			expect(chooseNextServer([refused, createView('other', 'host', {waitMs: 310})], request, () => 0)).to.deep.include({isLastResort: false, patienceMs: 300 + (800 * 0.04)});
			expect(chooseNextServer([{...refused, waitMs: 700}], request, () => 0)).to.equal(undefined);
			expect(chooseNextServer([{...refused, waitMs: undefined}], request, () => 0)).to.deep.include({isLastResort: true});
		});

		it('asks each of the other servers before one that has refused', () => {
			const views = [createView('full', 'host', {refusals: 1, waitMs: 650}), createView('region', 'region'), createView('far', 'remote')];
			expect(chooseId(views)).to.equal('region');
			expect(chooseId([views[0]!, views[2]!])).to.equal('far');
		});

		it('chooses a last resort after six refusals', () => {
			const views = [createView('a', 'host', {refusals: 2}), createView('b', 'failureDomain', {refusals: 2}), createView('c', 'region', {refusals: 2}), createView('d', 'remote')];
			expect(chooseNextServer(views, request, () => 0)?.isLastResort).to.equal(true);
		});
	});

	describe('with backend servers that shed load', () => {
		it('prefers another server in the failure domain, but none further away', () => {
			const shedding = createView('shedding', 'host', {isShedding: true});
			expect(chooseId([shedding, createView('near', 'failureDomain')])).to.equal('near');
			expect(chooseId([shedding, createView('region', 'region')])).to.equal('shedding');
		});

		it('chooses the nearest when all shed, also for requests that may not be repeated, as shed work has not run', () => {
			const views = [createView('own', 'host', {isShedding: true}), createView('near', 'failureDomain', {isShedding: true}), createView('far', 'remote', {isShedding: true})];
			expect(chooseId(views, {isRetryable: false})).to.equal('own');
		});
	});

	describe('with backend servers that are unwell', () => {
		it('prefers a server further away, and accepts a longer wait there for a request that cannot be retried', () => {
			const views = [createView('sick', 'host', {isUnwell: true}), createView('far', 'remote')];
			expect(chooseId(views)).to.equal('far');
			expect(chooseId([createView('sick', 'host', {isUnwell: true}), createView('far', 'remote', {waitMs: 700})])).to.equal('sick');
			expect(chooseId([createView('sick', 'host', {isUnwell: true}), createView('far', 'remote', {waitMs: 700})], {isRetryable: false})).to.equal('far');
		});

		it('does not choose an unwell server again after it has refused', () => {
			const views = [createView('sick', 'host', {isUnwell: true, refusals: 1}), createView('far', 'remote', {waitMs: 2000})];
			expect(chooseId(views)).to.equal('far');
		});

		it('prefers a faster server further away to a slow one', () => {
			expect(chooseId([createView('slow', 'host', {workMs: 900}), createView('region', 'region')])).to.equal('region');
		});
	});
});
