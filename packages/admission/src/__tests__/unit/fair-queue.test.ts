import {expect} from 'chai';
import fc from 'fast-check';
import {
	FairShares, maxKeptTags, WaitQueue, type QueuedRequest,
} from '../../index.js';

type Named = QueuedRequest & {readonly name: string};
type Step = Pick<QueuedRequest, 'priority' | 'organisation' | 'dueAt' | 'workMs'> & {readonly isTake: boolean};

const seed = 20_261_206;
const organisationCount = 27_000;

function createItem(name: string, fields: Partial<QueuedRequest> = {}): Named {
	return {
		name, priority: 1, organisation: name.split('-')[0]!, workMs: 100, dueAt: 1000, latestStartAt: 900, ...fields,
	};
}

function createQueue(items: readonly Named[]): WaitQueue<Named> {
	const queue = new WaitQueue<Named>();
	items.forEach(item => {
		queue.add(item);
	});
	return queue;
}

function listNames(queue: WaitQueue<Named>): readonly string[] {
	return queue.list().map(({name}) => name);
}

function takeNames(queue: WaitQueue<Named>): readonly string[] {
	return Array.from({length: queue.count()}, () => queue.takeNext()!.name);
}

/** Applies the steps to the queue; returns the names of the requests taken. */
function playSteps(queue: WaitQueue<Named>, steps: readonly Step[]): readonly string[] {
	return steps.flatMap(({isTake, ...fields}, index) => {
		if (isTake) {
			return queue.takeNext()?.name ?? [];
		}

		queue.add(createItem(`item-${index}`, fields));
		return [];
	});
}

function createStep(organisations: readonly string[]): fc.Arbitrary<Step> {
	return fc.record({
		isTake: fc.integer({min: 0, max: 9}).map(draw => draw < 4),
		priority: fc.integer({min: 0, max: 2}),
		organisation: fc.constantFrom(...organisations),
		dueAt: fc.integer({min: 0, max: 50}),
		workMs: fc.integer({min: 1, max: 500}),
	});
}

describe('wait queue with requests of organisations', () => {
	// Guards against a backlog of one organisation that delays the others.
	it('starts requests of organisations in turn, by work and not by number', () => {
		const queue = createQueue([
			...['a-1', 'a-2', 'a-3', 'a-4'].map(name => createItem(name, {workMs: 50})),
			...['b-1', 'b-2'].map(name => createItem(name, {workMs: 100, dueAt: 2000})),
		]);
		expect(listNames(queue)).to.deep.equal(['a-1', 'b-1', 'a-2', 'a-3', 'b-2', 'a-4']);
	});

	it('starts the requests of one organisation by due time', () => {
		expect(listNames(createQueue([createItem('a-1', {dueAt: 300}), createItem('a-2', {dueAt: 100}), createItem('b-1', {dueAt: 200})]))).to.deep.equal(['a-2', 'b-1', 'a-1']);
	});

	it('starts no request before one of a better priority', () => {
		expect(listNames(createQueue([createItem('a-1', {priority: 2}), createItem('b-1', {priority: 2}), createItem('a-2', {priority: 0})]))).to.deep.equal(['a-2', 'a-1', 'b-1']);
	});

	it('starts a call due no later than the next request of an organisation before it, whatever is due first among the others', () => {
		const queue = createQueue([createItem('a-1', {dueAt: 500}), createItem('a-2', {dueAt: 600}), createItem('b-1', {dueAt: 900}), createItem('call', {organisation: '', dueAt: 700})]);
		expect(listNames(queue)).to.deep.equal(['a-1', 'call', 'b-1', 'a-2']);
	});

	it('remembers what an organisation got while others wait, and gives nothing for the time it was away', () => {
		const queue = createQueue([createItem('a-1'), createItem('b-1', {dueAt: 2000}), createItem('b-2', {dueAt: 2000})]);
		queue.takeNext();
		queue.add(createItem('a-2', {dueAt: 0}));
		queue.add(createItem('c-1', {dueAt: 3000}));
		expect(takeNames(queue)).to.deep.equal(['b-1', 'c-1', 'a-2', 'b-2']);
	});

	// Guards against the starvation of an organisation that has got something: a new one that sends once goes before it only for a while.
	it('starts a request although ever new organisations arrive', () => {
		const queue = createQueue([createItem('a-1'), createItem('a-2'), createItem('b-1', {dueAt: 2000})]);
		queue.takeNext();
		const taken = Array.from({length: 20}, (_, index) => {
			queue.add(createItem(`new${index}-1`, {dueAt: 0}));
			return queue.takeNext()!.name;
		});
		expect(taken.slice(0, 8)).to.include('a-2').and.to.include('b-1');
	});

	describe('when it is full', () => {
		const backlog = ['a-1', 'a-2', 'a-3', 'b-1', 'b-2'].map((name, index) => createItem(name, {dueAt: index}));

		it('gives up the last request of the organisation with most work, for one of an organisation with less', () => {
			const queue = createQueue(backlog);
			expect(queue.findDisplaced(createItem('c-1'))?.name).to.equal('a-3');
			expect(queue.findDisplaced(createItem('c-1', {workMs: 250}))?.name).to.equal('a-3');
			expect(queue.findDisplaced(createItem('c-1', {workMs: 300}))).to.equal(undefined);
			expect(queue.findDisplaced(createItem('b-3'))).to.equal(undefined);
			expect(queue.findDisplaced(createItem('a-4'))).to.equal(undefined);
		});

		it('gives up no request of a better priority', () => {
			const queue = createQueue([...backlog, createItem('d-1', {priority: 2, workMs: 150})]);
			expect(queue.findDisplaced(createItem('c-1', {priority: 2}))?.name).to.equal('d-1');
			expect(queue.findDisplaced(createItem('c-1', {priority: 3}))).to.equal(undefined);
		});

		it('gives up no request without an organisation, and takes all of those for one organisation', () => {
			const calls = ['call-1', 'call-2', 'call-3'].map(name => createItem(name, {organisation: ''}));
			expect(createQueue([...calls, createItem('a-1')]).findDisplaced(createItem('b-1', {workMs: 10}))?.name).to.equal('a-1');
			expect(createQueue(calls).findDisplaced(createItem('b-1', {workMs: 10}))).to.equal(undefined);
			expect(createQueue([...calls, ...backlog]).findDisplaced(createItem('call-4', {organisation: ''}))).to.equal(undefined);
		});
	});

	it('keeps tags of few organisations only, however many have sent', () => {
		const shares = new FairShares();
		const queued = new Set(['waiting', 'other']);
		queued.forEach(organisation => {
			shares.recordArrival(organisation);
		});
		Array.from({length: organisationCount}, (_, index) => `organisation-${index}`).forEach(organisation => {
			shares.recordArrival(organisation);
			shares.recordStart(organisation, 1_000_000, {queued: new Set([...queued, organisation]), left: queued});
			expect(shares.countTags()).to.be.at.most(maxKeptTags + queued.size);
		});
	});

	describe('in any order of arrivals and starts', () => {
		// Guards against a change for deployments without organisations.
		it('starts requests without an organisation by priority, due time and arrival', () => {
			fc.assert(fc.property(fc.array(createStep(['']), {maxLength: 60}), steps => {
				const waiting: Named[] = [];
				const expected = steps.flatMap(({isTake, ...fields}, index) => {
					if (isTake) {
						return waiting.shift()?.name ?? [];
					}

					waiting.push(createItem(`item-${index}`, fields));
					waiting.sort((one, other) => one.priority - other.priority || one.dueAt - other.dueAt);
					return [];
				});
				expect(playSteps(new WaitQueue<Named>(), steps)).to.deep.equal(expected);
			}), {seed, numRuns: 300});
		});

		it('starts the requests ahead of a new one before it, and no others', () => {
			fc.assert(fc.property(fc.array(createStep(['', 'a', 'b', 'c']), {maxLength: 60}), createStep(['a', 'b', 'c', 'd']), (steps, newStep) => {
				const queue = new WaitQueue<Named>();
				playSteps(queue, steps);
				const item = createItem('new', newStep);
				const ahead = queue.selectAhead(item).map(({name}) => name);
				const aheadOfAbsent = queue.selectAhead({...item, organisation: undefined}).length;
				queue.add(item);
				const order = listNames(queue);
				expect(order.slice(0, order.indexOf('new'))).to.deep.equal(ahead);
				expect(newStep.organisation !== 'd' || aheadOfAbsent === ahead.length).to.equal(true);
				expect(takeNames(queue)).to.deep.equal(order);
			}), {seed, numRuns: 300});
		});

		it('lets a request without an organisation wait only for those that it would wait for by due time alone', () => {
			fc.assert(fc.property(fc.array(createStep(['', 'a', 'b', 'c']), {maxLength: 60}), steps => {
				const queue = new WaitQueue<Named>();
				playSteps(queue, steps);
				const items = queue.list();
				items.forEach((item, index) => {
					const isLate = items.slice(0, index).some(other => other.priority === item.priority && other.dueAt > item.dueAt);
					expect(item.organisation === '' && isLate).to.equal(false);
				});
			}), {seed, numRuns: 300});
		});
	});
});
