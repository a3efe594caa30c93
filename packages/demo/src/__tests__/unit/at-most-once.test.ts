import {setTimeout as wait} from 'node:timers/promises';
import {createHash} from 'node:crypto';
import {expect} from 'chai';
import {
	Caller, FleetCaller, type CallerAnswer, type FleetAnswer, type HeldKey,
} from '@limpetbarrow/caller';
import {
	attemptHeader, formatAddress, resultCodes, timeoutHeader, type NodeRecord,
} from '@limpetbarrow/core';
import {request} from 'undici';
import {
	startFleet, startProcess, stopFleet, stopProcess, type Fleet, type StartedProcess,
} from '../../index.js';

const pollMs = 30;
const maxPolls = 500;
const note = {
	id: 'first',
	operator: 'test',
	base: 0,
	added: {
		services: [{name: 'fitting-desk'}],
		routes: [{name: 'fitting-desk', pathPrefix: '/', service: 'fitting-desk'}],
		terms: [{name: 'shop', initialRate: 1000, topRate: 1000}, {name: 'stall', initialRate: 2, topRate: 2}],
		organisations: [{name: 'market', terms: 'stall'}, {name: 'pointe', terms: 'shop', secretHash: createHash('sha256').update('slipper').digest('hex')}],
	},
};

async function waitFor(condition: () => Promise<boolean>, polls = maxPolls): Promise<void> {
	if (await condition()) {
		return;
	}

	expect(polls, 'polls left').to.be.above(0);
	await wait(pollMs);
	await waitFor(condition, polls - 1);
}

/** Node `one` is the home; `two` has the backend server; `two` and `three` take the requests. */
describe('at most once, with processes', () => {
	let fleet: Fleet;
	let restarted: StartedProcess | undefined;

	const getOrigin = (index: number): string => `http://${formatAddress(fleet.nodes[index]!.record.ingressAddress)}`;
	const fetchRuns = async (path: string): Promise<number> => {
		const answer = await request(`http://${formatAddress(fleet.backends[0]!.address)}/stand-in/ledger`);
		const ledger = await answer.body.json() as ReadonlyArray<{readonly path: string}>;
		return ledger.filter(entry => entry.path === path).length;
	};

	const setWork = async (workMs: number): Promise<void> => {
		const answer = await request(`http://${formatAddress(fleet.backends[0]!.address)}/stand-in/faults`, {method: 'POST', body: JSON.stringify({workMs})});
		await answer.body.dump();
	};

	const send = async (origin: string, path: string, {key, token, attempt}: HeldKey): Promise<CallerAnswer> => new Caller([origin], token).send({
		method: 'POST', path, body: '{"shoe":34}', idempotencyKey: key, headers: {[attemptHeader]: String(attempt), [timeoutHeader]: '1500'},
	});
	const mintKey = async (): Promise<HeldKey> => {
		const caller = new FleetCaller({origins: [getOrigin(0)], credentials: {organisation: 'pointe', secret: 'slipper'}});
		const minted = await caller.mintKey();
		return minted.extract() as HeldKey;
	};

	beforeEach(async () => {
		fleet = await startFleet(['one', 'two', 'three'].map((id, index) => ({
			id, region: 'marmara', failureDomain: `marmara-${index}`, services: id === 'two' ? ['fitting-desk'] : [],
		})));
		const applied = await request(`http://${formatAddress(fleet.nodes[0]!.record.adminAddress)}/releases`, {method: 'POST', body: JSON.stringify(note)});
		expect(applied.statusCode, await applied.body.text()).to.equal(200);
		await Promise.all(fleet.nodes.map(async (_, index) => waitFor(async () => {
			const {ran} = await new Caller([getOrigin(index)]).send({method: 'GET', path: '/ready'});
			return ran === 'ran';
		})));
	});

	afterEach(async () => {
		await stopFleet(fleet);
		if (restarted) {
			await stopProcess(restarted, 'SIGKILL');
			restarted = undefined;
		}
	});

	it('a key sent through two nodes has one run and one answer', async () => {
		const held = await mintKey();
		const [first, second] = await Promise.all([send(getOrigin(1), '/orders/1', {...held, attempt: 1}), send(getOrigin(2), '/orders/1', {...held, attempt: 2})]);
		const third = await send(getOrigin(0), '/orders/1', {...held, attempt: 3});
		expect([first.ran, second.ran, third.ran]).to.deep.equal(['ran', 'ran', 'ran']);
		expect(new Set([first.text, second.text, third.text]).size).to.equal(1);
		expect(await fetchRuns('/orders/1')).to.equal(1);
	});

	it('a key whose home is killed in mid-run is unknown and has one run, also after the home was restarted', async () => {
		const held = await mintKey();
		await setWork(1000);
		const first = send(getOrigin(1), '/orders/2', {...held, attempt: 1});
		await waitFor(async () => await fetchRuns('/orders/2') === 1);
		await stopProcess(fleet.nodes[0]!.process, 'SIGKILL');
		const answers = [await first, await send(getOrigin(2), '/orders/2', {...held, attempt: 2})];
		const {gossipAddress} = fleet.nodes[1]!.record;
		restarted = await startProcess([
			'node',
			'--id',
			'one',
			'--region',
			'marmara',
			'--failure-domain',
			'marmara-0',
			'--ingress',
			'127.0.0.1:0',
			'--admin',
			'127.0.0.1:0',
			'--link',
			'127.0.0.1:0',
			'--gossip',
			'127.0.0.1:0',
			'--seeds',
			formatAddress(gossipAddress),
			'--platform',
			`http://${formatAddress(fleet.platformAddress)}`,
			'--log-level',
			'error',
		]);
		const {record} = restarted.ready as {readonly record: NodeRecord};
		const origin = `http://${formatAddress(record.ingressAddress)}`;
		await waitFor(async () => {
			const {code} = await send(origin, '/orders/2', {...held, attempt: 3});
			return code === resultCodes.keyOutcomeUnknown.code;
		});
		answers.push(await send(getOrigin(2), '/orders/2', {...held, attempt: 4}));
		expect(answers.map(({ran}) => ran)).to.deep.equal(['unknown', 'unknown', 'unknown']);
		expect(await fetchRuns('/orders/2')).to.equal(1);
	});

	it('a home paused past the deadline does not run what waited, and a later send runs once', async () => {
		const held = await mintKey();
		const {child} = fleet.nodes[0]!.process;
		await send(getOrigin(1), '/orders/warm', {...held, key: `${held.key}w`, attempt: 1});
		child.kill('SIGSTOP');
		const waited = await send(getOrigin(1), '/orders/3', {...held, attempt: 1});
		expect(waited.ran).to.equal('unknown');
		child.kill('SIGCONT');
		let attempt = 1;
		await waitFor(async () => {
			attempt++;
			const {ran} = await send(getOrigin(2), '/orders/3', {...held, attempt});
			return ran === 'ran';
		});
		expect(await fetchRuns('/orders/3')).to.equal(1);
	});

	it('a caller beyond its terms is refused on every node, while its terms are renewed', async () => {
		const issue = async (body: unknown): Promise<{readonly status: number; readonly token: string}> => {
			const answer = await request(`${getOrigin(2)}/.limpetbarrow/terms`, {method: 'POST', body: JSON.stringify(body)});
			const {token} = await answer.body.json() as {readonly token: string};
			return {status: answer.statusCode, token};
		};

		const {token} = await issue({organisation: 'market', secret: ''});
		const origins = [getOrigin(1), getOrigin(2)];
		await Promise.all(origins.map(async origin => waitFor(async () => {
			const {code} = await new Caller([origin], token).send({method: 'GET', path: '/look'});
			return code === resultCodes.limitExceeded.code;
		})));
		const renewed = await issue({token});
		expect(renewed.status).to.equal(200);
		const plain = await new Caller(origins).send({method: 'GET', path: '/look'});
		expect(plain.ran).to.equal('ran');
	});

	it('a home that stops as planned finishes its keys in progress and refuses new ones; once it has gone its keys are unknown', async () => {
		const held = await mintKey();
		await setWork(1000);
		const first = send(getOrigin(1), '/orders/6', {...held, attempt: 1});
		await waitFor(async () => await fetchRuns('/orders/6') === 1);
		const stopped = stopProcess(fleet.nodes[0]!.process);
		let freshKeys = 0;
		await waitFor(async () => {
			freshKeys++;
			const {code} = await new Caller([getOrigin(1)], held.token).send({
				method: 'POST', path: '/orders/7', body: '{}', idempotencyKey: `${held.key}-${freshKeys}`, headers: {[attemptHeader]: '1'},
			});
			return code === resultCodes.nodeStopping.code || code === resultCodes.homeGone.code;
		});
		const answer = await first;
		expect(answer.ran, answer.text).to.equal('ran');
		expect(await stopped).to.equal(0);
		const after = await send(getOrigin(2), '/orders/6', {...held, attempt: 2});
		expect(after.ran).to.equal('unknown');
		expect(await fetchRuns('/orders/6')).to.equal(1);
	});

	it('the library places an order although the home dies before it', async () => {
		const held = await mintKey();
		await stopProcess(fleet.nodes[0]!.process, 'SIGKILL');
		const caller = new FleetCaller({origins: [getOrigin(1), getOrigin(2)], credentials: {organisation: 'pointe', secret: 'slipper'}});
		const sent = await caller.sendOnce({method: 'POST', path: '/orders/4', body: '{}'}, held);
		const runs = await fetchRuns('/orders/4');
		expect(runs, JSON.stringify(sent.extract())).to.be.at.most(1);
		const fresh = await caller.sendOnce({method: 'POST', path: '/orders/5', body: '{}'});
		expect((fresh.extract() as FleetAnswer).status).to.equal(200);
		expect(await fetchRuns('/orders/5')).to.equal(1);
	});
});
