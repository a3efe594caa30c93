import {expect} from 'chai';
import fc from 'fast-check';
import {type ServerRecord, type ServerState} from '@limpetbarrow/core';
import {
	isHealthy, isEligible, selectServing, selectTrialServers,
} from '../../index.js';

const seed = 20_251;
const states: readonly ServerState[] = ['ready', 'warming', 'probation', 'ejected', 'leaving'];

function createServer(index: number, state: ServerState, badness = index): ServerRecord {
	return {
		id: `server-${index}`, service: 'fitting-desk', slots: 3, state, generation: 1, badness,
	};
}

function listViews(size: number): ReadonlyArray<readonly ServerRecord[]> {
	return Array.from({length: states.length ** size}, (_, code) => Array.from({length: size}, (_unused, index) => {
		const state = states[Math.floor(code / (states.length ** index)) % states.length]!;
		return createServer(index, state);
	}));
}

function hasFloorViolation(servers: readonly ServerRecord[], floor: number): boolean {
	const present = servers.filter(server => isEligible(server));
	const serving = selectServing(servers, floor);
	const isDoubled = new Set(serving.map(({id}) => id)).size !== serving.length;
	return isDoubled || serving.length < Math.min(floor, present.length) || serving.some(server => !isEligible(server));
}

const serverArbitrary = fc.record({state: fc.constantFrom(...states), badness: fc.nat(10), isReachable: fc.boolean()});
const fleetArbitrary = fc.array(serverArbitrary, {maxLength: 30});
const floorArbitrary = fc.nat(40);

function createView(fleet: ReadonlyArray<{state: ServerState; badness: number; isReachable: boolean}>): readonly ServerRecord[] {
	return fleet.map(({state, badness}, index) => createServer(index, state, badness)).filter((_, index) => fleet[index]!.isReachable);
}

describe('floor', () => {
	describe('any one view', () => {
		it('serves from the floor or from all that are present', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, (fleet, floor) => !hasFloorViolation(createView(fleet), floor)), {seed});
		});

		it('leaves no healthy server out', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, (fleet, floor) => {
				const view = createView(fleet);
				const serving = new Set(selectServing(view, floor));
				return view.filter(server => isHealthy(server)).every(server => serving.has(server));
			}), {seed});
		});

		it('takes back no more than the floor needs', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, (fleet, floor) => {
				const view = createView(fleet);
				const healthy = view.filter(server => isHealthy(server)).length;
				return selectServing(view, floor).length <= Math.max(healthy, floor);
			}), {seed});
		});

		it('chooses the same servers in whatever order they are listed', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, (fleet, floor) => {
				const view = createView(fleet);
				const ids = selectServing(view, floor).map(({id}) => id).toSorted((a, b) => a.localeCompare(b));
				const reversed = selectServing(view.toReversed(), floor).map(({id}) => id).toSorted((a, b) => a.localeCompare(b));
				expect(reversed).to.deep.equal(ids);
			}), {seed});
		});

		it('keeps every server it had when the floor is raised', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, floorArbitrary, (fleet, floor, raise) => {
				const view = createView(fleet);
				const raised = new Set(selectServing(view, floor + raise));
				return selectServing(view, floor).every(server => raised.has(server));
			}), {seed});
		});

		it('never serves from fewer because a server is ejected', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, fc.nat(29), (fleet, floor, victim) => {
				const before = createView(fleet);
				const after = before.map((server, index) => index === victim && server.state === 'ready' ? {...server, state: 'ejected' as const} : server);
				return selectServing(after, floor).length >= Math.min(floor, selectServing(before, floor).length);
			}), {seed});
		});
	});

	describe('views that differ', () => {
		it('hold under any race of ejections, leaves, deaths and a raised floor', () => {
			const change = fc.record({
				view: fc.nat(1), server: fc.nat(7), event: fc.constantFrom('eject', 'leave', 'die', 'return', 'hear', 'raise'), badness: fc.nat(10),
			});
			fc.assert(fc.property(fc.array(change, {maxLength: 60}), fc.nat(8), (changes, floor) => {
				const initial = Array.from({length: 8}, (_, index) => createServer(index, 'ready', 0));
				let views: ReadonlyArray<readonly ServerRecord[]> = [initial, initial];
				let floors: readonly number[] = [floor, floor];
				return changes.every(({view, server, event, badness}) => {
					const id = `server-${server}`;
					const known = views[1 - view]!.find(other => other.id === id);
					const apply = (records: readonly ServerRecord[]): readonly ServerRecord[] => {
						switch (event) {
							case 'eject': {
								return records.map(record => record.id === id && record.state !== 'leaving' ? {...record, state: 'ejected' as const, badness} : record);
							}

							case 'leave': {
								return records.map(record => record.id === id ? {...record, state: 'leaving' as const} : record);
							}

							case 'die': {
								return records.filter(record => record.id !== id);
							}

							case 'return': {
								return records.map(record => record.id === id && record.state === 'ejected' ? {...record, state: 'probation' as const} : record);
							}

							case 'hear': {
								return known ? [...records.filter(record => record.id !== id), known] : records;
							}

							case 'raise': {
								return records;
							}
						}
					};

					views = views.map((records, index) => index === view ? apply(records) : records);
					floors = floors.map((bound, index) => index === view && event === 'raise' ? bound + 1 : bound);
					return views.every((records, index) => !hasFloorViolation(records, floors[index]!));
				});
			}), {seed});
		});

		it('hold in every pair of views of four servers, for every floor', () => {
			const views = listViews(4);
			const floors = [0, 1, 2, 3, 4, 5];
			const breaches = views.filter(view => floors.some(floor => hasFloorViolation(view, floor)));
			expect(breaches).to.deep.equal([]);
			const servingIds = views.map(view => selectServing(view, 2).map(({id}) => id));
			const disjoint = servingIds.flatMap((ids, first) => servingIds.filter((others, second) => {
				const areAgreed = views[first]!.every((server, index) => server.state === views[second]![index]!.state);
				return areAgreed && ids.join(',') !== others.join(',');
			}));
			expect(disjoint).to.deep.equal([]);
		});
	});

	describe('states', () => {
		const cases: ReadonlyArray<{name: string; states: readonly ServerState[]; floor: number; serving: readonly number[]}> = [
			{
				name: 'a warming server counts', states: ['warming', 'ready', 'ejected'], floor: 2, serving: [0, 1],
			},
			{
				name: 'a server on probation does not count', states: ['probation', 'ready'], floor: 1, serving: [1],
			},
			{
				name: 'one on probation is taken before an ejected one', states: ['ejected', 'probation', 'ready'], floor: 2, serving: [2, 1],
			},
			{
				name: 'a leaving server neither counts nor serves', states: ['leaving', 'ejected', 'ready'], floor: 2, serving: [2, 1],
			},
			{
				name: 'all ejected serve by the least evidence', states: ['ejected', 'ejected', 'ejected'], floor: 2, serving: [0, 1],
			},
		];
		cases.forEach(({name, states: given, floor, serving}) => {
			it(name, () => {
				const servers = given.map((state, index) => createServer(index, state));
				expect(selectServing(servers, floor).map(({id}) => id)).to.deep.equal(serving.map(index => `server-${index}`));
			});
		});

		it('gives a trial only to servers on probation that the floor leaves out', () => {
			const servers = [createServer(0, 'probation'), createServer(1, 'probation'), createServer(2, 'ejected')];
			const serving = selectServing(servers, 1);
			expect(selectTrialServers(servers, serving).map(({id}) => id)).to.deep.equal(['server-1']);
		});
	});
});
