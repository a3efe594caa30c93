import {connect} from 'node:net';
import {expect} from 'chai';
import {request, type Dispatcher} from 'undici';
import {
	formatAddress, MetricRegistry, SilentLogger, type Address, type NodeRecord,
} from '@limpetbarrow/core';
import {Announcements, MemberTable} from '@limpetbarrow/members';
import {ReleaseState} from '@limpetbarrow/releases';
import {MemoryObjectStore, MemoryPlatform} from '@limpetbarrow/stand-ins';
import {AdminServer} from '../../index.js';

const anyPort: Address = {host: '127.0.0.1', port: 0};
const record: NodeRecord = {
	id: 'one',
	incarnation: 1,
	sequence: 1,
	placement: {region: 'r', failureDomain: 'd'},
	linkAddress: anyPort,
	gossipAddress: anyPort,
	ingressAddress: anyPort,
	adminAddress: anyPort,
	state: 'serving',
	release: 0,
	servers: [],
	poison: [],
};

describe('admin API', () => {
	const releases = new ReleaseState();
	const logger = new SilentLogger();
	const admin = new AdminServer({
		announcements: new Announcements(logger),
		table: new MemberTable(record),
		releases,
		platform: new MemoryObjectStore(new MemoryPlatform()),
		metrics: new MetricRegistry(),
		logger,
		isStopping: () => false,
	});
	let address: Address;

	async function sendRequest(method: Dispatcher.HttpMethod, path: string, body?: string): Promise<{readonly status: number; readonly value: unknown}> {
		const answer = await request(`http://${formatAddress(address)}${path}`, {method, body: body ?? null});
		return {status: answer.statusCode, value: await answer.body.json()};
	}

	before(async () => {
		address = await admin.listen(anyPort);
	});

	after(() => {
		admin.close();
	});

	const cases: ReadonlyArray<{readonly name: string; readonly method: Dispatcher.HttpMethod; readonly path: string; readonly body?: string; readonly status: number; readonly code: number}> = [
		{
			name: 'an unknown path', method: 'GET', path: '/none', status: 404, code: 9004,
		},
		{
			name: 'a path without segments', method: 'GET', path: '//', status: 404, code: 9004,
		},
		{
			name: 'a method that the path does not support', method: 'DELETE', path: '/releases', status: 405, code: 1005,
		},
		{
			name: 'a body that is not JSON', method: 'POST', path: '/releases', body: '{', status: 400, code: 1001,
		},
		{
			name: 'a release note without a body', method: 'POST', path: '/releases', status: 400, code: 6001,
		},
		{
			name: 'an announcement larger than its limit', method: 'POST', path: '/announce', body: `"${'x'.repeat(70_000)}"`, status: 413, code: 1003,
		},
		{
			name: 'a query parameter that is not a non-negative integer', method: 'GET', path: '/releases?after=-1', status: 400, code: 1001,
		},
		{
			name: 'a body that is not an announcement', method: 'POST', path: '/announce', body: '[]', status: 400, code: 8001,
		},
	];
	cases.forEach(({
		name, method, path, body, status, code,
	}) => {
		it(`refuses ${name} with the status and code of the failure`, async () => {
			const answer = await sendRequest(method, path, body);
			expect(answer.status).to.equal(status);
			expect(answer.value).to.include({code});
		});
	});

	it('answers bytes that are not HTTP with code 1001', async () => {
		const text = await new Promise<string>(resolve => {
			let received = '';
			const socket = connect(address.port, address.host, () => {
				socket.write('nonsense\r\n\r\n');
			});
			socket.on('data', chunk => {
				received += chunk.toString();
			});
			socket.on('close', () => {
				resolve(received);
			});
		});
		expect(text).to.contain('"code":1001');
	});

	it('accepts a release note, shows it in the audit trail and serves its release to other nodes', async () => {
		const note = {
			id: 'a', operator: 'ayse', base: 0, comment: 'why', added: {services: [{name: 'desk'}]},
		};
		const checked = await sendRequest('POST', '/releases/check', JSON.stringify(note));
		expect(checked.status).to.equal(200);
		expect(releases.getNumber()).to.equal(0);
		const applied = await sendRequest('POST', '/releases', JSON.stringify(note));
		expect(applied.value).to.deep.include({
			number: 1, operator: 'ayse', note: 'a', base: 0, comment: 'why',
		});
		const log = await sendRequest('GET', '/releases/log');
		expect(log.value).to.deep.equal({source: 'platform', entries: [applied.value]});
		const pages = await sendRequest('GET', '/releases?after=0');
		expect((pages.value as readonly unknown[]).length).to.equal(1);
		const configuration = await sendRequest('GET', '/releases/configuration');
		expect(configuration.value).to.deep.include({release: 1});
		releases.applyConfiguration({...releases.getConfiguration(), release: 50});
		const gone = await sendRequest('GET', '/releases?after=3');
		expect(gone.value).to.include({code: 6005});
	});
});
