import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {Caller} from '@limpetbarrow/caller';
import {formatAddress} from '@limpetbarrow/core';
import {request} from 'undici';
import {startFleet, stopFleet, type Fleet} from '../../index.js';

const pollMs = 50;

async function waitFor(condition: () => Promise<boolean>): Promise<void> {
	if (!await condition()) {
		await wait(pollMs);
		await waitFor(condition);
	}
}

describe('a fleet of processes', () => {
	let fleet: Fleet;

	before(async () => {
		fleet = await startFleet([
			{
				id: 'one', region: 'marmara', failureDomain: 'marmara-1', services: [],
			},
			{
				id: 'two', region: 'marmara', failureDomain: 'marmara-2', services: ['fitting-desk'],
			},
		]);
	});

	after(async () => {
		await stopFleet(fleet);
	});

	it('serves a request by way of two nodes once a release is applied', async () => {
		const [first] = fleet.nodes;
		const note = {
			id: 'first',
			operator: 'test',
			base: 0,
			added: {services: [{name: 'fitting-desk'}], routes: [{name: 'fitting-desk', pathPrefix: '/', service: 'fitting-desk'}]},
		};
		const applied = await request(`http://${formatAddress(first!.record.adminAddress)}/releases`, {method: 'POST', body: JSON.stringify(note)});
		expect(applied.statusCode, await applied.body.text()).to.equal(200);
		const caller = new Caller([`http://${formatAddress(first!.record.ingressAddress)}`]);
		await waitFor(async () => {
			const {ran} = await caller.send({method: 'GET', path: '/fittings/1'});
			return ran === 'ran';
		});

		const fitting = await caller.send({method: 'GET', path: '/fittings/7', headers: {'x-request-tag': 'f7'}});
		expect(JSON.parse(fitting.text)).to.deep.include({server: 'two-fitting-desk', path: '/fittings/7', tag: 'f7'});

		const order = await caller.send({
			method: 'POST', path: '/orders', body: '{"shoe":34}', headers: {'x-request-tag': 'o1'},
		});
		expect(JSON.parse(order.text)).to.deep.include({path: '/orders', tag: 'o1', received: 11});
	});
});
