import {setTimeout as wait} from 'node:timers/promises';
import {SilentLogger} from '@limpetbarrow/core';
import {MemoryObjectStore, MemoryPlatform} from '@limpetbarrow/stand-ins';
import {expect} from 'chai';
import {nodeKeyPrefix} from '../../node-entry.js';
import {StoreDiscovery} from '../../fleet/store-discovery.js';
import {waitFor} from '../host-egress-fixture.js';

const key = `${nodeKeyPrefix}node-1`;
/** Two periods after which a node without others lists the entries, in milliseconds. */
const boundMs = 4000;
/** Longest time until a call that is due soon, in milliseconds. */
const restoreSpreadMs = 1000;

/** A store in memory that tells its era with a list. */
class EraStore extends MemoryObjectStore {
	era: number | undefined;

	override list(prefix: string): ReturnType<MemoryObjectStore['list']> {
		return super.list(prefix).ifRight(() => {
			if (this.era !== undefined) {
				this.recordEra(this.era);
			}
		});
	}
}

describe('discovery through the store', () => {
	let platform: MemoryPlatform;
	let store: EraStore;
	let liveIds: readonly string[];
	let discovery: StoreDiscovery;

	function hasEntry(): boolean {
		return platform.history.findObject(key) !== undefined;
	}

	async function startDiscovery(ids: readonly string[]): Promise<void> {
		platform = new MemoryPlatform();
		store = new EraStore(platform);
		store.era = 1;
		liveIds = ids;
		discovery = new StoreDiscovery({
			store,
			self: {id: 'node-1', failureDomain: 'volta-a', gossipAddress: {host: '127.0.0.1', port: 7381}},
			logger: new SilentLogger(),
			handlePeers() {
				// There are no other nodes.
			},
			listLiveIds: () => liveIds,
		});
		await discovery.takeIncarnation();
		discovery.start();
		await waitFor(() => store.getEra() === 1, boundMs);
	}

	afterEach(() => {
		discovery.stop();
	});

	// Guards against a node that no new one finds because its entry was removed by others.
	it('writes the own entry again when the list lacks it', async () => {
		await startDiscovery(['node-1']);
		expect(hasEntry()).to.equal(true);
		platform.write(key, platform.history.findObject(key)!.version, undefined);
		expect(hasEntry()).to.equal(false);
		await waitFor(hasEntry, boundMs);
		expect(hasEntry()).to.equal(true);
	});

	// Guards against a node that makes no call for a minute and doesn't learn that the store was restored.
	describe('of a node that doesn\'t watch, beside others', () => {
		beforeEach(async () => {
			await startDiscovery(['node-1', 'node-2']);
			store.era = 2;
		});

		it('calls the store once others have heard of a later era, and takes it from there', async () => {
			discovery.applyHeardEra(3);
			expect(store.getEra()).to.equal(1);
			await waitFor(() => store.getEra() === 2, boundMs);
			expect(store.getEra()).to.equal(2);
		});

		it('makes one more call for each later era only', async () => {
			const listsBefore = store.getCallCounts().list;
			discovery.applyHeardEra(3);
			discovery.applyHeardEra(3);
			discovery.applyHeardEra(1);
			await waitFor(() => store.getEra() === 2, boundMs);
			await wait(restoreSpreadMs + 200);
			// One because of what was heard, one because the era has risen.
			expect(store.getCallCounts().list).to.equal(listsBefore + 2);
		});
	});
});
