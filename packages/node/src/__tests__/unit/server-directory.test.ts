import {expect} from 'chai';
import {type NodeRecord, type ServerRecord} from '@limpetbarrow/core';
import {MemberTable} from '@limpetbarrow/members';
import {ServerDirectory} from '../../routing/server-directory.js';

const address = {host: '127.0.0.1', port: 1};

function createServer(generation: number, state: ServerRecord['state'] = 'ready'): ServerRecord {
	return {
		id: 's', service: 'catalogue', slots: 3, state, generation, badness: 0,
	};
}

function createRecord(id: string, servers: readonly ServerRecord[], state: NodeRecord['state'] = 'serving'): NodeRecord {
	return {
		id,
		incarnation: 1,
		sequence: 1,
		placement: {region: 'volta', failureDomain: 'volta-1'},
		linkAddress: address,
		gossipAddress: address,
		ingressAddress: address,
		adminAddress: address,
		state,
		release: 1,
		servers,
		poison: [],
	};
}

function listNodes(records: readonly NodeRecord[], dead: readonly string[] = []): readonly string[] {
	const table = new MemberTable(createRecord('self', []));
	table.merge(records);
	dead.forEach(id => {
		table.setStatus(id, 'dead');
	});
	return new ServerDirectory(table).listCandidates('catalogue').map(({nodeId}) => nodeId);
}

describe('server directory', () => {
	describe('a server announced to two nodes', () => {
		it('is listed once, at its higher generation, in whichever order the records arrive', () => {
			const records = [createRecord('a', [createServer(1)]), createRecord('b', [createServer(2)])];
			expect([listNodes(records), listNodes(records.toReversed())]).to.deep.equal([['b'], ['b']]);
		});

		it('is listed at the lower node id when the generations are equal', () => {
			const records = [createRecord('a', [createServer(2)]), createRecord('b', [createServer(2)])];
			expect([listNodes(records), listNodes(records.toReversed())]).to.deep.equal([['a'], ['a']]);
		});

		it('is listed at the other node when the node with the higher generation is dead', () => {
			expect(listNodes([createRecord('a', [createServer(1)]), createRecord('b', [createServer(2)])], ['b'])).to.deep.equal(['a']);
		});

		it('is listed as leaving when it is leaving at the higher generation', () => {
			const table = new MemberTable(createRecord('self', []));
			table.merge([createRecord('a', [createServer(1)]), createRecord('b', [createServer(2, 'leaving')])]);
			expect(new ServerDirectory(table).listCandidates('catalogue').map(({server}) => server.state)).to.deep.equal(['leaving']);
		});
	});

	it('lists the servers of a stopping node until they are announced to another node', () => {
		expect(listNodes([createRecord('a', [createServer(1)], 'stopping')])).to.deep.equal(['a']);
		expect(listNodes([createRecord('a', [createServer(1)], 'stopping'), createRecord('b', [createServer(2)])])).to.deep.equal(['b']);
	});
});
