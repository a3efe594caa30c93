import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	Carrier, SilentLogger, type Exchange, type ExchangeHandler, type NodeRecord, type RequestHead,
} from '@limpetbarrow/core';
import {MemberTable} from '@limpetbarrow/members';
import {emptyConfiguration, ReleaseState} from '@limpetbarrow/releases';
import {createClosedExchange} from '../../closed-exchange.js';
import {ConfigurationCarrier, PeerConfigurationFetcher} from '../../peer-configurations.js';

function createRecord(id: string, release: number): NodeRecord {
	const address = {host: '127.0.0.1', port: 1};
	return {
		id,
		incarnation: 1,
		sequence: 1,
		placement: {region: 'r', failureDomain: 'a'},
		linkAddress: address,
		gossipAddress: address,
		ingressAddress: address,
		adminAddress: address,
		state: 'serving',
		release,
		servers: [],
		poison: [],
	};
}

/** A node whose way is cut: nothing comes back. */
class SilentCarrier extends Carrier {
	asked = 0;

	override openExchange(_head: RequestHead, _handler: ExchangeHandler): Exchange {
		this.asked++;
		return createClosedExchange();
	}
}

describe('configurations from other nodes', () => {
	let clock: Clock;
	let state: ReleaseState;
	let silent: SilentCarrier;
	let reads: readonly number[];
	let isWatching: boolean;
	let peers: PeerConfigurationFetcher;

	beforeEach(() => {
		clock = install();
		state = new ReleaseState();
		state.applyConfiguration({...emptyConfiguration, release: 3});
		silent = new SilentCarrier();
		reads = [];
		isWatching = false;
	});

	afterEach(() => {
		peers.stop();
		clock.uninstall();
	});

	function start(ids: readonly string[], carriers: Readonly<Record<string, Carrier>>): void {
		const table = new MemberTable(createRecord('own', 3));
		table.merge(ids.map(id => createRecord(id, 8)));
		peers = new PeerConfigurationFetcher({
			table,
			state,
			findEgress: id => carriers[id] ?? silent,
			isWatching: () => isWatching,
			readPlatform() {
				reads = [...reads, clock.now];
			},
			logger: new SilentLogger(),
		});
		peers.start();
	}

	it('come at the next look from a node that has a newer one, without the platform', async () => {
		const holder = new ReleaseState();
		holder.applyConfiguration({...emptyConfiguration, release: 8});
		start(['one'], {one: new ConfigurationCarrier(holder)});
		await clock.tickAsync(900);
		expect(state.getNumber()).to.equal(8);
		expect(reads).to.deep.equal([]);
	});

	it('are read from the platform within 1.3 s where the ways to the others are cut', async () => {
		start(['one', 'two'], {});
		await clock.tickAsync(1300);
		expect(reads.length).to.be.above(0);
	});

	it('are left to this node\'s own watch where it has one', async () => {
		isWatching = true;
		start(['one'], {});
		await clock.tickAsync(5000);
		expect(reads).to.deep.equal([]);
	});

	it('come from another node after one did not answer', async () => {
		const holder = new ReleaseState();
		holder.applyConfiguration({...emptyConfiguration, release: 8});
		const cut = new SilentCarrier();
		start(['cut', 'one'], {cut, one: new ConfigurationCarrier(holder)});
		await clock.tickAsync(2500);
		expect(state.getNumber()).to.equal(8);
		expect(cut.asked).to.be.at.most(1);
	});
});
