import {SilentLogger} from '@limpetbarrow/core';
import {MemoryObjectStore, MemoryPlatform} from '@limpetbarrow/stand-ins';
import {expect} from 'chai';
import {nodeKeyPrefix} from '../../node-entry.js';
import {StoreDiscovery} from '../../store-discovery.js';
import {waitFor} from '../host-egress-fixture.js';

const key = `${nodeKeyPrefix}node-1`;
/** Two periods after which a node without others lists the entries, in milliseconds. */
const boundMs = 4000;

describe('discovery through the store', () => {
	let platform: MemoryPlatform;
	let discovery: StoreDiscovery;

	function hasEntry(): boolean {
		return platform.history.findObject(key) !== undefined;
	}

	beforeEach(async () => {
		platform = new MemoryPlatform();
		discovery = new StoreDiscovery({
			store: new MemoryObjectStore(platform),
			self: {id: 'node-1', failureDomain: 'volta-a', gossipAddress: {host: '127.0.0.1', port: 7381}},
			logger: new SilentLogger(),
			handlePeers() {
				// There are no other nodes.
			},
			listLiveIds: () => ['node-1'],
		});
		await discovery.takeIncarnation();
		discovery.start();
	});

	afterEach(() => {
		discovery.stop();
	});

	// Guards against a node that no new one finds because its entry was removed by others.
	it('writes the own entry again when the list lacks it', async () => {
		expect(hasEntry()).to.equal(true);
		platform.write(key, platform.history.findObject(key)!.version, undefined);
		expect(hasEntry()).to.equal(false);
		await waitFor(hasEntry, boundMs);
		expect(hasEntry()).to.equal(true);
	});
});
