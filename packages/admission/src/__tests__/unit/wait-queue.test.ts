import {expect} from 'chai';
import {WaitQueue, type QueuedRequest} from '../../index.js';

type Named = QueuedRequest & {readonly name: string};

function createItem(name: string, fields: Partial<QueuedRequest> = {}): Named {
	return {
		name, priority: 1, organisation: '', workMs: 100, dueAt: 1000, latestStartAt: 900, ...fields,
	};
}

function listNames(queue: WaitQueue<Named>): readonly string[] {
	return queue.list().map(({name}) => name);
}

describe('wait queue', () => {
	describe('with requests of different urgency', () => {
		it('puts urgent requests before less urgent ones, whatever the order of arrival', () => {
			const queue = new WaitQueue<Named>();
			[createItem('a', {priority: 2}), createItem('b', {priority: 0}), createItem('c', {priority: 1})].forEach(item => {
				queue.add(item);
			});
			expect(listNames(queue)).to.deep.equal(['b', 'c', 'a']);
		});

		it('puts a call due earlier before long work of the same priority, and keeps the order of arrival otherwise', () => {
			const queue = new WaitQueue<Named>();
			[createItem('work', {dueAt: 1200}), createItem('next', {dueAt: 1200}), createItem('call', {dueAt: 150})].forEach(item => {
				queue.add(item);
			});
			expect(listNames(queue)).to.deep.equal(['call', 'work', 'next']);
		});

		it('selects only requests that would be started before a new one', () => {
			const queue = new WaitQueue<Named>();
			[createItem('a', {priority: 2}), createItem('b', {priority: 0})].forEach(item => {
				queue.add(item);
			});
			expect(queue.selectAhead(createItem('c', {priority: 1})).map(({name}) => name)).to.deep.equal(['b']);
		});
	});

	describe('with advanced requests', () => {
		it('puts them before all others by due time, and counts them among those ahead of a new one', () => {
			const queue = new WaitQueue<Named>();
			const items = [createItem('urgent', {priority: 0}), createItem('late', {priority: 2, dueAt: 900}), createItem('later', {priority: 3, dueAt: 950}), createItem('last', {priority: 3})];
			items.forEach(item => {
				queue.add(item);
			});
			queue.advance(items[2]!);
			queue.advance(items[1]!);
			expect(listNames(queue)).to.deep.equal(['late', 'later', 'urgent', 'last']);
			expect(queue.listAdvanced().map(({name}) => name)).to.deep.equal(['late', 'later']);
			['', 'organisation'].forEach(organisation => {
				expect(queue.selectAhead(createItem('new', {priority: 0, organisation})).map(({name}) => name)).to.deep.equal(['late', 'later', 'urgent']);
			});
			expect(queue.takeNext()?.name).to.equal('late');
			queue.remove(items[2]!);
			expect(queue.listAdvanced()).to.deep.equal([]);
		});

		it('does not give them up for another organisation', () => {
			const queue = new WaitQueue<Named>();
			const items = ['one', 'two'].map(name => createItem(name, {priority: 3, organisation: 'large', workMs: 1000}));
			items.forEach(item => {
				queue.add(item);
			});
			queue.advance(items[1]!);
			expect(queue.findDisplaced({
				priority: 1, organisation: 'small', workMs: 10, dueAt: 0,
			})?.name).to.equal('one');
		});
	});

	describe('under overload', () => {
		it('removes requests that can no longer end in time, and keeps the others', () => {
			const queue = new WaitQueue<Named>();
			[createItem('late', {latestStartAt: 10}), createItem('early', {latestStartAt: 500})].forEach(item => {
				queue.add(item);
			});
			expect(queue.removeExpired(100).map(({name}) => name)).to.deep.equal(['late']);
			expect(queue.takeNext()?.name).to.equal('early');
			expect(queue.count()).to.equal(0);
		});

		it('removes a queued request', () => {
			const queue = new WaitQueue<Named>();
			const item = createItem('a');
			queue.add(item);
			queue.remove(item);
			expect(queue.takeNext()).to.equal(undefined);
		});

		it('starts the first request that is ready, and leaves those before it in their order', () => {
			const queue = new WaitQueue<Named>();
			['first', 'second', 'third'].forEach((name, index) => {
				queue.add(createItem(name, {dueAt: index}));
			});
			expect(queue.takeNext(({name}) => name !== 'first')?.name).to.equal('second');
			expect(queue.takeNext(() => false)).to.equal(undefined);
			expect(listNames(queue)).to.deep.equal(['first', 'third']);
		});
	});
});
