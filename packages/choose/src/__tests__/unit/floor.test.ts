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
	const eligible = servers.filter(server => isEligible(server));
	const serving = selectServing(servers, floor);
	const isDoubled = new Set(serving.map(({id}) => id)).size !== serving.length;
	return isDoubled || serving.length < Math.min(floor, eligible.length) || serving.some(server => !isEligible(server));
}

const serverArbitrary = fc.record({state: fc.constantFrom(...states), badness: fc.nat(10), isReachable: fc.boolean()});
const fleetArbitrary = fc.array(serverArbitrary, {maxLength: 30});
const floorArbitrary = fc.nat(40);

function createView(fleet: ReadonlyArray<{state: ServerState; badness: number; isReachable: boolean}>): readonly ServerRecord[] {
	return fleet.map(({state, badness}, index) => createServer(index, state, badness)).filter((_, index) => fleet[index]!.isReachable);
}

describe('floor', () => {
	describe('in a single view', () => {
		it('serves from at least as many servers as the floor, or from all eligible ones', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, (fleet, floor) => !hasFloorViolation(createView(fleet), floor)), {seed});
		});

		it('includes every healthy server', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, (fleet, floor) => {
				const view = createView(fleet);
				const serving = new Set(selectServing(view, floor));
				return view.filter(server => isHealthy(server)).every(server => serving.has(server));
			}), {seed});
		});

		it('uses no more unhealthy servers than the floor needs', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, (fleet, floor) => {
				const view = createView(fleet);
				const healthy = view.filter(server => isHealthy(server)).length;
				return selectServing(view, floor).length <= Math.max(healthy, floor);
			}), {seed});
		});

		it('selects the same servers whatever their order', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, (fleet, floor) => {
				const view = createView(fleet);
				const ids = selectServing(view, floor).map(({id}) => id).toSorted((a, b) => a.localeCompare(b));
				const reversed = selectServing(view.toReversed(), floor).map(({id}) => id).toSorted((a, b) => a.localeCompare(b));
				expect(reversed).to.deep.equal(ids);
			}), {seed});
		});

		it('keeps every selected server when the floor is raised', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, floorArbitrary, (fleet, floor, raise) => {
				const view = createView(fleet);
				const raised = new Set(selectServing(view, floor + raise));
				return selectServing(view, floor).every(server => raised.has(server));
			}), {seed});
		});

		it('never serves from fewer servers than the floor because one is ejected', () => {
			fc.assert(fc.property(fleetArbitrary, floorArbitrary, fc.nat(29), (fleet, floor, victim) => {
				const before = createView(fleet);
				const after = before.map((server, index) => index === victim && server.state === 'ready' ? {...server, state: 'ejected' as const} : server);
				return selectServing(after, floor).length >= Math.min(floor, selectServing(before, floor).length);
			}), {seed});
		});
	});

	describe('in views that differ', () => {
		it('holds the floor under any interleaving of ejections, leaves, deaths, returns and raised floors', () => {
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

		it('holds the floor in every view of four servers, and selects the same servers in equal views', () => {
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

	describe('by server state', () => {
		const cases: ReadonlyArray<{name: string; states: readonly ServerState[]; floor: number; serving: readonly number[]}> = [
			{
				name: 'counts a warming server towards the floor', states: ['warming', 'ready', 'ejected'], floor: 2, serving: [0, 1],
			},
			{
				name: 'does not count a server on probation', states: ['probation', 'ready'], floor: 1, serving: [1],
			},
			{
				name: 'uses a server on probation before an ejected one', states: ['ejected', 'probation', 'ready'], floor: 2, serving: [2, 1],
			},
			{
				name: 'neither counts nor uses a leaving server', states: ['leaving', 'ejected', 'ready'], floor: 2, serving: [2, 1],
			},
			{
				name: 'uses the ejected servers with the least badness when all are ejected', states: ['ejected', 'ejected', 'ejected'], floor: 2, serving: [0, 1],
			},
		];
		cases.forEach(({name, states: given, floor, serving}) => {
			it(name, () => {
				const servers = given.map((state, index) => createServer(index, state));
				expect(selectServing(servers, floor).map(({id}) => id)).to.deep.equal(serving.map(index => `server-${index}`));
			});
		});

		it('selects for trials only servers on probation that the floor does not use', () => {
			const servers = [createServer(0, 'probation'), createServer(1, 'probation'), createServer(2, 'ejected')];
			const serving = selectServing(servers, 1);
			expect(selectTrialServers(servers, serving).map(({id}) => id)).to.deep.equal(['server-1']);
		});
	});
});
