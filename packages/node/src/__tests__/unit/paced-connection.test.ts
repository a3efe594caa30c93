import {Buffer} from 'node:buffer';
import {createServer as createHttpServer} from 'node:http';
import {
	createConnection, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {MetricRegistry, SilentLogger} from '@limpetbarrow/core';
import {ConnectionLimit, type LimitedConnection} from '../../callers/connection-limit.js';
import {
	computePieceLength, lingerMs, maxDiscardedBytes, PacedConnection, stalledMs,
} from '../../callers/paced-connection.js';
import {PartCollector} from '../../callers/part-collector.js';
import {waitUntil} from '../pipeline-fixture.js';

const head = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

/** Splits a stream that arrives in the given parts as a paced connection does. */
function listPieces(parts: readonly string[]): readonly string[] {
	const pieces: string[] = [];
	let carry = Buffer.alloc(0);
	parts.forEach(part => {
		let rest = Buffer.from(part, 'latin1');
		while (rest.length > 0) {
			const length = computePieceLength(carry, rest);
			pieces.push(rest.subarray(0, length).toString('latin1'));
			carry = Buffer.concat([carry, rest.subarray(0, length)]).subarray(-2);
			rest = rest.subarray(length);
		}
	});
	return pieces;
}

describe('a paced connection', () => {
	describe('splits a stream', () => {
		// Guards against two heads in one piece, of which the second would be parsed before any limit applies.
		it('into pieces with at most one end of a head, wherever the parts are cut', () => {
			const stream = head.repeat(5);
			fc.assert(fc.property(fc.array(fc.integer({min: 1, max: stream.length - 1}), {maxLength: 12}), cuts => {
				const places = [0, ...cuts.toSorted((a, b) => a - b), stream.length];
				const pieces = listPieces(places.slice(1).map((place, index) => stream.slice(places[index], place)).filter(part => part !== ''));
				expect(pieces.join('')).to.equal(stream);
				const ends = pieces.map((_, index) => pieces.slice(0, index + 1).join('').split('\r\n\r\n').length - 1);
				expect(Math.max(...ends.map((count, index) => count - (ends[index - 1] ?? 0)))).to.equal(1);
			}));
		});
	});

	describe('between a socket and its owner', () => {
		let accepted: PacedConnection;
		let caller: Socket;
		let isFeedable = true;
		let backlog = 0;
		let received = '';
		let isEnded = false;
		let connections = 0;
		const server = createServer({allowHalfOpen: true}, socket => {
			connections++;
			accepted = new PacedConnection(socket, {
				server: createHttpServer(),
				isFeedable: () => isFeedable,
				handleBacklog(change) {
					backlog += change;
				},
			});
			accepted.on('data', (piece: Uint8Array) => {
				received += Buffer.from(piece).toString('latin1');
				isFeedable = false;
			});
			accepted.once('end', () => {
				isEnded = true;
			});
			accepted.on('error', () => undefined);
		});

		beforeEach(async () => {
			isFeedable = true;
			backlog = 0;
			received = '';
			isEnded = false;
			connections = 0;
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			caller = createConnection((server.address() as AddressInfo).port, '127.0.0.1');
			caller.on('error', () => undefined);
		});

		afterEach(() => {
			caller.destroy();
			accepted.destroy();
			server.close();
		});

		it('hands on one head each time it may', async () => {
			caller.write(head.repeat(3));
			await waitUntil(() => received !== '');
			expect(received).to.equal(head);
			isFeedable = true;
			accepted.resumeFeeding();
			await waitUntil(() => received.length > head.length);
			expect(received).to.equal(head.repeat(2));
			expect(backlog).to.equal(head.length);
		});

		it('reads no more than two reads\' worth while it may not', async () => {
			isFeedable = false;
			caller.write(Buffer.alloc(8_000_000, 'x'));
			await waitUntil(() => backlog > 0);
			await waitUntil(() => backlog > 131_072, 200);
			expect(backlog).to.be.above(0).and.at.most(131_072);
		});

		// Guards against responses that nobody reads and that keep their connections out of reach of the limit.
		it('is stalled once what is written has not left for some time, until the caller reads on', async () => {
			await waitUntil(() => connections === 1);
			accepted.write(Buffer.alloc(16_000_000));
			await waitUntil(() => false, 100);
			const clock = install({toFake: ['performance']});
			expect(accepted.isStalled()).to.equal(false);
			// The paused clock begins at 0, far before the write.
			clock.tick(stalledMs + 1_000_000_000);
			expect(accepted.isStalled()).to.equal(true);
			clock.uninstall();
			caller.resume();
			await waitUntil(() => accepted.writableLength === 0);
			expect(accepted.isStalled()).to.equal(false);
		});

		it('gives back its backlog when it closes', async () => {
			isFeedable = false;
			caller.write(head.repeat(3));
			await waitUntil(() => backlog > 0);
			accepted.destroy();
			expect(backlog).to.equal(0);
		});

		// Guards against callers that never close a connection, or that send without end on one that is being closed.
		describe('that is being closed', () => {
			it('closes after some time although the caller doesn\'t', async () => {
				await waitUntil(() => connections === 1);
				const clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
				accepted.destroySoon();
				await new Promise<void>(resolve => {
					setImmediate(resolve);
				});
				clock.tick(lingerMs - 1);
				expect(accepted.destroyed).to.equal(false);
				clock.tick(1);
				clock.uninstall();
				expect(accepted.destroyed).to.equal(true);
			});

			it('discards what arrives, hands on nothing and reads only so much', async () => {
				await waitUntil(() => connections === 1);
				// Otherwise the caller would end its side as soon as it has read the end of the other one.
				caller.allowHalfOpen = true;
				accepted.destroySoon();
				const part = Buffer.alloc(1_048_576);
				let written = 0;
				const writeMore = (): void => {
					caller.write(part, error => {
						if (!error) {
							written += part.length;
							writeMore();
						}
					});
				};

				writeMore();
				await waitUntil(() => written >= maxDiscardedBytes, 4000);
				await waitUntil(() => false, 300);
				expect([received, backlog, accepted.destroyed]).to.deep.equal(['', 0, false]);
				// The kernel holds a part of what is left unread.
				expect(written).to.be.within(maxDiscardedBytes, 1.4 * maxDiscardedBytes);
			});
		});

		it('hands on the end after the last byte', async () => {
			caller.end(head);
			await waitUntil(() => isEnded);
			expect([received, isEnded]).to.deep.equal([head, true]);
		});
	});
});

describe('a connection limit', () => {
	function createLimit(maxConnections: number): ConnectionLimit {
		return new ConnectionLimit({
			name: 'test', maxConnections, metrics: new MetricRegistry(), logger: new SilentLogger(),
		});
	}

	function createConnectionStub(closed: string[], name: string, isBusy = false): LimitedConnection {
		return {
			isBusy: () => isBusy,
			close() {
				closed.push(name);
			},
			getPeer: () => '127.0.0.1:1',
		};
	}

	it('closes the connection that has been idle for longest', () => {
		const closed: string[] = [];
		const limit = createLimit(3);
		const [first, second, third, fourth] = ['first', 'second', 'third', 'fourth'].map(name => createConnectionStub(closed, name, name === 'second'));
		[first, second, third].forEach(connection => {
			limit.add(connection!);
		});
		limit.recordActivity(first!);
		expect(limit.add(fourth!)).to.equal(true);
		expect(closed).to.deep.equal(['third']);
	});

	it('refuses a connection when all others are busy', () => {
		const closed: string[] = [];
		const limit = createLimit(1);
		limit.add(createConnectionStub(closed, 'busy', true));
		expect(limit.add(createConnectionStub(closed, 'late'))).to.equal(false);
		expect(closed).to.deep.equal([]);
	});
});

describe('a collector of parts', () => {
	it('joins small parts in order and passes on large ones at once', () => {
		const passed: string[] = [];
		const parts = new PartCollector(part => {
			passed.push(Buffer.from(part).toString());
		});
		[...'abc'].forEach(letter => {
			parts.add(Buffer.from(letter));
		});
		expect(passed).to.deep.equal([]);
		parts.add(Buffer.alloc(2000, 'd'));
		parts.add(Buffer.from('e'));
		parts.forward();
		expect(passed).to.deep.equal([`abc${'d'.repeat(2000)}`, 'e']);
	});

	it('passes on what it holds after a short time', async () => {
		const passed: string[] = [];
		const parts = new PartCollector(part => {
			passed.push(Buffer.from(part).toString());
		});
		parts.add(Buffer.from('x'));
		expect(await waitUntil(() => passed.length === 1)).to.equal(true);
	});
});
