import {expect} from 'chai';
import fc from 'fast-check';
import {MetricRegistry, SilentLogger} from '@limpetbarrow/core';
import {
	CallerMemory, connectionBaseBytes, estimateRequestBytes, type ConnectionMemory,
} from '../../callers/caller-memory.js';

const totalBytes = 1_000_000;
const connectionBytes = 50_000;

type Share = {
	readonly memory: ConnectionMemory;
	isClosed: boolean;
};

class Node {
	readonly metrics = new MetricRegistry();
	readonly account = new CallerMemory({limits: {totalBytes, connectionBytes}, metrics: this.metrics, logger: new SilentLogger()});
	readonly shares: Share[] = [];

	open(): Share {
		const share: Share = {
			memory: this.account.openShare({
				closeConnection() {
					share.isClosed = true;
				},
				getPeer: () => '127.0.0.1:1',
			}),
			isClosed: false,
		};
		this.shares.push(share);
		return share;
	}

	countHeld(): number {
		return this.shares.filter(({isClosed}) => !isClosed).reduce((sum, {memory}) => sum + memory.countBytes(), 0);
	}
}

describe('the account of what is held for callers', () => {
	describe('of one connection', () => {
		it('leaves no room for a request above its bound, and room again below it', () => {
			const {memory} = new Node().open();
			memory.addRequestBytes(connectionBytes);
			expect(memory.hasRequestRoom()).to.equal(false);
			memory.addRequestBytes(-1);
			expect(memory.hasRequestRoom()).to.equal(true);
		});

		it('doesn\'t count responses and unread bytes against the room for requests', () => {
			const {memory} = new Node().open();
			memory.addBytes(2 * connectionBytes);
			expect(memory.hasRequestRoom()).to.equal(true);
		});
	});

	describe('of a head', () => {
		it('charges lines more than their characters, and has room for sixteen ordinary requests', () => {
			const lines = Array.from({length: 4096}, () => ['a', '']).flat();
			expect(estimateRequestBytes(lines, '/')).to.be.above(16 * 16_384);
			const usual = Array.from({length: 10}, (_, index) => [`header-${index}`, 'a usual value']).flat();
			expect(16 * estimateRequestBytes(usual, '/read/1')).to.be.below(262_144);
		});
	});

	describe('of all connections', () => {
		// Guards against a crowd of small callers that costs one ordinary caller its connection.
		it('closes those that hold most, and leaves ordinary ones', () => {
			const node = new Node();
			const ordinary = Array.from({length: 20}, () => node.open());
			ordinary.forEach(({memory}) => {
				memory.addRequestBytes(8000);
			});
			const greedy = Array.from({length: 20}, () => node.open());
			greedy.forEach(({memory}) => {
				memory.addBytes(100_000);
			});
			expect(ordinary.some(({isClosed}) => isClosed)).to.equal(false);
			expect(greedy.filter(({isClosed}) => isClosed).length).to.be.above(10);
			expect(node.metrics.getCount('ingress_connections_closed_for_memory_total')).to.equal(greedy.filter(({isClosed}) => isClosed).length);
		});

		// Guards against bytes that are counted twice or never given back, in any order of arrivals, departures and closings.
		it('stays below its bound and equals what the open connections hold, in any order of events', () => {
			const event = fc.record({kind: fc.constantFrom('open', 'request', 'bytes', 'give', 'close'), connection: fc.nat(30), bytes: fc.nat(300_000)});
			fc.assert(fc.property(fc.array(event, {maxLength: 200}), events => {
				const node = new Node();
				events.forEach(({kind, connection, bytes}) => {
					const share = node.shares[connection];
					switch (kind) {
						case 'open': {
							node.open();
							break;
						}

						case 'request': {
							share?.memory.addRequestBytes(bytes);
							break;
						}

						case 'bytes': {
							share?.memory.addBytes(bytes);
							break;
						}

						case 'give': {
							share?.memory.addBytes(-Math.min(bytes, Math.max(0, share.memory.countBytes() - connectionBaseBytes)));
							break;
						}

						case 'close': {
							if (share) {
								share.isClosed = true;
								share.memory.close();
							}

							break;
						}
					}

					expect(node.account.countBytes()).to.equal(node.countHeld());
					expect(node.account.countBytes()).to.be.at.most(totalBytes);
				});
			}), {numRuns: 100});
		});
	});
});
