import {type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {exchangeWindowBytes} from '@limpetbarrow/core';
import {
	createTestHead, startHostEgressFixture, waitFor, type HostEgressFixture,
} from '../host-egress-fixture.js';
import {findRawHeader, formatRawResponse, type RawResponder} from '../raw-backend.js';

let fixture: HostEgressFixture;

async function startFixture(responder: RawResponder): Promise<HostEgressFixture> {
	fixture = await startHostEgressFixture(responder);
	return fixture;
}

describe('malformed responses of a backend server', () => {
	afterEach(async () => {
		await fixture.close();
	});

	describe('a late duplicate of a response', () => {
		const duplicates: ReadonlyArray<{readonly what: string; readonly status: number; readonly headers: readonly string[]}> = [
			{what: 'a complete response', status: 200, headers: []},
			{what: 'a server error', status: 500, headers: []},
			{what: 'a rejection', status: 503, headers: ['x-not-run: 1']},
			{what: 'a refusal by another server', status: 421, headers: []},
		];
		const timings: ReadonlyArray<{readonly when: string; readonly write: (socket: Socket, answer: string, duplicate: string) => void}> = [
			{
				when: 'before the next request is read',
				write(socket, answer, duplicate) {
					socket.write(duplicate + answer);
				},
			},
			{
				when: 'while the next request runs',
				write(socket, answer, duplicate) {
					socket.write(duplicate);
					setTimeout(() => {
						socket.write(answer);
					}, 20);
				},
			},
		];
		duplicates.forEach(({what, status, headers}) => {
			timings.forEach(({when, write}) => {
				it(`fails the next request as serverBroke instead of answering or rejecting it: ${what}, sent ${when}`, async () => {
					let first = '';
					const {send, backend} = await startFixture((socket, text) => {
						if (first === '') {
							first = text;
							socket.write(formatRawResponse(text));
						} else {
							write(socket, formatRawResponse(text), formatRawResponse(first, {status, headers, body: 'copy'}));
						}
					});
					expect(await send({isRepeatable: false})).to.deep.equal({outcome: '200', body: 'whole'});
					expect(await send({requestId: 'r-2', isRepeatable: false})).to.include({outcome: 'serverBroke'});
					expect(backend.requests.length).to.equal(2);
					await send({requestId: 'r-3', isRepeatable: false});
					expect(backend.connectionCount).to.equal(2);
				});
			});
		});

		// Guards against a repeated rejection that is taken for the answer to a later request, which the backend server runs.
		[
			{what: 'of the same request, sent again', id: 'r-1', rejectionId: 'r-1'},
			{what: 'without an id', id: 'r-2', rejectionId: ''},
		].forEach(({what, id, rejectionId}) => {
			[true, false].forEach(isRepeatable => {
				it(`of a rejection ${what}, says nothing of a later request that ${isRepeatable ? 'may' : 'must not'} be repeated`, async () => {
					const sockets = new Set<Socket>();
					let isRejected = false;
					const {send} = await startFixture((socket, text) => {
						const formatted = formatRawResponse(text, {status: 503, headers: ['x-not-run: 1'], id: rejectionId});
						const rejection = rejectionId === '' ? formatted.replace(/x-id: *\r\n/v, '') : formatted;
						const isKept = sockets.has(socket);
						sockets.add(socket);
						socket.write(isRejected ? (isKept ? rejection : '') + formatRawResponse(text) : rejection);
						isRejected = true;
					});
					expect(await send({isRepeatable})).to.include({outcome: 'serverShed'});
					// The connection is idle again once the rejection has been read to its end.
					await wait(20);
					expect(await send({requestId: id, isRepeatable})).to.deep.equal({outcome: '200', body: 'whole'});
				});
			});
		});

		it('closes the connection when it arrives while the connection is idle', async () => {
			const {send, backend} = await startFixture((socket, text) => {
				socket.write(formatRawResponse(text));
				setTimeout(() => {
					socket.write(formatRawResponse(text, {body: 'copy'}));
				}, 30);
			});
			await send();
			await wait(80);
			expect(await send({requestId: 'r-2'})).to.deep.equal({outcome: '200', body: 'whole'});
			expect(backend.connectionCount).to.equal(2);
		});
	});

	// Guards against an answer that breaks off within its head and reaches the caller as a complete one.
	describe('responses that stop within their head', () => {
		const heads: ReadonlyArray<{readonly after: string; readonly text: (id: string) => string}> = [
			{after: 'a part of the status line', text: () => 'HTTP/1.1 20'},
			{after: 'the status line', text: () => 'HTTP/1.1 200 OK\r\n'},
			{after: 'a header', text: id => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\n`},
			{after: 'a part of a length', text: id => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\ncontent-length: 0`},
			{after: 'a length', text: id => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\ncontent-length: 0\r\n`},
			{after: 'connection: close', text: id => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\nconnection: close\r\n`},
			{after: 'half of the empty line', text: id => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\nconnection: close\r\n\r`},
			{after: 'an interim response', text: () => 'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n'},
			{after: 'a header behind an interim response', text: id => `HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\nHTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\n`},
		];
		heads.forEach(({after, text}) => {
			[{on: 'a new connection', answersBefore: 0}, {on: 'a kept connection', answersBefore: 1}].forEach(({on, answersBefore}) => {
				it(`fail the request as serverBroke: after ${after}, on ${on}`, async () => {
					let count = 0;
					const {send} = await startFixture((socket, requestText) => {
						count++;
						if (count <= answersBefore) {
							socket.write(formatRawResponse(requestText));
						} else {
							socket.end(text(`r-${count}`));
						}
					});
					if (answersBefore > 0) {
						expect(await send({requestId: 'r-1'})).to.deep.equal({outcome: '200', body: 'whole'});
						await wait(20);
					}

					expect(await send({requestId: `r-${answersBefore + 1}`})).to.deep.equal({outcome: 'serverBroke', body: ''});
				});
			});
		});
	});

	// Guards against a response whose parts take far more memory than the bytes that are counted for them.
	it('is passed on in few parts though its chunks have one byte each', async () => {
		const parts: Uint8Array[] = [];
		const {egress} = await startFixture(socket => {
			socket.write('HTTP/1.1 200 OK\r\nx-id: r-1\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n');
			socket.write('1\r\na\r\n'.repeat(exchangeWindowBytes));
		});
		const exchange = egress.openExchange(createTestHead(), {
			handleHead() {
				// Only the body is looked at.
			},
			handleData(part) {
				parts.push(part);
			},
			handleEnd() {
				// It never ends.
			},
			handleFailure() {
				// Nor does it fail.
			},
			handleCredit() {
				// The request has no body.
			},
		});
		exchange.endBody();
		const countBytes = (): number => parts.reduce((sum, part) => sum + part.length, 0);
		await waitFor(() => countBytes() >= exchangeWindowBytes);
		exchange.cancel();
		expect(countBytes()).to.equal(exchangeWindowBytes);
		expect(parts.length).to.be.at.most(exchangeWindowBytes / 512);
		expect(Math.max(...parts.map(({buffer}) => buffer.byteLength))).to.be.at.most(exchangeWindowBytes);
	});

	// Guards against an exchange that is ended twice, as its handler cancels it when it gets the last small parts.
	[{how: 'ends', end: '0\r\n\r\n'}, {how: 'breaks', end: 'spoilt\r\n'}].forEach(({how, end}) => {
		it(`is not told of the end of a response that it cancels at its last part, when that response ${how}`, async () => {
			const calls: string[] = [];
			const {egress} = await startFixture((socket, text) => {
				socket.write(`HTTP/1.1 200 OK\r\nx-id: ${findRawHeader(text, 'x-id')}\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n`);
				socket.write(`1\r\na\r\n1\r\nb\r\n${end}`);
			});
			const exchange = egress.openExchange(createTestHead(), {
				handleHead() {
					// Only the body is looked at.
				},
				handleData(part) {
					calls.push(new TextDecoder().decode(part));
					if (calls.length === 2) {
						exchange.cancel();
					}
				},
				handleEnd() {
					calls.push('end');
				},
				handleFailure({name}) {
					calls.push(name);
				},
				handleCredit() {
					// The request has no body.
				},
			});
			exchange.endBody();
			await waitFor(() => calls.length > 2, 300);
			expect(calls).to.deep.equal(['a', 'b']);
		});
	});

	// Guards against a sound response that is taken for one without end, as parts of it are read again after each pause.
	it('is not taken for one without end: a response in small chunks that its caller reads slowly', async () => {
		const bodyBytes = 2 * exchangeWindowBytes;
		const stepBytes = 256;
		let received = 0;
		let outcome = '';
		const {egress} = await startFixture(socket => {
			socket.write('HTTP/1.1 200 OK\r\nx-id: r-1\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n');
			socket.write(`100\r\n${'a'.repeat(stepBytes)}\r\n`.repeat(bodyBytes / stepBytes));
			socket.write('0\r\n\r\n');
		});
		const exchange = egress.openExchange(createTestHead({remainingMs: 10_000}), {
			handleHead() {
				// Only the body is looked at.
			},
			handleData(part) {
				received += part.length;
			},
			handleEnd() {
				outcome = 'whole';
			},
			handleFailure({detail}) {
				outcome = detail;
			},
			handleCredit() {
				// The request has no body.
			},
		});
		exchange.endBody();
		const grantCredit = async (): Promise<void> => {
			if (outcome === '') {
				await wait(1);
				exchange.grantCredit(stepBytes);
				await grantCredit();
			}
		};

		await grantCredit();
		expect({outcome, received}).to.deep.equal({outcome: 'whole', received: bodyBytes});
	});

	// Guards against a status that HTTP doesn't have and that reaches callers, or an assertion of the HTTP client.
	describe('a status that no response has', () => {
		const statuses = ['000', '001', '099', '101', '600', '999', '0', '20', '1000', '-01', '2OO'];
		const forms: ReadonlyArray<readonly [string, string]> = [
			['with a length', 'content-length: 5\r\n\r\nwhole'],
			['in chunks', 'transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'],
			['that ends with its connection', 'connection: close\r\n\r\nwhole'],
			['with an upgrade', 'connection: upgrade\r\nupgrade: websocket\r\n\r\n'],
		];
		const interims: ReadonlyArray<readonly [string, string]> = [['', ''], [', behind an interim response', 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n']];
		statuses.forEach(status => {
			forms.forEach(([form, rest]) => {
				interims.forEach(([behind, interim]) => {
					it(`fails the request as serverBroke: ${status} ${form}${behind}`, async () => {
						const {send, logger} = await startFixture((socket, text) => {
							socket.write(`${interim}HTTP/1.1 ${status} Odd\r\nx-id: ${findRawHeader(text, 'x-id')}\r\nx-signature: s\r\n${rest}`);
							if (rest.startsWith('connection: close')) {
								socket.end();
							}
						});
						expect(await send({isRepeatable: false})).to.deep.equal({outcome: 'serverBroke', body: ''});
						const [, {detail = ''} = {}] = logger.lines.find(([event]) => event === 'egressFailed') ?? [];
						expect(String(detail)).not.to.match(/==|assert/iv);
					});
				});
			});
		});

		it('is found in whatever parts it arrives', async () => {
			const {send} = await startFixture((socket, text) => {
				[...`HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd\r\nx-id: ${findRawHeader(text, 'x-id')}\r\nx-signature: s\r\ncontent-length: 0\r\n\r\n`].forEach((letter, index) => {
					setTimeout(() => {
						socket.write(letter);
					}, index);
				});
			});
			expect(await send()).to.include({outcome: 'serverBroke'});
		});
	});

	it('is passed on: the last status that HTTP has', async () => {
		const {send} = await startFixture((socket, text) => {
			socket.write(formatRawResponse(text).replace('200', '599'));
		});
		expect(await send()).to.include({outcome: '599'});
	});

	describe('responses that never end', () => {
		const remainingMs = 700;
		const toleranceMs = 150;
		const maxBoundedBytes = 4_194_304;
		const signed = 'x-id: r-1\r\nx-signature: s\r\n';
		const cases: ReadonlyArray<{readonly where: string; readonly start: string; readonly endlessPart: string; readonly isBounded: boolean}> = [
			{
				where: 'in place of a response head', start: '', endlessPart: 'spoilt ', isBounded: true,
			},
			{
				where: 'in line ends before a status line', start: '', endlessPart: '\r\n', isBounded: true,
			},
			{
				where: 'in a status line', start: 'HTTP/1.1 200 ', endlessPart: 'OK', isBounded: true,
			},
			{
				where: 'in one header value', start: `HTTP/1.1 200 OK\r\n${signed}x-more: `, endlessPart: 'a', isBounded: true,
			},
			{
				where: 'in many headers', start: `HTTP/1.1 200 OK\r\n${signed}`, endlessPart: 'x-more: a\r\n', isBounded: true,
			},
			{
				where: 'in interim responses', start: '', endlessPart: 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n', isBounded: true,
			},
			{
				where: 'in a chunk\'s size', start: `HTTP/1.1 200 OK\r\n${signed}transfer-encoding: chunked\r\n\r\n`, endlessPart: '0', isBounded: true,
			},
			{
				where: 'in a chunk\'s extension', start: `HTTP/1.1 200 OK\r\n${signed}transfer-encoding: chunked\r\n\r\n5;x=`, endlessPart: 'a', isBounded: true,
			},
			{
				where: 'in trailers', start: `HTTP/1.1 200 OK\r\n${signed}transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n`, endlessPart: 'x-more: a\r\n', isBounded: true,
			},
			{
				where: 'in a body without a length', start: `HTTP/1.1 200 OK\r\n${signed}\r\n`, endlessPart: 'body', isBounded: false,
			},
			{
				where: 'in a body of response heads', start: `HTTP/1.1 200 OK\r\n${signed}\r\n`, endlessPart: 'HTTP/1.1 200 OK\r\nx: ', isBounded: false,
			},
			{
				where: 'in a body of status lines', start: `HTTP/1.1 200 OK\r\n${signed}\r\n`, endlessPart: 'HTTP/1.1 200 OK\r\n', isBounded: false,
			},
			{
				where: 'in a chunked body', start: `HTTP/1.1 200 OK\r\n${signed}transfer-encoding: chunked\r\n\r\n`, endlessPart: '4\r\nbody\r\n', isBounded: false,
			},
			{
				where: 'in an unsigned body', start: 'HTTP/1.1 200 OK\r\nx-id: r-1\r\n\r\n', endlessPart: 'body', isBounded: false,
			},
		];
		cases.forEach(({where, start, endlessPart, isBounded}) => {
			it(`fail by the request's deadline, close the connection and count against the backend server: endless bytes ${where}`, async () => {
				let bytes = 0;
				let isClosed = false;
				const part = endlessPart.repeat(Math.ceil(16_384 / endlessPart.length));
				const {send} = await startFixture(socket => {
					const writeMore = (): void => {
						setImmediate(() => {
							if (!socket.destroyed) {
								bytes = socket.bytesWritten;
								if (socket.write(part)) {
									writeMore();
								}
							}
						});
					};

					socket.on('drain', writeMore);
					socket.once('close', () => {
						isClosed = true;
					});
					socket.write(start);
					writeMore();
				});
				const startedAt = performance.now();
				const {outcome} = await send({remainingMs});
				expect(outcome).to.be.oneOf(['serverBroke', 'serverTimeout']);
				expect(performance.now() - startedAt).to.be.below(remainingMs + toleranceMs);
				await waitFor(() => isClosed);
				expect(isClosed).to.equal(true);
				expect(fixture.logger.lines.some(([event]) => event === 'serverRanBadly')).to.equal(true);
				if (isBounded) {
					expect(bytes).to.be.below(maxBoundedBytes);
				}
			});
		});
	});
});
