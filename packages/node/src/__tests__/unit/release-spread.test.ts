import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {request} from 'undici';
import {
	formatAddress, SilentLogger, type Address, type NodeRecord,
} from '@limpetbarrow/core';
import {PlatformStandIn} from '@limpetbarrow/stand-ins';
import {LimpetbarrowNode, parseSettings, type FleetStatus} from '../../index.js';

const anyPort = '127.0.0.1:0';
const pollMs = 50;

async function waitFor(condition: () => Promise<boolean>): Promise<void> {
	if (!await condition()) {
		await wait(pollMs);
		await waitFor(condition);
	}
}

describe('spread of a release between nodes', () => {
	const platform = new PlatformStandIn();
	const nodes: LimpetbarrowNode[] = [];
	let platformAddress: Address;

	async function startNode(id: string, seeds: readonly Address[]): Promise<NodeRecord> {
		const settings = parseSettings({
			id,
			region: 'volta',
			failureDomain: 'volta-1',
			ingress: anyPort,
			admin: anyPort,
			link: anyPort,
			gossip: anyPort,
			seeds: seeds.map(seed => formatAddress(seed)).join(','),
			platform: `http://${formatAddress(platformAddress)}`,
			stopTimeoutMs: 100,
			lameDuckMs: 0,
			logForm: 'text',
			logLevel: 'error',
		});
		const node = new LimpetbarrowNode(settings.unsafeCoerce(), new SilentLogger());
		nodes.push(node);
		return node.start();
	}

	async function fetchStatus({adminAddress}: NodeRecord): Promise<FleetStatus> {
		const answer = await request(`http://${formatAddress(adminAddress)}/status`);
		return await answer.body.json() as FleetStatus;
	}

	before(async () => {
		platformAddress = await platform.listen();
	});

	after(async () => {
		await Promise.all(nodes.map(async node => node.close()));
		await platform.close();
	});

	it('brings a release to a node that starts while the platform is down', async () => {
		const first = await startNode('first', []);
		const note = {
			id: 'a', operator: 'kofi', base: 0, added: {services: [{name: 'harvest-ledger'}]},
		};
		const applied = await request(`http://${formatAddress(first.adminAddress)}/releases`, {method: 'POST', body: JSON.stringify(note)});
		expect(applied.statusCode, await applied.body.text()).to.equal(200);
		platform.setFaults({isDown: true});
		const second = await startNode('second', [first.gossipAddress]);
		await waitFor(async () => {
			const {nodes: known} = await fetchStatus(second);
			return known.some(({node, release}) => node === 'second' && release === 1);
		});
		await waitFor(async () => {
			const {nodes: known, lagging} = await fetchStatus(first);
			return known.length === 2 && lagging.length === 0;
		});
	});
});
