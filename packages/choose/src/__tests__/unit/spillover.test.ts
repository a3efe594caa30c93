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

describe('spill plan', () => {
	describe('while there is room near', () => {
		it('goes to the own host, then the own failure domain, then further', () => {
			const views = [createView('far', 'remote'), createView('region', 'region'), createView('near', 'failureDomain'), createView('own', 'host')];
			expect(chooseId(views)).to.equal('own');
			expect(chooseId(views.slice(0, 3))).to.equal('near');
			expect(chooseId(views.slice(0, 2))).to.equal('region');
		});
	});

	describe('under a burst in one failure domain', () => {
		it('stays near for a short wait and spills for a long one', () => {
			const further = createView('region', 'region');
			expect(chooseId([createView('near', 'failureDomain', {waitMs: 150}), further])).to.equal('near');
			expect(chooseId([createView('near', 'failureDomain', {waitMs: 350}), further])).to.equal('region');
		});

		it('waits here no longer than the way elsewhere is worth', () => {
			const step = chooseNextServer([createView('near', 'failureDomain'), createView('region', 'region')], request, () => 0);
			expect(step?.patienceMs).to.be.within(200, 300);
		});
	});

	describe('under overload everywhere', () => {
		it('assumes half of the known waits where none is known', () => {
			const views = [createView('near', 'failureDomain', {waitMs: 400}), createView('far', 'remote', {waitMs: undefined, workMs: undefined})];
			expect(chooseId(views)).to.equal('near');
		});

		it('never waits beyond what is left of the objective after the work', () => {
			const step = chooseNextServer([createView('own', 'host', {waitMs: 300})], {...request, objectiveLeftMs: 300}, () => 0);
			expect(step?.patienceMs).to.equal((300 * 0.9) - 100);
		});

		it('tries no last resort that is known to be late, so that the request is refused at once', () => {
			expect(chooseId([createView('own', 'host', {waitMs: 900, refusals: 3})])).to.equal(undefined);
		});

		it('takes a last resort after four refusals', () => {
			const views = [createView('a', 'host', {refusals: 2}), createView('b', 'failureDomain', {refusals: 2})];
			expect(chooseNextServer(views, request, () => 0)?.isLastResort).to.equal(true);
		});
	});

	describe('beside backend servers that shed', () => {
		it('goes past one to another in the failure domain, not further', () => {
			const shedding = createView('shedding', 'host', {isShedding: true});
			expect(chooseId([shedding, createView('near', 'failureDomain')])).to.equal('near');
			expect(chooseId([shedding, createView('region', 'region')])).to.equal('shedding');
		});

		it('goes to the nearest when all shed, also what may not be repeated, as it is lost nowhere', () => {
			const views = [createView('own', 'host', {isShedding: true}), createView('near', 'failureDomain', {isShedding: true}), createView('far', 'remote', {isShedding: true})];
			expect(chooseId(views, {isRetryable: false})).to.equal('own');
		});
	});

	describe('beside backend servers that are unwell', () => {
		it('goes past them, far for what can\'t be tried again', () => {
			const views = [createView('sick', 'host', {isUnwell: true}), createView('far', 'remote')];
			expect(chooseId(views)).to.equal('far');
			expect(chooseId([createView('sick', 'host', {isUnwell: true}), createView('far', 'remote', {waitMs: 700})])).to.equal('sick');
			expect(chooseId([createView('sick', 'host', {isUnwell: true}), createView('far', 'remote', {waitMs: 700})], {isRetryable: false})).to.equal('far');
		});

		it('does not ask one again that has refused', () => {
			const views = [createView('sick', 'host', {isUnwell: true, refusals: 1}), createView('far', 'remote', {waitMs: 2000})];
			expect(chooseId(views)).to.equal('far');
		});

		it('prefers a faster one when one is slow', () => {
			expect(chooseId([createView('slow', 'host', {workMs: 900}), createView('region', 'region')])).to.equal('region');
		});
	});
});
