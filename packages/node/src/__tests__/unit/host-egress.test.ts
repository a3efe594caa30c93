import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {type RequestHead} from '@limpetbarrow/core';
import {WindowedRetryBudget, type RetryPolicy} from '@limpetbarrow/choose';
import {
	answerComplete, startHostEgressFixture, waitFor, type HostEgressFixture,
} from '../host-egress-fixture.js';
import {findRawHeader, formatRawResponse, type RawResponder} from '../raw-backend.js';

let fixture: HostEgressFixture;

async function startFixture(responder: RawResponder, createRetries?: () => RetryPolicy): Promise<HostEgressFixture> {
	fixture = await startHostEgressFixture(responder, createRetries);
	return fixture;
}

describe('host egress', () => {
	afterEach(async () => {
		await fixture.close();
	});

	describe('requests', () => {
		it('carry the ids of the backend server and the request, the caller\'s service and the time left, and keep other end-to-end headers', async () => {
			const {send, backend} = await startFixture(answerComplete);
			expect(await send()).to.deep.equal({outcome: '200', body: 'whole'});
			const [text = ''] = backend.requests;
			expect(text.startsWith('GET /sizes?x=1 HTTP/1.1\r\n')).to.equal(true);
			expect(findRawHeader(text, 'x-expected')).to.equal('server-1');
			expect(findRawHeader(text, 'x-caller')).to.equal('desk');
			expect(findRawHeader(text, 'x-id')).to.equal('r-1');
			expect(findRawHeader(text, 'x-extra')).to.equal('kept');
			expect(findRawHeader(text, 'x-hop')).to.equal('');
			expect(Number(findRawHeader(text, 'x-deadline'))).to.be.within(1900, 2000);
		});
	});

	describe('requests that crash a backend server', () => {
		// Guards against a backend server that starts again under its id, so that only one crash is counted, however often it crashes.
		it('are refused after two of its runs have crashed, though it has one id', async () => {
			const {send, backend, announce} = await startFixture(() => {
				fixture.backend.close();
			});
			const port = backend.getPort();
			const outcomes = await [2, 3, 4].reduce<Promise<readonly string[]>>(async (before, generation) => {
				const earlier = await before;
				const {outcome} = await send({isRepeatable: false, path: '/crash'});
				await wait(100);
				if (outcome === 'serverBroke') {
					await backend.listen(port);
					announce({generation});
				}

				return [...earlier, outcome];
			}, Promise.resolve([]));
			expect(outcomes).to.deep.equal(['serverBroke', 'serverBroke', 'poisonRequest']);
		});
	});

	describe('responses', () => {
		const cases: ReadonlyArray<{readonly what: string; readonly outcome: string; readonly answer: RawResponder}> = [
			{
				what: 'have no length and are reset',
				outcome: 'serverBroke',
				answer(socket, text) {
					socket.write(`HTTP/1.1 200 OK\r\nx-id: ${findRawHeader(text, 'x-id')}\r\nx-signature: s\r\nconnection: close\r\n\r\nhalf`);
					setTimeout(() => {
						socket.resetAndDestroy();
					}, 20);
				},
			},
			{
				what: 'are shorter than their content-length',
				outcome: 'serverBroke',
				answer(socket, text) {
					socket.end(formatRawResponse(text).slice(0, -2));
				},
			},
			{
				what: 'belong to another request',
				outcome: 'serverBroke',
				answer(socket, text) {
					socket.write(formatRawResponse(text, {id: 'r-0'}));
				},
			},
			{
				what: 'are not HTTP',
				outcome: 'serverBroke',
				answer(socket) {
					socket.write('spoilt bytes\r\n\r\n');
				},
			},
			{
				what: 'have a content-encoding',
				outcome: 'serverBroke',
				answer(socket, text) {
					socket.write(formatRawResponse(text, {headers: ['content-encoding: gzip']}));
				},
			},
			{
				what: 'say that the request did not run',
				outcome: 'serverShed',
				answer(socket, text) {
					socket.write(formatRawResponse(text, {status: 503, headers: ['x-not-run: 1']}));
				},
			},
			{
				what: 'come from another backend server',
				outcome: 'serverReplaced',
				answer(socket, text) {
					socket.write(formatRawResponse(text, {status: 421}));
				},
			},
		];
		cases.forEach(({what, outcome, answer}) => {
			it(`that ${what} fail the request as ${outcome}`, async () => {
				const {send} = await startFixture(answer);
				expect(await send()).to.include({outcome});
			});
		});

		it('without a length are complete when the connection ends normally and the backend server still runs', async () => {
			const {send} = await startFixture((socket, text) => {
				socket.end(`HTTP/1.1 200 OK\r\nx-id: ${findRawHeader(text, 'x-id')}\r\nx-signature: s\r\nconnection: close\r\n\r\nall of it`);
			});
			expect(await send()).to.deep.equal({outcome: '200', body: 'all of it'});
		});

		it('that follow a complete response do not affect later requests', async () => {
			const {send} = await startFixture((socket, text) => {
				socket.write(formatRawResponse(text) + formatRawResponse(text, {id: 'r-0', body: 'extra'}));
			});
			expect(await send()).to.deep.equal({outcome: '200', body: 'whole'});
			await wait(20);
			expect(await send({requestId: 'r-2'})).to.deep.equal({outcome: '200', body: 'whole'});
		});
	});

	describe('a backend server whose address another one has taken over', () => {
		it('is removed and gets no more requests', async () => {
			const {send, backend, egress} = await startFixture((socket, text) => {
				socket.write(formatRawResponse(text, {status: 421}));
			});
			await send();
			expect(egress.listServers()).to.deep.equal([]);
			expect(await send()).to.include({outcome: 'serverNotHere'});
			expect(backend.requests.length).to.equal(1);
		});
	});

	describe('a backend server that leaves', () => {
		it('completes running requests and gets neither new nor waiting ones once its announcement is accepted', async () => {
			const answers: Array<() => void> = [];
			const {send, backend, announce} = await startFixture((socket, text) => {
				answers.push(() => {
					socket.write(formatRawResponse(text));
				});
			});
			const running = [send(), send(), send()];
			const waiting = send();
			await wait(30);
			announce({isLeaving: true});
			expect(await waiting).to.include({outcome: 'serverLeaving'});
			expect(await send()).to.include({outcome: 'serverLeaving'});
			answers.forEach(answer => {
				answer();
			});
			const finished = await Promise.all(running);
			expect(finished.map(({outcome}) => outcome)).to.deep.equal(['200', '200', '200']);
			expect(backend.requests.length).to.equal(3);
		});

		it('gets no more requests when it leaves without a leaving announcement', async () => {
			const {send, announcements} = await startFixture(answerComplete);
			announcements.leave('server-1');
			expect(await send()).to.include({outcome: 'serverLeaving'});
		});
	});

	describe('slots', () => {
		it('limit the requests at the backend server, and the most urgent waiting request gets the next free one', async () => {
			const answers: Array<() => void> = [];
			const {send, backend} = await startFixture((socket, text) => {
				answers.push(() => {
					socket.write(formatRawResponse(text));
				});
			});
			const all = [send(), send(), send(), send({requestId: 'late', priority: 2}), send({requestId: 'urgent', priority: 0})];
			await wait(30);
			expect(backend.requests.length).to.equal(3);
			answers[0]!();
			await wait(30);
			expect(findRawHeader(backend.requests[3]!, 'x-id')).to.equal('urgent');
			answers.slice(1).forEach(answer => {
				answer();
			});
			await wait(30);
			answers.at(-1)!();
			const finished = await Promise.all(all);
			expect(finished.map(({outcome}) => outcome)).to.deep.equal(['200', '200', '200', '200', '200']);
		});
	});

	describe('a backend server that rejects work without running it', () => {
		it('is logged once when the rejections begin and once when they end, and is still sent all requests', async () => {
			let isFull = true;
			const {send, egress} = await startFixture((socket, text) => {
				socket.write(isFull ? 'HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n' : formatRawResponse(text));
			});
			const sendMany = async (count: number): Promise<void> => {
				if (count > 0) {
					await send({isRepeatable: false});
					await sendMany(count - 1);
				}
			};

			await sendMany(4);
			expect(egress.findLoad('server-1', {priority: 0, route: 'sizes', organisation: ''})).to.include({isShedding: true, isUnwell: false});
			isFull = false;
			await sendMany(20);
			expect(egress.findLoad('server-1', {priority: 0, route: 'sizes', organisation: ''})).to.not.have.property('isShedding');
			expect(fixture.logger.lines.filter(([event]) => event === 'sheddingChanged').map(([, fields]) => fields)).to.deep.equal([
				{server: 'server-1', isShedding: true}, {server: 'server-1', isShedding: false},
			]);
		});
	});

	describe('retries', () => {
		it('are refused beyond the budget and do not reach the backend server', async () => {
			const {send, backend} = await startFixture(answerComplete, () => new WindowedRetryBudget({windowMs: 10_000, ratio: 0.2, allowance: 1}, () => 1));
			expect(await send({earlierAttempts: 1, maxAttempts: 2})).to.include({outcome: '200'});
			expect(await send({earlierAttempts: 1, maxAttempts: 2})).to.include({outcome: 'retriesSpent'});
			expect(backend.requests.length).to.equal(1);
		});
	});

	describe('calls of the backend server', () => {
		const rows: ReadonlyArray<{readonly what: string; readonly running: Partial<RequestHead>; readonly id: string; readonly cause: string | undefined}> = [
			{
				what: 'made by the first attempt of a request', running: {}, id: 'r-1.5f', cause: 'call',
			},
			{
				what: 'made by a retry of a request', running: {earlierAttempts: 1}, id: 'r-1.5f', cause: 'repeatedCall',
			},
			{
				what: 'made by a call that is itself repeated', running: {cause: 'repeatedCall'}, id: 'r-1.5f', cause: 'repeatedCall',
			},
			{
				what: 'made by the first attempt of a call', running: {cause: 'call'}, id: 'r-1.5f', cause: 'call',
			},
			{
				what: 'with an unrelated id', running: {}, id: 'q-7', cause: undefined,
			},
			{
				what: 'with the same id as the running request', running: {}, id: 'r-1', cause: undefined,
			},
		];
		rows.forEach(({what, running, id, cause}) => {
			it(`get their cause from the running request that made them: one ${what}`, async () => {
				const {egress, send, backend} = await startFixture(() => undefined);
				void send(running);
				await waitFor(() => backend.requests.length === 1);
				expect(egress.findRequestCause(id)).to.equal(cause);
			});
		});

		describe('that fail elsewhere', () => {
			const answerServerError: RawResponder = (socket, text) => {
				socket.write(formatRawResponse(text, {status: 500}));
			};

			async function sendWithCall(isServed: boolean): Promise<void> {
				const {egress, send, backend} = fixture;
				const count = backend.requests.length;
				const running = send({requestId: `r-${count}`});
				await waitFor(() => backend.requests.length > count);
				egress.recordCallStart(`r-${count}.5f`);
				egress.recordCallEnd(`r-${count}.5f`, isServed);
				await running;
			}

			const answerWithDelay: RawResponder = (socket, text) => {
				setTimeout(() => {
					answerServerError(socket, text);
				}, 20);
			};

			it('are not held against the backend server that answers with a server error because of them', async () => {
				const {egress} = await startFixture(answerWithDelay);
				await sendWithCall(false);
				await sendWithCall(false);
				expect(egress.findLoad('server-1', {priority: 0, route: 'sizes', organisation: ''})).to.include({isUnwell: false});
			});

			it('excuse no server error of a request whose calls were served', async () => {
				const {egress} = await startFixture(answerWithDelay);
				await sendWithCall(true);
				await sendWithCall(true);
				expect(egress.findLoad('server-1', {priority: 0, route: 'sizes', organisation: ''})).to.include({isUnwell: true});
			});

			it('excuse no server error of another request', async () => {
				const {egress, send} = await startFixture(answerWithDelay);
				await sendWithCall(false);
				await send({requestId: 'other-1'});
				await send({requestId: 'other-2'});
				expect(egress.findLoad('server-1', {priority: 0, route: 'sizes', organisation: ''})).to.include({isUnwell: true});
			});
		});

		it('are no longer recognised once the request that caused them has ended', async () => {
			const {egress, send} = await startFixture(answerComplete);
			await send();
			expect(egress.findRequestCause('r-1.5f')).to.equal(undefined);
		});
	});

	it('reports the load of a backend server', async () => {
		const {egress} = await startFixture(answerComplete);
		expect(egress.findLoad('server-1', {priority: 0, route: 'sizes', organisation: ''})).to.include({freeSlots: 3, queued: 0, isUnwell: false});
	});
});
