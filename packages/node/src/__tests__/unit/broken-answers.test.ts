import {type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {startHostEgressFixture, waitFor, type HostEgressFixture} from '../host-egress-fixture.js';
import {formatRawResponse, type RawResponder} from '../raw-backend.js';

let fixture: HostEgressFixture;

async function startFixture(responder: RawResponder): Promise<HostEgressFixture> {
	fixture = await startHostEgressFixture(responder);
	return fixture;
}

describe('bytes of a backend server in trouble', () => {
	afterEach(async () => {
		await fixture.close();
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

		it('close a connection that is not in use', async () => {
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

	describe('bytes without end', () => {
		const remainingMs = 700;
		const toleranceMs = 150;
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
				if (isHead) {
					expect(bytes).to.be.below(maxHeadBytes);
				}
			});
		});
	});
});
