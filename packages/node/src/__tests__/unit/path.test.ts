import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setImmediate as waitTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {exchangeWindowBytes, ranHeader, resultHeader} from '@limpetbarrow/core';
import {Agent, request} from 'undici';
import {formatLines, RequestPathFixture} from '../request-path-fixture.js';

const largeBytes = 33_554_432;
const chunkBytes = 65_536;

type ReceivedResponse = {
	readonly status: number;
	readonly code: string;
	readonly ran: string;
	readonly text: string;
};

async function waitFor(condition: () => boolean): Promise<void> {
	if (!condition()) {
		await waitTurn();
		await waitFor(condition);
	}
}

/** Waits until a value has not changed for 200 turns of the event loop. */
async function waitUntilStable(read: () => number, turns = 200, last = -1): Promise<void> {
	if (turns === 0) {
		return;
	}

	await waitTurn();
	const now = read();
	await waitUntilStable(read, now === last ? turns - 1 : 200, now);
}

function writeLarge(response: ServerResponse, left: number): void {
	if (left === 0) {
		response.end();
		return;
	}

	const isTaken = response.write(Buffer.alloc(chunkBytes, 'a'));
	if (isTaken) {
		writeLarge(response, left - chunkBytes);
		return;
	}

	response.once('drain', () => {
		writeLarge(response, left - chunkBytes);
	});
}

function endResponses(responses: readonly ServerResponse[], text = 'ok'): void {
	responses.forEach(response => {
		response.end(text);
	});
}

function closeAfterPartialBody(response: ServerResponse): void {
	response.write('part', () => {
		response.socket!.destroy();
	});
}

async function readTextOrError(body: {readonly text: () => Promise<string>}): Promise<unknown> {
	try {
		return await body.text();
	} catch (error) {
		return error;
	}
}

/** Reads the body and answers with its size and `content-length`. */
function answerBodySize(message: IncomingMessage, response: ServerResponse): void {
	let bytes = 0;
	message.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
	});
	message.on('end', () => {
		response.end(`${bytes} ${message.headers['content-length']}`);
	});
}

describe('the request path', () => {
	let fixture: RequestPathFixture;
	let agent: Agent;

	beforeEach(async () => {
		agent = new Agent({connections: 20, pipelining: 1});
		fixture = new RequestPathFixture();
		await fixture.start();
	});

	afterEach(async () => {
		await agent.destroy();
		await fixture.stop();
	});

	async function send(path: string, options: {readonly method?: 'GET' | 'POST'; readonly body?: string; readonly timeoutMs?: number} = {}): Promise<ReceivedResponse> {
		const {statusCode, headers, body} = await request(fixture.getUrl(path), {
			dispatcher: agent,
			method: options.method ?? 'POST',
			body: options.body ?? 'order',
			headers: options.timeoutMs === undefined ? {} : {'limpetbarrow-timeout-ms': String(options.timeoutMs)},
		});
		return {
			status: statusCode, code: String(headers[resultHeader] ?? ''), ran: String(headers[ranHeader] ?? 'ran'), text: await body.text(),
		};
	}

	async function sendAll(indexes: readonly number[], timeoutMs = 10_000): Promise<readonly ReceivedResponse[]> {
		return Promise.all(indexes.map(async index => send(`/desk/${index}`, {timeoutMs})));
	}

	/** Makes the backend server hold its responses until the test ends them. */
	function pauseResponses(): ServerResponse[] {
		const held: ServerResponse[] = [];
		fixture.handleBackendRequest = (message, response) => {
			message.resume();
			held.push(response);
		};

		return held;
	}

	describe('bodies', () => {
		it('of any size reach the backend server whole', async () => {
			fixture.handleBackendRequest = (message, response) => {
				let bytes = 0;
				message.on('data', (chunk: Uint8Array) => {
					bytes += chunk.length;
				});
				message.on('end', () => {
					response.end(`${bytes} ${message.headers['content-length']}`);
				});
			};

			const sizes = [0, 1, exchangeWindowBytes, exchangeWindowBytes + 1, 1_000_000];
			const texts = await sizes.reduce<Promise<readonly string[]>>(async (previous, size) => {
				const before = await previous;
				const {text} = await send('/desk', {body: 'a'.repeat(size)});
				return [...before, text];
			}, Promise.resolve([]));
			expect(texts).to.deep.equal(sizes.map(size => `${size} ${size}`));
		});

		it('of responses are held back for a slow reader within bounded memory, and arrive whole', async () => {
			fixture.handleBackendRequest = (_message, response) => {
				response.writeHead(200, {'content-length': largeBytes});
				writeLarge(response, largeBytes);
			};

			const socket = fixture.connect();
			socket.pause();
			socket.write(formatLines('GET /desk HTTP/1.1', 'host: a', 'connection: close', '', ''));
			await waitFor(() => fixture.carrier.responseBytesInFlight > 0);
			await waitUntilStable(() => fixture.carrier.responseBytesTotal);
			expect(fixture.carrier.responseBytesTotal).to.be.lessThan(largeBytes);
			let received = 0;
			socket.on('data', (chunk: Uint8Array) => {
				received += chunk.length;
			});
			socket.resume();
			await new Promise<void>(resolve => {
				socket.once('close', () => {
					resolve();
				});
			});
			expect(received).to.be.greaterThan(largeBytes);
			expect(fixture.carrier.maxResponseBytesInFlight).to.be.at.most(exchangeWindowBytes + chunkBytes + (exchangeWindowBytes / 4));
		});

		it('of requests are held back for a slow backend server within bounded memory, and arrive whole', async () => {
			let resume = (): void => {
				expect.fail('the request has not arrived');
			};

			fixture.handleBackendRequest = (message, response) => {
				resume = () => {
					answerBodySize(message, response);
				};
			};

			const answer = send('/desk', {body: 'a'.repeat(largeBytes)});
			await waitFor(() => fixture.receivedRequests.length === 1);
			await waitUntilStable(() => fixture.carrier.requestBytesTotal);
			expect(fixture.carrier.requestBytesTotal).to.be.lessThan(largeBytes);
			resume();
			expect(await answer).to.include({status: 200, text: `${largeBytes} ${largeBytes}`});
			expect(fixture.carrier.maxRequestBytesInFlight).to.be.at.most(exchangeWindowBytes + chunkBytes + (exchangeWindowBytes / 4));
		});
	});

	describe('truncated responses', () => {
		const breaks: ReadonlyArray<readonly [string, Readonly<Record<string, number>>]> = [
			['with content-length', {'content-length': 100_000}],
			['with chunked encoding', {}],
		];
		breaks.forEach(([name, headers]) => {
			it(`${name} reach the caller as an error, never as complete`, async () => {
				fixture.handleBackendRequest = (_message, response) => {
					response.writeHead(200, headers);
					closeAfterPartialBody(response);
				};

				const {body} = await request(fixture.getUrl('/desk'), {dispatcher: agent, method: 'GET'});
				expect(await readTextOrError(body)).to.be.instanceOf(Error);
			});
		});

		it('without a head are reported as unknown', async () => {
			fixture.handleBackendRequest = (_message, response) => {
				response.socket!.destroy();
			};

			expect(await send('/desk')).to.include({status: 502, code: '3006', ran: 'unknown'});
		});
	});

	describe('cancellation and deadlines', () => {
		it('cancels the request at the backend server when the caller disconnects', async () => {
			const held = pauseResponses();
			const socket = fixture.connect();
			socket.write(formatLines('GET /desk HTTP/1.1', 'host: a', '', ''));
			await waitFor(() => held.length === 1);
			socket.destroy();
			await waitFor(() => held[0]!.destroyed);
			expect(fixture.backend.countRequests()).to.equal(0);
		});

		it('reports "unknown" when the deadline passes during the run, and cancels the run', async () => {
			const held = pauseResponses();
			const answer = await send('/desk', {timeoutMs: 100});
			expect(answer).to.include({status: 504, ran: 'unknown'});
			await waitFor(() => held[0]!.destroyed);
		});

		it('reports "not run" for a request that can\'t be started before its deadline', async () => {
			const held = pauseResponses();
			const running = [send('/desk/1'), send('/desk/2')];
			await waitFor(() => held.length === 2);
			expect(await send('/desk/late', {timeoutMs: 100})).to.include({ran: 'not-run', code: '3004'});
			endResponses(held);
			await Promise.all(running);
			expect(fixture.receivedRequests).to.not.include('POST /desk/late');
		});
	});

	describe('refusals', () => {
		it('by a full queue report "not run", and the backend server receives none of these requests', async () => {
			const held = pauseResponses();
			const accepted = sendAll([0, 1, 2, 3]);
			await waitFor(() => held.length === 2 && fixture.backend.getLoad().queued === 2);
			const refused = await sendAll([4, 5, 6]);
			expect(refused.map(({status, code, ran}) => `${status} ${code} ${ran}`)).to.deep.equal(['503 3003 not-run', '503 3003 not-run', '503 3003 not-run']);
			fixture.handleBackendRequest = (message, response) => {
				message.resume();
				response.end('ok');
			};

			endResponses(held, 'ok');
			const answers = await accepted;
			expect(answers.map(({status}) => status)).to.deep.equal([200, 200, 200, 200]);
			expect(fixture.receivedRequests.toSorted((a, b) => a.localeCompare(b))).to.deep.equal([0, 1, 2, 3].map(index => `POST /desk/${index}`));
		});

		it('by a drained queue report "not run", and running requests complete', async () => {
			const held = pauseResponses();
			const running = [send('/desk/1'), send('/desk/2')];
			await waitFor(() => held.length === 2);
			const waiting = send('/desk/3');
			await waitFor(() => fixture.backend.getLoad().queued === 1);
			const drained = fixture.backend.drain();
			expect(await waiting).to.include({code: '3001', ran: 'not-run'});
			endResponses(held, 'whole');
			const answers = await Promise.all(running);
			expect(answers.map(({text}) => text)).to.deep.equal(['whole', 'whole']);
			await drained;
			expect(fixture.receivedRequests.length).to.equal(2);
		});

		it('because of a refused connection report "not run"', async () => {
			await fixture.relay.close();
			expect(await send('/desk')).to.include({status: 502, code: '3005', ran: 'not-run'});
			expect(fixture.receivedRequests).to.deep.equal([]);
		});

		it('are not caused by cancelled requests, which leave the queue', async () => {
			const held = pauseResponses();
			const running = [send('/desk/1'), send('/desk/2')];
			await waitFor(() => held.length === 2);
			const socket = fixture.connect();
			socket.write(formatLines('GET /desk/3 HTTP/1.1', 'host: a', '', ''));
			await waitFor(() => fixture.backend.getLoad().queued === 1);
			socket.destroy();
			await waitFor(() => fixture.backend.getLoad().queued === 0);
			endResponses(held);
			await Promise.all(running);
			expect(fixture.receivedRequests.length).to.equal(2);
		});
	});

	describe('connections to the backend server', () => {
		it('that hang together fail one request only, then new ones are opened', async () => {
			const held = pauseResponses();
			const first = sendAll([0, 1]);
			await waitFor(() => held.length === 2);
			endResponses(held);
			await first;
			fixture.relay.pauseConnections();
			expect(await send('/desk/2', {timeoutMs: 100})).to.include({status: 504, ran: 'unknown'});
			await waitFor(() => fixture.backend.countRequests() === 0);
			fixture.handleBackendRequest = (_message, response) => {
				response.end('ok');
			};

			const answers = await sendAll([3, 4], 2000);
			expect(answers.map(({status}) => status)).to.deep.equal([200, 200]);
		});

		it('that the backend server closed while idle cause no "unknown" failure', async () => {
			const statuses = await Array.from({length: 10}).reduce<Promise<readonly number[]>>(async previous => {
				const before = await previous;
				const {status} = await send('/desk');
				fixture.closeIdleBackendConnections();
				return [...before, status];
			}, Promise.resolve([]));
			expect(statuses).to.deep.equal(Array.from({length: 10}, () => 200));
		});

		it('never exceed its slots and its announced maximum', async () => {
			const held = pauseResponses();
			fixture.announce({slots: 3, maxConnections: 1});
			const answers = [send('/desk/1'), send('/desk/2'), send('/desk/3')];
			await waitFor(() => held.length === 1 && fixture.backend.getLoad().queued === 2);
			fixture.announce({slots: 3, maxConnections: 400});
			await waitFor(() => held.length === 3);
			endResponses(held);
			await Promise.all(answers);
		});
	});
});
