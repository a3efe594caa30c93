import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	Carrier, SilentLogger, type Exchange, type ExchangeHandler, type NodeRecord, type RequestHead,
} from '@limpetbarrow/core';
import {MemberTable} from '@limpetbarrow/members';
import {emptyConfiguration, ReleaseState} from '@limpetbarrow/releases';
import {createClosedExchange} from '../../routing/closed-exchange.js';
import {ConfigurationCarrier, PeerConfigurationFetcher} from '../../fleet/peer-configurations.js';

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

/** A carrier to a node whose connection is cut: it never answers. */
class SilentCarrier extends Carrier {
	openedExchanges = 0;

	override openExchange(_head: RequestHead, _handler: ExchangeHandler): Exchange {
		this.openedExchanges++;
		return createClosedExchange();
	}
}

/** A carrier to a node that begins to answer, and sends nothing more. */
class SlowCarrier extends Carrier {
	openedExchanges = 0;

	override openExchange(_head: RequestHead, handler: ExchangeHandler): Exchange {
		this.openedExchanges++;
		queueMicrotask(() => {
			handler.handleHead({status: 200, headers: []});
		});
		return createClosedExchange();
	}
}

describe('PeerConfigurationFetcher', () => {
	let clock: Clock;
	let table: MemberTable;
	let state: ReleaseState;
	let silentCarrier: SilentCarrier;
	let platformReads: readonly number[];
	let isWatching: boolean;
	let provenRelease: number;
	let fetcher: PeerConfigurationFetcher;

	beforeEach(() => {
		clock = install();
		state = new ReleaseState();
		state.applyConfiguration({...emptyConfiguration, release: 3});
		silentCarrier = new SilentCarrier();
		platformReads = [];
		isWatching = false;
		provenRelease = 0;
	});

	afterEach(() => {
		fetcher.stop();
		clock.uninstall();
	});

	function startFetcher(ids: readonly string[], carriers: Readonly<Record<string, Carrier>>, random = Math.random): void {
		table = new MemberTable(createRecord('own', 3));
		table.merge(ids.map(id => createRecord(id, 8)));
		fetcher = new PeerConfigurationFetcher({
			table,
			state,
			random,
			getHeardRelease: () => Math.max(table.getHeardRelease(), provenRelease),
			findEgress: id => carriers[id] ?? silentCarrier,
			isWatching: () => isWatching,
			readPlatform() {
				platformReads = [...platformReads, clock.now];
			},
			logger: new SilentLogger(),
		});
		fetcher.start();
	}

	it('fetches a newer configuration from another node at the next check, without a read of the platform', async () => {
		const holder = new ReleaseState();
		holder.applyConfiguration({...emptyConfiguration, release: 8});
		startFetcher(['one'], {one: new ConfigurationCarrier(holder)});
		await clock.tickAsync(900);
		expect(state.getNumber()).to.equal(8);
		expect(platformReads).to.deep.equal([]);
	});

	it('reads the platform within 1.3 s when the connections to the other nodes are cut', async () => {
		startFetcher(['one', 'two'], {});
		await clock.tickAsync(1300);
		expect(platformReads.length).to.be.above(0);
	});

	// Guards against a node that forgets a release once the only node that named it is gone.
	it('reads the platform within 1.3 s though the only node that named the release is gone', async () => {
		startFetcher(['one'], {});
		table.setStatus('one', 'dead');
		await clock.tickAsync(1300);
		expect(platformReads.length).to.be.above(0);
	});

	// Guards against a node that holds a proof of a newer release, and hears of it in no record.
	it('reads the platform within 1.3 s of a proof of a newer release that no record names', async () => {
		startFetcher([], {});
		await clock.tickAsync(2000);
		expect(platformReads).to.deep.equal([]);
		provenRelease = 8;
		await clock.tickAsync(1300);
		expect(platformReads.length).to.be.above(0);
	});

	it('does not read the platform while this node watches it and its watch delivers in time', async () => {
		isWatching = true;
		startFetcher(['one'], {});
		await clock.tickAsync(1100);
		expect(platformReads).to.deep.equal([]);
		state.applyConfiguration({...emptyConfiguration, release: 8});
		await clock.tickAsync(5000);
		expect(platformReads).to.deep.equal([]);
	});

	// Guards against a node whose watch is silent and that relies on it although others name a newer release.
	it('reads the platform within 1.3 s while this node watches it and neither its watch nor another node delivers', async () => {
		isWatching = true;
		startFetcher(['one'], {});
		await clock.tickAsync(1300);
		expect(platformReads.length).to.be.above(0);
	});

	// Guards against a node that waits for those that are gone, one after the other, for the whole time of each question.
	it('has a newer configuration within 1.3 s though two of the three nodes that have it are gone', async () => {
		const holder = new ReleaseState();
		holder.applyConfiguration({...emptyConfiguration, release: 8});
		startFetcher(['gone', 'cut', 'one'], {one: new ConfigurationCarrier(holder)}, () => 0);
		// The clock runs what is queued as a microtask at its next step.
		await clock.tickAsync(1250);
		await clock.tickAsync(50);
		expect(state.getNumber()).to.equal(8);
	});

	it('asks no other node while one sends its configuration slowly', async () => {
		const slow = new SlowCarrier();
		startFetcher(['slow', 'one', 'two'], {slow}, () => 0);
		await clock.tickAsync(1800);
		expect({slow: slow.openedExchanges, others: silentCarrier.openedExchanges}).to.deep.equal({slow: 1, others: 0});
	});

	it('asks another node after one did not answer', async () => {
		const holder = new ReleaseState();
		holder.applyConfiguration({...emptyConfiguration, release: 8});
		const cut = new SilentCarrier();
		startFetcher(['cut', 'one'], {cut, one: new ConfigurationCarrier(holder)});
		await clock.tickAsync(2500);
		expect(state.getNumber()).to.equal(8);
		expect(cut.openedExchanges).to.be.at.most(1);
	});
});
