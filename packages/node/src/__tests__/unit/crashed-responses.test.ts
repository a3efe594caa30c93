import {type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {type RequestHead} from '@limpetbarrow/core';
import {TcpRelay} from '@limpetbarrow/stand-ins';
import {expect} from 'chai';
import {startHostEgressFixture, type ExchangeResult, type RecordingLogger} from '../host-egress-fixture.js';
import {startPlainEgressFixture} from '../plain-egress-fixture.js';
import {findRawHeader, RawBackend, type RawResponder} from '../raw-backend.js';

const body = 'The whole body of a response.\n'.repeat(120);
const half = body.slice(0, body.length / 2);
const firstHalfPauseMs = 30;

/** What the tests need of an egress and its backend server. */
type CrashFixture = {
	readonly backend: RawBackend;
	readonly logger: RecordingLogger;
	readonly announce: (address: string, generation: number) => void;
	readonly send: (head?: Partial<RequestHead>) => Promise<ExchangeResult>;
	readonly close: () => Promise<void>;
};

function formatUnframed(text: string, sent: string): string {
	return ['HTTP/1.1 200 OK', `x-id: ${findRawHeader(text, 'x-id')}`, 'x-signature: s', 'connection: close', '', sent].join('\r\n');
}

function answerWhole(socket: Socket, text: string): void {
	socket.end(formatUnframed(text, body));
}

const egresses: ReadonlyArray<{readonly name: string; readonly start: (responder: RawResponder) => Promise<CrashFixture>}> = [
	{
		name: 'a sidecar\'s egress', async start(responder) {
			const fixture = await startHostEgressFixture(responder);
			return {
				...fixture, announce(address, generation) {
					fixture.announce({address, generation});
				},
			};
		},
	},
	{name: 'the product\'s own egress', start: startPlainEgressFixture},
];

/** Ways in which a backend server's process may end within a response, while something accepts connections at its address. */
const crashes: ReadonlyArray<{readonly when: string; readonly crash: (backend: RawBackend, successor: RawBackend) => void}> = [
	{
		when: 'closes its listener after its connections', crash(backend) {
			backend.crash(5);
		},
	},
	{
		when: 'closes its listener long after its connections', crash(backend) {
			backend.crash(60);
		},
	},
	{
		when: 'starts again at once', crash(backend) {
			backend.closeConnections();
		},
	},
	{
		when: 'is followed by another one at its address', crash(backend, successor) {
			const port = backend.getPort();
			backend.close();
			void successor.listen(port);
		},
	},
];

/** How much of the response arrives how long before the crash. */
const arrivals: ReadonlyArray<{readonly what: string; readonly pauseMs: number}> = [
	{what: 'at once', pauseMs: 0},
	{what: `${firstHalfPauseMs} ms before`, pauseMs: firstHalfPauseMs},
];

// Guards against half of a response without a length that is delivered as a whole one when its backend server has crashed.
describe('a backend server that crashes within a response without a length', () => {
	egresses.forEach(({name, start}) => {
		describe(`behind ${name}`, () => {
			let fixture: CrashFixture;
			let successor: RawBackend;
			let port = 0;
			let handleHalf: () => void;

			beforeEach(async () => {
				fixture = await start((socket, text) => {
					if (text.includes('/whole')) {
						answerWhole(socket, text);
					} else {
						socket.write(formatUnframed(text, half), handleHalf);
					}
				});
				port = fixture.backend.getPort();
				successor = new RawBackend(answerWhole);
			});

			afterEach(async () => {
				await fixture.close();
				successor.close();
			});

			crashes.forEach(({when, crash}) => {
				arrivals.forEach(({what, pauseMs}) => {
					[false, true].forEach(isUsed => {
						it(`fails the request when the process ${when}, half of it having arrived ${what}${isUsed ? ', after a whole one' : ''}`, async () => {
							handleHalf = () => {
								setTimeout(() => {
									crash(fixture.backend, successor);
								}, pauseMs);
							};

							if (isUsed) {
								expect(await fixture.send({path: '/whole'})).to.include({outcome: '200'});
							}

							expect(await fixture.send({isRepeatable: false})).to.include({outcome: 'serverBroke'});
						});
					});
				});
			});

			it('fails the request when a relay ends its connections and goes on accepting', async () => {
				const relay = new TcpRelay({host: '127.0.0.1', port});
				const address = await relay.listen();
				fixture.announce(`${address.host}:${address.port}`, 2);
				handleHalf = () => {
					fixture.backend.close();
				};

				expect(await fixture.send({isRepeatable: false})).to.include({outcome: 'serverBroke'});
				await relay.close();
			});

			it('fails the request when the path to the running process is cut and ends all connections', async () => {
				const relay = new TcpRelay({host: '127.0.0.1', port});
				const address = await relay.listen();
				fixture.announce(`${address.host}:${address.port}`, 2);
				handleHalf = () => {
					setTimeout(() => {
						relay.closeConnections();
					}, firstHalfPauseMs);
				};

				expect(await fixture.send({isRepeatable: false})).to.include({outcome: 'serverBroke'});
				await relay.close();
			});

			it('ends the request at its deadline when the process freezes', async () => {
				handleHalf = () => undefined;
				expect(await fixture.send({isRepeatable: false, remainingMs: 300})).to.include({outcome: 'serverTimeout'});
			});
		});
	});
});

// Guards against a reset that is taken for the end of a response without a length: the runtime reports a reset behind unread bytes
// as a normal end.
describe('a backend server that resets the connection within a response without a length', () => {
	const resets: ReadonlyArray<{readonly when: string; readonly sent: string; readonly pauseMs: number | undefined}> = [
		{when: 'at once after half of it', sent: half, pauseMs: undefined},
		{when: 'at once after all of it', sent: body, pauseMs: undefined},
		{when: 'at once after a part that is larger than a read', sent: body.repeat(100), pauseMs: undefined},
		{when: `${firstHalfPauseMs} ms after half of it`, sent: half, pauseMs: firstHalfPauseMs},
	];
	egresses.forEach(({name, start}) => {
		describe(`behind ${name}`, () => {
			resets.forEach(({when, sent, pauseMs}) => {
				it(`fails the request when it does so ${when}`, async () => {
					const fixture = await start((socket, text) => {
						socket.write(formatUnframed(text, sent));
						if (pauseMs === undefined) {
							socket.resetAndDestroy();
						} else {
							setTimeout(() => {
								socket.resetAndDestroy();
							}, pauseMs);
						}
					});
					try {
						expect(await fixture.send({isRepeatable: false})).to.include({outcome: 'serverBroke'});
					} finally {
						await fixture.close();
					}
				});
			});

			it('fails the request when the path resets all connections while the node is busy', async () => {
				const fixture = await start((socket, text) => {
					socket.write(formatUnframed(text, half));
					setTimeout(() => {
						socket.write(half.slice(1), () => {
							fixture.backend.closeConnectionsByReset();
						});
					}, firstHalfPauseMs);
				});
				try {
					expect(await fixture.send({isRepeatable: false})).to.include({outcome: 'serverBroke'});
				} finally {
					await fixture.close();
				}
			});
		});
	});
});

// Guards against a sound response without a length that is given up because nothing shows that its backend server still runs.
describe('a backend server that answers without a length and goes on running', () => {
	egresses.forEach(({name, start}) => {
		describe(`behind ${name}`, () => {
			let fixture: CrashFixture;

			afterEach(async () => {
				await fixture.close();
			});

			it('gets each response delivered, one after the other', async () => {
				fixture = await start(answerWhole);
				const outcomes = await Array.from({length: 10}).reduce<Promise<readonly string[]>>(async (earlier, _, index) => {
					const list = await earlier;
					const {outcome, body: received} = await fixture.send({requestId: `r-${index}`, isRepeatable: index % 2 === 0});
					return [...list, received === body ? outcome : 'other body'];
				}, Promise.resolve([]));
				expect(new Set(outcomes)).to.deep.equal(new Set(['200']));
			});

			it('gets each response delivered when several end at once', async () => {
				fixture = await start(answerWhole);
				const results = await Promise.all(Array.from({length: 12}, async (_, index) => fixture.send({requestId: `r-${index}`})));
				expect(new Set(results.map(({outcome}) => outcome))).to.deep.equal(new Set(['200']));
			});

			it('gets the next request at once, while the end of its response is judged', async () => {
				const arrivals: number[] = [];
				fixture = await start((socket, text) => {
					arrivals.push(performance.now());
					answerWhole(socket, text);
				});
				const deliveries = await Promise.all(Array.from({length: 6}, async (_, index) => {
					await fixture.send({requestId: `r-${index}`});
					return performance.now();
				}));
				expect(arrivals).to.have.length(6);
				expect(Math.max(...arrivals)).to.be.below(Math.min(...deliveries));
			});

			it('gets a response delivered that follows a pause in which it has closed the idle connections', async () => {
				fixture = await start(answerWhole);
				await fixture.send();
				fixture.backend.closeConnections();
				await wait(20);
				expect(await fixture.send({isRepeatable: false})).to.include({outcome: '200'});
			});

			it('has the evidence for the end of each response in the log', async () => {
				fixture = await start(answerWhole);
				await fixture.send();
				const [, fields = {}] = fixture.logger.lines.find(([event]) => event === 'unframedResponseJudged') ?? [];
				expect(fields).to.include({request: 'r-1', server: 'server-1', isProven: true});
				expect(fields).to.have.property('reason');
			});
		});
	});
});
