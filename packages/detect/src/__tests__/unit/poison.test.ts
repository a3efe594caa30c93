import {expect} from 'chai';
import fc from 'fast-check';
import {type PoisonMark} from '@limpetbarrow/core';
import {
	isPoison, maxMarks, maxMergedMarks, mergePoisonMarks, PoisonRegister, quarantineMs, selectUncleared,
} from '../../index.js';

const seed = 20_254;

function createMark(fingerprint: string, serverIds: readonly string[], expiresAt = 1000): PoisonMark {
	return {fingerprint, serverIds, expiresAt};
}

describe('poison requests', () => {
	describe('register', () => {
		it('marks the requests that a crashed server ran and no others', () => {
			const register = new PoisonRegister();
			register.recordBrokenConnection('server-1', 'a', 0);
			register.recordBrokenConnection('server-2', 'b', 0);
			expect(register.recordCrash('server-1', 10)).to.equal(true);
			expect(register.listMarks(10)).to.deep.equal([createMark('a', ['server-1'], 10 + quarantineMs)]);
		});

		it('marks nothing when a connection broke without a crash', () => {
			const register = new PoisonRegister();
			register.recordBrokenConnection('server-1', 'a', 0);
			expect(register.listMarks(10)).to.deep.equal([]);
		});

		it('does not mark a request that was answered before, and clears the mark of one that is answered later', () => {
			const register = new PoisonRegister();
			register.recordAnswer('popular', 0);
			register.recordBrokenConnection('server-1', 'popular', 0);
			register.recordBrokenConnection('server-1', 'rare', 0);
			register.recordCrash('server-1', 10);
			expect(register.listMarks(10).map(({fingerprint}) => fingerprint)).to.deep.equal(['rare']);
			register.recordAnswer('rare', 20);
			expect(register.listMarks(10)).to.deep.equal([]);
		});

		// Guards against an innocent request that stays refused because the node that answered it isn't the one that marked it.
		describe('with the marks of other nodes', () => {
			const crashAt = 10_000;
			const mark = createMark('page', ['server-1'], crashAt + quarantineMs);

			it('clears those of requests that it answered shortly before the crash, or later', () => {
				[crashAt - 1000, crashAt + 1000].forEach(answeredAt => {
					const register = new PoisonRegister();
					register.recordAnswer('page', answeredAt);
					expect(register.applyFleetMarks([mark])).to.equal(true);
					expect(selectUncleared([mark, ...register.listMarks(crashAt)])).to.deep.equal([]);
					expect(register.applyFleetMarks([mark, ...register.listMarks(crashAt)])).to.equal(false);
				});
			});

			it('keeps those of requests that it answered long before', () => {
				const register = new PoisonRegister();
				register.recordAnswer('page', crashAt - 6000);
				expect(register.applyFleetMarks([mark])).to.equal(false);
				expect(register.listMarks(crashAt)).to.deep.equal([]);
			});

			it('gives up its own that another node has cleared, and not a later one', () => {
				const register = new PoisonRegister();
				register.recordBrokenConnection('server-1', 'page', crashAt);
				register.recordCrash('server-1', crashAt);
				expect(register.applyFleetMarks([createMark('page', [], crashAt + quarantineMs - 1)])).to.equal(false);
				expect(register.applyFleetMarks([createMark('page', [], crashAt + quarantineMs)])).to.equal(true);
				expect(register.listMarks(crashAt)).to.deep.equal([]);
			});

			it('has its clearances again after a restart', () => {
				const clearance = createMark('page', [], crashAt + quarantineMs);
				const register = new PoisonRegister();
				register.addEarlierMarks([clearance, createMark('guilty', ['server-1'], crashAt + quarantineMs)], crashAt);
				expect(selectUncleared([mark, ...register.listMarks(crashAt)]).map(({fingerprint}) => fingerprint)).to.deep.equal(['guilty']);
			});
		});

		it('drops marks after the quarantine and limits their number', () => {
			const register = new PoisonRegister();
			Array.from({length: 100}, (_, index) => index).forEach(index => {
				register.recordBrokenConnection('server-1', `request-${index}`, index);
				register.recordCrash('server-1', index);
			});
			expect(register.listMarks(100)).to.have.length(maxMarks);
			expect(register.listMarks(100 + quarantineMs)).to.deep.equal([]);
		});
	});

	describe('merge', () => {
		it('identifies only requests that crashed two distinct servers', () => {
			const merged = mergePoisonMarks([
				createMark('a', ['server-1']), createMark('a', ['server-2']), createMark('b', ['server-1']), createMark('b', ['server-1']), createMark('c', ['server-1', 'server-2'], 5),
			], 10);
			expect([...merged.values()].filter(mark => isPoison(mark)).map(({fingerprint}) => fingerprint)).to.deep.equal(['a']);
			expect(merged.has('c')).to.equal(false);
		});

		it('gives the same result in any order and when merged again, and is bounded', () => {
			const mark = fc.record({
				fingerprint: fc.nat(2000).map(String), serverIds: fc.array(fc.constantFrom('s1', 's2', 's3'), {minLength: 1, maxLength: 3}), expiresAt: fc.nat(100),
			});
			fc.assert(fc.property(fc.array(mark, {maxLength: 1500, size: 'max'}), marks => {
				const merged = mergePoisonMarks(marks, 20);
				const again = mergePoisonMarks([...merged.values(), ...merged.values()], 20);
				const reversed = mergePoisonMarks(marks.toReversed(), 20);
				expect([...again]).to.deep.equal([...merged]);
				expect([...reversed]).to.deep.equal([...merged]);
				expect(merged.size).to.be.at.most(maxMergedMarks);
			}), {seed, numRuns: 30});
		});
	});
});
