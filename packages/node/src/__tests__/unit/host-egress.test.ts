import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {type RequestHead} from '@limpetbarrow/core';
import {WindowedRetryBudget, type RetryPolicy} from '@limpetbarrow/choose';
import {
	answerWhole, startEgressRig, waitFor, type EgressRig,
} from '../host-egress-rig.js';
import {findRawHeader, formatRawAnswer, type RawScript} from '../raw-backend.js';

let rig: EgressRig;

async function startRig(script: RawScript, createRetries?: () => RetryPolicy): Promise<EgressRig> {
	rig = await startEgressRig(script, createRetries);
	return rig;
}

describe('host egress', () => {
	afterEach(async () => {
		await rig.close();
	});

	describe('requests', () => {
		it('name the backend server, the caller and the time left, and keep the rest', async () => {
			const {send, backend} = await startRig(answerWhole);
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

	describe('answers that are not this request\'s whole answer', () => {
		const cases: ReadonlyArray<{readonly what: string; readonly outcome: string; readonly answer: RawScript}> = [
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
				what: 'are shorter than their length',
				outcome: 'serverBroke',
				answer(socket, text) {
					socket.end(formatRawAnswer(text).slice(0, -2));
				},
			},
			{
				what: 'belong to another request',
				outcome: 'serverBroke',
				answer(socket, text) {
					socket.write(formatRawAnswer(text, {id: 'r-0'}));
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
				what: 'have an encoding',
				outcome: 'serverBroke',
				answer(socket, text) {
					socket.write(formatRawAnswer(text, {headers: ['content-encoding: gzip']}));
				},
			},
			{
				what: 'say that the request did not run',
				outcome: 'serverShed',
				answer(socket, text) {
					socket.write(formatRawAnswer(text, {status: 503, headers: ['x-not-run: 1']}));
				},
			},
			{
				what: 'come from another backend server',
				outcome: 'serverReplaced',
				answer(socket, text) {
					socket.write(formatRawAnswer(text, {status: 421}));
				},
			},
		];
		cases.forEach(({what, outcome, answer}) => {
			it(`that ${what} fail as ${outcome}`, async () => {
				const {send} = await startRig(answer);
				expect(await send()).to.include({outcome});
			});
		});

		it('without a length, ended in order, are whole', async () => {
			const {send} = await startRig((socket, text) => {
				socket.end(`HTTP/1.1 200 OK\r\nx-id: ${findRawHeader(text, 'x-id')}\r\nx-signature: s\r\nconnection: close\r\n\r\nall of it`);
			});
			expect(await send()).to.deep.equal({outcome: '200', body: 'all of it'});
		});

		it('that follow a whole answer harm no later request', async () => {
			const {send} = await startRig((socket, text) => {
				socket.write(formatRawAnswer(text) + formatRawAnswer(text, {id: 'r-0', body: 'extra'}));
			});
			expect(await send()).to.deep.equal({outcome: '200', body: 'whole'});
			await wait(20);
			expect(await send({requestId: 'r-2'})).to.deep.equal({outcome: '200', body: 'whole'});
		});
	});

	describe('a backend server at whose address another is found', () => {
		it('gets no more requests', async () => {
			const {send, backend, egress} = await startRig((socket, text) => {
				socket.write(formatRawAnswer(text, {status: 421}));
			});
			await send();
			expect(egress.listServers()).to.deep.equal([]);
			expect(await send()).to.include({outcome: 'serverNotHere'});
			expect(backend.requests.length).to.equal(1);
		});
	});

	describe('a backend server that leaves', () => {
		it('gets nothing new from the acknowledgement on, also what waits', async () => {
			const answers: Array<() => void> = [];
			const {send, backend, announce} = await startRig((socket, text) => {
				answers.push(() => {
					socket.write(formatRawAnswer(text));
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

		it('may say so without having announced it before', async () => {
			const {send, announcements} = await startRig(answerWhole);
			announcements.leave('server-1');
			expect(await send()).to.include({outcome: 'serverLeaving'});
		});
	});

	describe('slots', () => {
		it('bound the requests at the backend server, the most urgent first', async () => {
			const answers: Array<() => void> = [];
			const {send, backend} = await startRig((socket, text) => {
				answers.push(() => {
					socket.write(formatRawAnswer(text));
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
		it('is told of once when it begins and once when it takes work again, and gets all work meanwhile', async () => {
			let isFull = true;
			const {send, egress} = await startRig((socket, text) => {
				socket.write(isFull ? 'HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n' : formatRawAnswer(text));
			});
			const sendMany = async (count: number): Promise<void> => {
				if (count > 0) {
					await send({isRepeatable: false});
					await sendMany(count - 1);
				}
			};

			await sendMany(4);
			expect(egress.findLoad('server-1', 0, 'sizes')).to.include({isShedding: true, isUnwell: false});
			isFull = false;
			await sendMany(20);
			expect(egress.findLoad('server-1', 0, 'sizes')).to.not.have.property('isShedding');
			expect(rig.logger.lines.filter(([event]) => event === 'sheddingChanged').map(([, fields]) => fields)).to.deep.equal([
				{server: 'server-1', isShedding: true}, {server: 'server-1', isShedding: false},
			]);
		});
	});

	describe('retries', () => {
		it('are refused beyond the budget, and the refusal is no arrival', async () => {
			const {send, backend} = await startRig(answerWhole, () => new WindowedRetryBudget({windowMs: 10_000, ratio: 0.2, allowance: 1}, () => 1));
			expect(await send({earlierAttempts: 1, maxAttempts: 2})).to.include({outcome: '200'});
			expect(await send({earlierAttempts: 1, maxAttempts: 2})).to.include({outcome: 'retriesSpent'});
			expect(backend.requests.length).to.equal(1);
		});
	});

	describe('calls of the backend server', () => {
		const rows: ReadonlyArray<{readonly what: string; readonly running: Partial<RequestHead>; readonly id: string; readonly cause: string | undefined}> = [
			{
				what: 'by a first run', running: {}, id: 'r-1.5f', cause: 'call',
			},
			{
				what: 'by a repeated run', running: {earlierAttempts: 1}, id: 'r-1.5f', cause: 'repeatedCall',
			},
			{
				what: 'by the run of a repeated call', running: {cause: 'repeatedCall'}, id: 'r-1.5f', cause: 'repeatedCall',
			},
			{
				what: 'by the run of a call', running: {cause: 'call'}, id: 'r-1.5f', cause: 'call',
			},
			{
				what: 'with an id of its own', running: {}, id: 'q-7', cause: undefined,
			},
			{
				what: 'with the very id that runs', running: {}, id: 'r-1', cause: undefined,
			},
		];
		rows.forEach(({what, running, id, cause}) => {
			it(`are told from requests of callers: one ${what}`, async () => {
				const {egress, send, backend} = await startRig(() => undefined);
				void send(running);
				await waitFor(() => backend.requests.length === 1);
				expect(egress.findCause(id)).to.equal(cause);
			});
		});

		it('end with the run', async () => {
			const {egress, send} = await startRig(answerWhole);
			await send();
			expect(egress.findCause('r-1.5f')).to.equal(undefined);
		});
	});

	it('answers heads that carry its load', async () => {
		const {egress} = await startRig(answerWhole);
		expect(egress.findLoad('server-1', 0, 'sizes')).to.include({freeSlots: 3, queued: 0, isUnwell: false});
	});
});
