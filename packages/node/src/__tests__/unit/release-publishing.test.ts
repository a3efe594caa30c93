import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {SilentLogger, type NodeRecord} from '@limpetbarrow/core';
import {MemberTable} from '@limpetbarrow/members';
import {emptyConfiguration, ReleaseState} from '@limpetbarrow/releases';
import {registerReleasePublishing} from '../../release-publishing.js';

const address = {host: '127.0.0.1', port: 1};

function createRecord(id: string, release: number): NodeRecord {
	return {
		id,
		incarnation: 1,
		sequence: 1,
		placement: {region: 'r', failureDomain: 'd'},
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

describe('publishing the release in force', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('takes a few messages for a change that 100 nodes see at once', () => {
		let told = 0;
		const tables = Array.from({length: 100}, (_, index) => new MemberTable(createRecord(`n${index}`, 0)));
		const undoings = tables.map((table, index) => {
			const releases = new ReleaseState();
			table.store.registerListener(({update}) => {
				if (update !== 'updateSelf') {
					return;
				}

				told++;
				setTimeout(() => {
					tables.filter(other => other !== table).forEach(other => {
						other.merge([table.getSelf()]);
					});
				}, 100);
			});
			const undo = registerReleasePublishing({
				table, releases, logger: new SilentLogger(), pickRandom: () => index / 100,
			});
			releases.applyConfiguration({...emptyConfiguration, release: 7});
			return undo;
		});
		clock.tick(2000);
		expect(told).to.be.within(1, 20);
		undoings.forEach(undo => {
			undo();
		});
	});

	it('tells of a release that no other node shows, at the latest after 0.6 s', () => {
		const table = new MemberTable(createRecord('own', 0), undefined);
		table.merge([createRecord('other', 6)]);
		const releases = new ReleaseState();
		const undo = registerReleasePublishing({
			table, releases, logger: new SilentLogger(), pickRandom: () => 0.99,
		});
		releases.applyConfiguration({...emptyConfiguration, release: 7});
		clock.tick(600);
		expect(table.getSelf().release).to.equal(7);
		undo();
	});
});
