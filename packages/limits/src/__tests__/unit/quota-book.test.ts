import {expect} from 'chai';
import {
	HomeHistory, QuotaBook, rankHomes, type QuotaAnswer, type QuotaQuestion,
} from '../../index.js';

const settledMs = 60_000;

function takePermits(book: QuotaBook, now: number, change: Partial<QuotaQuestion> = {}): QuotaAnswer {
	return book.takePermits({
		organisation: 'o', wanted: 1, rate: 10, burst: 20, share: 1, homeForMs: settledMs, ...change,
	}, now);
}

describe('homes of organisations', () => {
	describe('QuotaBook', () => {
		it('grants burst and rate at a home that has settled', () => {
			const book = new QuotaBook();
			const granted = Array.from({length: 51}, (_, step) => takePermits(book, 1000 + (step * 100), {wanted: 5}).granted);
			expect(granted.reduce((sum, count) => sum + count, 0)).to.be.within(72, 74);
		});

		it('grants only its share of burst and rate', () => {
			const book = new QuotaBook();
			expect(takePermits(book, 0, {wanted: 100, share: 0.5}).granted).to.equal(11);
			expect(takePermits(book, 1000, {wanted: 100, share: 0.5}).granted).to.equal(5);
		});

		it('begins nearly empty and slowly while the previous home may still be granting', () => {
			const book = new QuotaBook();
			const first = takePermits(book, 0, {
				wanted: 1000, rate: 100, burst: 200, homeForMs: 0,
			});
			expect(first).to.include({granted: 1, isSettled: false});
			const granted = Array.from({length: 35}, (_, step) => takePermits(book, 100 * (step + 1), {
				wanted: 1000, rate: 100, burst: 200, homeForMs: 100 * step,
			}).granted);
			expect(granted.reduce((sum, count) => sum + count, 0)).to.be.at.most(42);
		});

		it('saves up nothing for the time before it settled, so that a second home doubles no burst', () => {
			const book = new QuotaBook();
			takePermits(book, 0, {rate: 100, burst: 200, homeForMs: 0});
			const settled = takePermits(book, 3500, {
				wanted: 1000, rate: 100, burst: 200, homeForMs: 3500,
			});
			expect(settled.isSettled).to.equal(true);
			expect(settled.granted).to.be.at.most(17);
		});

		it('saves up nothing over another home\'s tenure, so that a home that comes back doubles no burst', () => {
			const book = new QuotaBook();
			takePermits(book, 0, {rate: 100, burst: 200});
			const back = takePermits(book, 20_000, {
				wanted: 1000, rate: 100, burst: 200, homeForMs: 3500,
			});
			expect(back.isSettled).to.equal(true);
			expect(back.granted).to.be.at.most(17);
		});

		it('applies a lowered quota at once to what is saved up', () => {
			const book = new QuotaBook();
			takePermits(book, 0);
			expect(takePermits(book, 1, {wanted: 100, rate: 5, burst: 5}).granted).to.equal(8);
		});

		it('gives askers of an exhausted organisation waits in the order in which there is room', () => {
			const book = new QuotaBook();
			takePermits(book, 0, {wanted: 3, burst: 0});
			expect([1, 2, 3].map(() => takePermits(book, 0, {burst: 0}).waitMs)).to.deep.equal([100, 200, 300]);
			expect(takePermits(book, 0, {burst: 0, wanted: 10_000}).waitMs).to.equal(400);
			expect(Array.from({length: 100}, () => takePermits(book, 0, {burst: 0}).waitMs).at(-1)).to.equal(2000);
		});

		it('repeats its answer to a repeated question, so that a lost answer takes no permits twice', () => {
			const book = new QuotaBook();
			const question = {wanted: 10, asker: 'a', number: 1};
			const granted = [0, 150, 300].map(now => takePermits(book, now, question).granted);
			expect(granted).to.deep.equal([10, 10, 10]);
			expect(takePermits(book, 300, {...question, wanted: 4}).granted).to.equal(4);
			expect(takePermits(book, 300, {...question, asker: 'b', wanted: 100}).granted).to.equal(16);
			expect(takePermits(book, 1000, question).granted).to.equal(7);
		});

		it('keeps no more than its entries, and no full bucket follows an eviction', () => {
			const book = new QuotaBook(2);
			['a', 'b', 'c'].forEach(organisation => {
				takePermits(book, 0, {organisation, wanted: 20});
			});
			expect(book.countBuckets()).to.equal(2);
			expect(takePermits(book, 1000, {organisation: 'a', wanted: 100}).granted).to.be.at.most(14);
		});

		it('grants nothing without a share', () => {
			expect(takePermits(new QuotaBook(), 0, {share: 0, wanted: 5}).granted).to.be.at.most(3);
			expect(takePermits(new QuotaBook(), 0, {share: 0, homeForMs: 0}).waitMs).to.be.within(0, 2000);
		});
	});

	describe('rankHomes', () => {
		const members = Array.from({length: 730}, (_, index) => `host-${index}`);

		it('gives the same homes whatever the order of the members', () => {
			expect(rankHomes('o', members.toReversed(), 3)).to.deep.equal(rankHomes('o', members, 3));
		});

		it('moves only the organisations of a member that goes, to their second homes', () => {
			const organisations = Array.from({length: 500}, (_, index) => `organisation-${index}`);
			const without = members.filter(member => member !== 'host-7');
			organisations.forEach(organisation => {
				const [first, second] = rankHomes(organisation, members, 2);
				expect(rankHomes(organisation, without, 1)).to.deep.equal([first === 'host-7' ? second : first]);
			});
		});

		it('spreads organisations evenly', () => {
			const counts = new Map<string, number>();
			Array.from({length: 27_000}, (_, index) => rankHomes(`o${index}`, members, 1)[0]!).forEach(home => {
				counts.set(home, (counts.get(home) ?? 0) + 1);
			});
			expect(counts.size).to.equal(730);
			expect(Math.max(...counts.values())).to.be.below(70);
		});

		it('returns fewer homes when there are fewer members', () => {
			expect(rankHomes('o', ['a'], 2)).to.deep.equal(['a']);
			expect(rankHomes('o', [], 2)).to.deep.equal([]);
		});
	});

	describe('HomeHistory', () => {
		const members = ['a', 'b', 'c', 'd'];
		const [first = '', second = ''] = rankHomes('o', members, 2);
		const others = members.filter(id => id !== first);

		function findOwn(id: string): string {
			return Array.from({length: 100}, (_, index) => `o${index}`).find(name => rankHomes(name, members, 1)[0] === id)!;
		}

		function createHistory(selfId: string, memberIds: readonly string[]): HomeHistory {
			return new HomeHistory(selfId, {memberIds, known: memberIds.length}, 0);
		}

		it('starts the tenure of a successor again when the home is lost, and as a settled one when the home has left', () => {
			const lost = createHistory(second, members);
			lost.updateView({memberIds: others, known: 4}, 10_000);
			expect(lost.computeHomeForMs('o', 12_000)).to.equal(2000);
			const left = createHistory(second, members);
			left.updateView({memberIds: others, known: 3, leftIds: [first]}, 10_000);
			expect(left.computeHomeForMs('o', 12_000)).to.equal(5500);
		});

		it('leaves the tenure with the home before a newcomer until the newcomer has settled', () => {
			const history = createHistory(second, others);
			history.updateView({memberIds: members, known: 4}, 10_000);
			expect(history.computeHomeForMs('o', 13_500)).to.equal(13_500);
			expect(history.computeHomeForMs('o', 14_000)).to.equal(0);
		});

		it('starts the tenure again after a pause, in which another home may have taken over', () => {
			const history = createHistory(first, members);
			history.resume(9000);
			expect(history.computeHomeForMs('o', 10_000)).to.equal(1000);
		});

		it('ends the tenure of a node that leaves', () => {
			const history = createHistory(first, members);
			expect(history.computeHomeForMs('o', 1000)).to.equal(1000);
			history.leave();
			expect(history.computeHomeForMs('o', 1000)).to.equal(0);
		});

		it('raises the share only after the other side of a partition has had time to lower its own', () => {
			const history = createHistory('a', members);
			history.updateView({memberIds: ['a', 'b'], known: 4}, 10_000);
			expect(history.computeShare(10_000)).to.equal(0.5);
			history.updateView({memberIds: members, known: 4}, 20_000);
			expect(history.computeShare(23_000)).to.equal(0.5);
			expect(history.computeShare(23_500)).to.equal(1);
			expect(history.computeHomeForMs(findOwn('a'), 23_500)).to.equal(7000);
		});

		it('counts the members that askers know, so that a node started during a partition doesn\'t grant the whole rate', () => {
			const history = createHistory('a', ['a', 'b']);
			history.recordKnown(4, 1000);
			history.recordKnown(2, 2000);
			expect(history.computeShare(2000)).to.equal(0.5);
			expect(history.computeShare(12_000)).to.equal(1);
		});
	});
});
