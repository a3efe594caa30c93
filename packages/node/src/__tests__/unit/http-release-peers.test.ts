import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {foldResult, type Address, type NodeRecord} from '@limpetbarrow/core';
import {MemberTable} from '@limpetbarrow/members';
import {HttpReleasePeers} from '../../index.js';

const anyPort: Address = {host: '127.0.0.1', port: 0};

function createRecord(id: string, adminAddress: Address): NodeRecord {
	return {
		id,
		incarnation: 1,
		sequence: 1,
		placement: {region: 'r', failureDomain: 'd'},
		linkAddress: anyPort,
		gossipAddress: anyPort,
		ingressAddress: anyPort,
		adminAddress,
		state: 'serving',
		release: 3,
		servers: [],
		poison: [],
	};
}

const note = {id: 'a', operator: 'o', base: 0};

describe('HttpReleasePeers', () => {
	let server: Server;
	let peers: HttpReleasePeers;
	let status = 200;
	let body = '';

	before(async () => {
		server = createServer((_, response) => {
			response.writeHead(status);
			response.end(body);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const table = new MemberTable(createRecord('self', anyPort));
		table.merge([
			createRecord('peer', {host: '127.0.0.1', port: (server.address() as AddressInfo).port}),
			createRecord('dead', {host: '127.0.0.1', port: 1}),
		]);
		peers = new HttpReleasePeers(table);
	});

	after(async () => {
		await peers.close();
		server.closeAllConnections();
		server.close();
	});

	const cases: ReadonlyArray<{readonly name: string; readonly peer?: string; readonly status?: number; readonly body: () => string; readonly answer: string}> = [
		{name: 'answers a page of releases', body: () => JSON.stringify([{number: 1, acceptedAt: 0, note}]), answer: '1 releases'},
		{name: 'answers an empty page', body: () => '[]', answer: '0 releases'},
		{
			name: 'answers status 410 (gone)', status: 410, body: () => '{}', answer: 'releaseGone',
		},
		{
			name: 'answers status 500', status: 500, body: () => '{}', answer: 'linkUnreachable',
		},
		{name: 'answers a body that is not JSON', body: () => '<html>', answer: 'malformedRequest'},
		{name: 'answers an object instead of a list', body: () => '{"number":1}', answer: 'releaseUnreadable'},
		{name: 'answers a release without a note', body: () => '[{"number":1}]', answer: 'releaseUnreadable'},
		{name: 'answers a release with a number below one', body: () => JSON.stringify([{number: 0, acceptedAt: 0, note}]), answer: 'releaseUnreadable'},
		{name: 'answers more releases than the limit', body: () => JSON.stringify(Array.from({length: 1001}, () => 1)), answer: 'releaseUnreadable'},
		{name: 'answers more bytes than the limit', body: () => ' '.repeat(33_554_433), answer: 'bodyTooLarge'},
		{
			name: 'refuses connections', peer: 'dead', body: () => '', answer: 'linkUnreachable',
		},
		{
			name: 'is not a member', peer: 'none', body: () => '', answer: 'linkUnreachable',
		},
	];
	cases.forEach(({name, peer = 'peer', status: answerStatus = 200, body: createBody, answer}) => {
		it(`returns releases or the matching failure when the other node ${name}`, async () => {
			status = answerStatus;
			body = createBody();
			const result = await peers.fetchReleases(peer, 0).run();
			expect(foldResult(result, failure => failure.name, releases => `${releases.length} releases`)).to.equal(answer);
		});
	});

	it('fetches a whole configuration, and fails with releaseUnreadable if a part is missing', async () => {
		status = 200;
		body = JSON.stringify({
			release: 7, services: [{name: 'desk'}], routes: [], terms: [], organisations: [],
		});
		const result = await peers.fetchConfiguration('peer').run();
		expect(result.map(({release, services}) => [release, services.has('desk')]).extract()).to.deep.equal([7, true]);
		body = '{"release":7}';
		const incomplete = await peers.fetchConfiguration('peer').run();
		expect(foldResult(incomplete, ({name}) => name, () => '')).to.equal('releaseUnreadable');
	});
});
