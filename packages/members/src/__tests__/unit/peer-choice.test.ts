import {expect} from 'chai';
import {type NodeRecord} from '@limpetbarrow/core';
import {MemberTable, pickPeers, selectProbeCycle} from '../../index.js';

function createRecord(domain: number, index: number): NodeRecord {
	const address = {host: `10.${domain}.0.${index}`, port: 1};
	return {
		id: `n${domain}-${index}`,
		incarnation: 1,
		sequence: 1,
		placement: {region: `r${Math.floor(domain / 2)}`, failureDomain: `d${domain}`},
		linkAddress: address,
		gossipAddress: address,
		ingressAddress: address,
		adminAddress: address,
		state: 'serving',
		release: 0,
		servers: [],
		poison: [],
	};
}

/** Creates the table of node 0 in domain 0, in a fleet of six failure domains in three regions. */
function createTable(perDomain: number): MemberTable {
	const records = Array.from({length: 6 * perDomain}, (_, index) => createRecord(index % 6, Math.floor(index / 6)));
	const [self, ...others] = records;
	const table = new MemberTable(self!);
	table.merge(others);
	return table;
}

/** Creates a random number generator for [0, 1); the same seed gives the same sequence. */
function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * 48_271) + 11) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

function measureDistantShare(perDomain: number): number {
	const table = createTable(perDomain);
	const getRandomNumber = createRandom(4711);
	const picked = Array.from({length: 2000}, () => pickPeers(table, 1, getRandomNumber)).flat();
	expect(picked.length).to.equal(2000);
	return picked.filter(({host}) => !host.startsWith('10.0.')).length / 2000;
}

describe('peer choice', () => {
	describe('for failure domains of different sizes', () => {
		it('sends about the same number of messages per update to other failure domains', () => {
			expect(measureDistantShare(4)).to.be.within(0.15, 0.25);
			const messagesToOtherDomains = [10, 40, 120].map(perDomain => measureDistantShare(perDomain) * perDomain);
			messagesToOtherDomains.forEach(count => {
				expect(count).to.be.within(0.8, 1.9);
			});
		});
	});

	it('picks from other failure domains if there is no near member', () => {
		const table = new MemberTable(createRecord(0, 0));
		table.merge([createRecord(3, 1)]);
		expect(pickPeers(table, 2, () => 0.9).map(({host}) => host)).to.deep.equal(['10.3.0.1']);
	});

	it('picks no member if there is no other', () => {
		expect(pickPeers(new MemberTable(createRecord(0, 0)), 2, () => 0.5)).to.deep.equal([]);
	});

	it('includes all near members and some distant ones in a probe cycle', () => {
		const table = createTable(10);
		const ids = table.listLive().map(({record}) => record.id).filter(id => id !== 'n0-0');
		const probed = selectProbeCycle(table, ids);
		expect(probed.filter(id => id.startsWith('n0-')).length).to.equal(9);
		expect(probed.length).to.equal(12);
	});
});
