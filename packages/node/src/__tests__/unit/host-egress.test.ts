import {type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {
	Logger, MetricRegistry, SilentLogger, type LogEventName, type LogFields, type RequestHead,
} from '@limpetbarrow/core';
import {UnlimitedRetries, WindowedRetries, type RetryPolicy} from '@limpetbarrow/choose';
import {Announcements} from '@limpetbarrow/members';
import {HostEgress, ProvenServerProtocol} from '../../index.js';
import {
	findRawHeader, formatRawAnswer, RawBackend, testServerHeaders, type RawScript,
} from '../raw-backend.js';

type Answer = {
	readonly outcome: string;
	readonly body: string;
};

type Rig = {
	readonly backend: RawBackend;
	readonly announcements: Announcements;
	readonly egress: HostEgress;
	readonly send: (head?: Partial<RequestHead>) => Promise<Answer>;
	readonly announce: (fields?: Readonly<Record<string, unknown>>) => void;
};

const answerWhole: RawScript = (socket, text) => {
	socket.write(formatRawAnswer(text));
};

/** Keeps what was logged. */
class KeepingLogger extends Logger {
	lines: ReadonlyArray<readonly [LogEventName, LogFields]> = [];

	override log(event: LogEventName, fields: LogFields = {}): void {
		this.lines = [...this.lines, [event, fields]];
	}
}

let logger = new KeepingLogger();
let close: () => Promise<void> = async () => undefined;

async function sendRequest(egress: HostEgress, head: Partial<RequestHead>): Promise<Answer> {
	return new Promise(resolve => {
		let status = 0;
		let body = '';
		const exchange = egress.openExchange({
			requestId: 'r-1',
			target: {kind: 'egress', serverId: 'server-1'},
			service: 'catalogue',
			method: 'GET',
			path: '/sizes?x=1',
			headers: ['host', 'shop.example', 'x-extra', 'kept', 'x-caller', 'forged', 'connection', 'x-hop', 'x-hop', 'dropped'],
			remainingMs: 2000,
			isRepeatable: true,
			organisation: '',
			callerService: 'desk',
			...head,
		}, {
			handleHead(answer) {
				status = answer.status;
			},
			handleData(chunk) {
				body += new TextDecoder().decode(chunk);
			},
			handleCredit() {
				// Requests have no body.
			},
			handleEnd() {
				resolve({outcome: String(status), body});
			},
			handleFailure({name}) {
				resolve({outcome: name, body});
			},
		});
		exchange.endBody();
	});
}

async function waitFor(condition: () => boolean, boundMs = 1000): Promise<void> {
	if (!condition() && boundMs > 0) {
		await wait(5);
		await waitFor(condition, boundMs - 5);
	}
}

async function startRig(script: RawScript, createRetries: () => RetryPolicy = () => new UnlimitedRetries()): Promise<Rig> {
	logger = new KeepingLogger();
	const backend = new RawBackend(script);
	const {host, port} = await backend.listen();
	const announcements = new Announcements(new SilentLogger());
	const egress = new HostEgress({
		announcements,
		protocol: new ProvenServerProtocol(testServerHeaders),
		createRetries,
		listFleetMarks: () => [],
		isStopping: () => false,
		metrics: new MetricRegistry(),
		logger,
	});
	const announce = (fields: Readonly<Record<string, unknown>> = {}): void => {
		announcements.accept({
			id: 'server-1', service: 'catalogue', address: `${host}:${port}`, slots: 3, generation: 1, ...fields,
		}, host);
	};

	close = async () => {
		await egress.close();
		backend.close();
	};

	announce();
	return {
		backend, announcements, egress, announce, send: async (head = {}) => sendRequest(egress, head),
	};
}

describe('host egress', () => {
	afterEach(async () => {
		await close();
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

	describe('second copies of an answer, late, on a connection that is in use again', () => {
		const copies: ReadonlyArray<{readonly what: string; readonly status: number; readonly headers: readonly string[]}> = [
			{what: 'a whole answer', status: 200, headers: []},
			{what: 'a server error', status: 500, headers: []},
			{what: 'a rejection', status: 503, headers: ['x-not-run: 1']},
			{what: 'another server\'s refusal', status: 421, headers: []},
		];
		const moments: ReadonlyArray<{readonly when: string; readonly write: (socket: Socket, answer: string, copy: string) => void}> = [
			{
				when: 'before the next request is read',
				write(socket, answer, copy) {
					socket.write(copy + answer);
				},
			},
			{
				when: 'while the next request runs',
				write(socket, answer, copy) {
					socket.write(copy);
					setTimeout(() => {
						socket.write(answer);
					}, 20);
				},
			},
		];
		copies.forEach(({what, status, headers}) => {
			moments.forEach(({when, write}) => {
				it(`are neither the next caller's answer nor a word on its request: ${what}, ${when}`, async () => {
					let first = '';
					const {send, backend} = await startRig((socket, text) => {
						if (first === '') {
							first = text;
							socket.write(formatRawAnswer(text));
						} else {
							write(socket, formatRawAnswer(text), formatRawAnswer(first, {status, headers, body: 'copy'}));
						}
					});
					expect(await send({isRepeatable: false})).to.deep.equal({outcome: '200', body: 'whole'});
					expect(await send({requestId: 'r-2', isRepeatable: false})).to.include({outcome: 'serverBroke'});
					expect(backend.requests.length).to.equal(2);
					await send({requestId: 'r-3', isRepeatable: false});
					expect(backend.connections).to.equal(2);
				});
			});
		});

		it('close a connection that is not in use', async () => {
			const {send, backend} = await startRig((socket, text) => {
				socket.write(formatRawAnswer(text));
				setTimeout(() => {
					socket.write(formatRawAnswer(text, {body: 'copy'}));
				}, 30);
			});
			await send();
			await wait(80);
			expect(await send({requestId: 'r-2'})).to.deep.equal({outcome: '200', body: 'whole'});
			expect(backend.connections).to.equal(2);
		});
	});

	describe('bytes without end', () => {
		const remainingMs = 700;
		const slackMs = 150;
		const maxHeadBytes = 4_194_304;
		const signed = 'x-id: r-1\r\nx-signature: s\r\n';
		const cases: ReadonlyArray<{readonly where: string; readonly start: string; readonly more: string; readonly isHead: boolean}> = [
			{
				where: 'in place of a head', start: '', more: 'spoilt ', isHead: true,
			},
			{
				where: 'in a status line', start: 'HTTP/1.1 200 ', more: 'OK', isHead: true,
			},
			{
				where: 'in one header', start: `HTTP/1.1 200 OK\r\n${signed}x-more: `, more: 'a', isHead: true,
			},
			{
				where: 'in more and more headers', start: `HTTP/1.1 200 OK\r\n${signed}`, more: 'x-more: a\r\n', isHead: true,
			},
			{
				where: 'in answers before the answer', start: '', more: 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n', isHead: true,
			},
			{
				where: 'in a chunk\'s size', start: `HTTP/1.1 200 OK\r\n${signed}transfer-encoding: chunked\r\n\r\n`, more: '0', isHead: false,
			},
			{
				where: 'in a chunk\'s extension', start: `HTTP/1.1 200 OK\r\n${signed}transfer-encoding: chunked\r\n\r\n5;x=`, more: 'a', isHead: false,
			},
			{
				where: 'in trailers', start: `HTTP/1.1 200 OK\r\n${signed}transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n`, more: 'x-more: a\r\n', isHead: false,
			},
			{
				where: 'in a body without a length', start: `HTTP/1.1 200 OK\r\n${signed}\r\n`, more: 'body', isHead: false,
			},
			{
				where: 'in a body of chunks', start: `HTTP/1.1 200 OK\r\n${signed}transfer-encoding: chunked\r\n\r\n`, more: '4\r\nbody\r\n', isHead: false,
			},
			{
				where: 'in an unsigned body', start: 'HTTP/1.1 200 OK\r\nx-id: r-1\r\n\r\n', more: 'body', isHead: false,
			},
		];
		cases.forEach(({where, start, more, isHead}) => {
			it(`${where} end within the request's time, unlike a whole answer, and count against the backend server`, async () => {
				let bytes = 0;
				let isClosed = false;
				const part = more.repeat(Math.ceil(16_384 / more.length));
				const {send} = await startRig(socket => {
					const writeOn = (): void => {
						setImmediate(() => {
							if (!socket.destroyed) {
								bytes = socket.bytesWritten;
								if (socket.write(part)) {
									writeOn();
								}
							}
						});
					};

					socket.on('drain', writeOn);
					socket.once('close', () => {
						isClosed = true;
					});
					socket.write(start);
					writeOn();
				});
				const startedAt = performance.now();
				const {outcome} = await send({remainingMs});
				expect(outcome).to.be.oneOf(['serverBroke', 'serverTimeout']);
				expect(performance.now() - startedAt).to.be.below(remainingMs + slackMs);
				await waitFor(() => isClosed);
				expect(isClosed).to.equal(true);
				expect(logger.lines.some(([event]) => event === 'serverRanBadly')).to.equal(true);
				if (isHead) {
					expect(bytes).to.be.below(maxHeadBytes);
				}
			});
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
			expect(logger.lines.filter(([event]) => event === 'sheddingChanged').map(([, fields]) => fields)).to.deep.equal([
				{server: 'server-1', isShedding: true}, {server: 'server-1', isShedding: false},
			]);
		});
	});

	describe('retries', () => {
		it('are refused beyond the budget, and the refusal is no arrival', async () => {
			const {send, backend} = await startRig(answerWhole, () => new WindowedRetries({windowMs: 10_000, ratio: 0.2, allowance: 1}, () => 1));
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
