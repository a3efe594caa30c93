import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {type ExchangeHandler} from '@limpetbarrow/core';
import {maxPipelinedRequests} from '../../callers/caller-connection.js';
import {maxResponseHeldBytes} from '../../callers/caller-response.js';
import {formatRequest, PipelineFixture, waitUntil} from '../pipeline-fixture.js';

describe('pipelined requests', () => {
	let fixture: PipelineFixture;

	async function startFixture(): Promise<void> {
		fixture = new PipelineFixture();
		await fixture.start();
	}

	async function closeFixture(): Promise<void> {
		await fixture.close();
	}

	describe('on one connection', () => {
		beforeEach(startFixture);
		afterEach(closeFixture);

		it('run concurrently and are answered in request order', async () => {
			fixture.socket.write(['/a', '/b', '/c'].map(path => formatRequest(path)).join(''));
			expect(await fixture.hasOpened(3)).to.equal(true);
			fixture.carrier.answer('/c');
			fixture.carrier.answer('/b');
			await wait(30);
			expect(fixture.received).to.equal('');
			fixture.carrier.answer('/a');
			await waitUntil(() => fixture.listBodies().length === 3);
			expect(fixture.listBodies()).to.deep.equal(['/a', '/b', '/c']);
		});

		it('behind a failed request are still answered', async () => {
			fixture.socket.write(formatRequest('/a') + formatRequest('/b'));
			await fixture.hasOpened(2);
			fixture.carrier.answer('/b');
			fixture.carrier.fail('/a');
			await waitUntil(() => fixture.listBodies().length === 1);
			expect(fixture.received).to.match(/^HTTP\/1\.1 502/v);
			expect(fixture.listBodies()).to.deep.equal(['/b']);
		});

		// Guards against requests that are never answered because a response before them failed while it waited for its turn.
		it('behind a response that failed in the middle while it waited are answered, and it is replaced by its failure', async () => {
			fixture.socket.write(['/slow', '/large', '/next'].map(path => formatRequest(path)).join(''));
			await fixture.hasOpened(3);
			fixture.carrier.startAnswer('/large', 100);
			fixture.carrier.answer('/next');
			fixture.carrier.fail('/large');
			await wait(10);
			expect(fixture.received).to.equal('');
			fixture.carrier.answer('/slow');
			expect(await waitUntil(() => fixture.listBodies().length === 2)).to.equal(true);
			expect(fixture.listAnswers()).to.deep.equal(['200 /slow', '502', '200 /next']);
			expect(fixture.isClosed).to.equal(false);
		});

		// Guards against responses that are dropped because a later request on their connection is malformed.
		it('before one whose body breaks the rules of HTTP are answered first', async () => {
			fixture.socket.write(`${formatRequest('/a')}POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\nno size\r\n`);
			await fixture.hasOpened(2);
			await wait(30);
			expect(fixture.carrier.cancelled).to.deep.equal(['/b']);
			fixture.carrier.answer('/a');
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.listAnswers()).to.deep.equal(['200 /a', '400']);
		});

		['GET', 'POST'].forEach(method => {
			it(`behind a ${method} with "connection: close" are not read`, async () => {
				fixture.socket.write(formatRequest('/a', method, 'connection: close') + formatRequest('/b', method));
				await fixture.hasOpened(1);
				await wait(30);
				expect(fixture.carrier.listPaths()).to.deep.equal(['/a']);
				fixture.carrier.answer('/a');
				expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
				expect(fixture.listBodies()).to.deep.equal(['/a']);
			});
		});

		it('beyond the maximum are not read: the last accepted request\'s response closes the connection', async () => {
			const paths = Array.from({length: 300}, (_, index) => `/p${index}`);
			fixture.socket.write(paths.map(path => formatRequest(path)).join(''));
			await fixture.hasOpened(maxPipelinedRequests);
			await wait(50);
			expect(fixture.carrier.listPaths()).to.deep.equal(paths.slice(0, maxPipelinedRequests));
			fixture.carrier.listPaths().forEach(path => {
				fixture.carrier.answer(path);
			});
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.listBodies()).to.deep.equal(paths.slice(0, maxPipelinedRequests));
			expect(fixture.received.match(/connection: close/giv)).to.have.length(1);
		});

		it('beyond the maximum are not read either when the first response has already started', async () => {
			fixture.socket.write(formatRequest('/first'));
			await fixture.hasOpened(1);
			fixture.carrier.opened[0]!.handler.handleHead({status: 200, headers: ['content-length', '4']});
			fixture.carrier.opened[0]!.handler.handleData(Buffer.from('ha'));
			await waitUntil(() => fixture.received.endsWith('ha'));
			const paths = Array.from({length: 40}, (_, index) => `/p${index}`);
			fixture.socket.write(paths.map(path => formatRequest(path)).join(''));
			await wait(30);
			fixture.carrier.opened[0]!.handler.handleData(Buffer.from('lf'));
			fixture.carrier.opened[0]!.handler.handleEnd();
			expect(await fixture.hasOpened(maxPipelinedRequests)).to.equal(true);
			fixture.carrier.listPaths().slice(1).forEach(path => {
				fixture.carrier.answer(path);
			});
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.listBodies()).to.deep.equal(fixture.carrier.listPaths().slice(1));
		});

		it('before bytes that are not HTTP are answered, then the connection closes', async () => {
			fixture.socket.write(`${formatRequest('/a')}${formatRequest('/b')}\u0000nonsense\r\n\r\n`);
			await fixture.hasOpened(2);
			fixture.carrier.answer('/b');
			fixture.carrier.answer('/a');
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.listBodies()).to.deep.equal(['/a', '/b']);
		});

		// Guards against a refusal that the caller takes for the response to an earlier request, as "not run" though it runs.
		it('before a CONNECT are answered, then the connection closes', async () => {
			fixture.socket.write(`${formatRequest('/a')}CONNECT h:1 HTTP/1.1\r\nhost: h\r\n\r\n`);
			await fixture.hasOpened(1);
			await wait(30);
			expect(fixture.received).to.equal('');
			fixture.carrier.answer('/a');
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.listAnswers()).to.deep.equal(['200 /a']);
		});

		it('are cancelled when the caller disconnects', async () => {
			fixture.socket.write(formatRequest('/a') + formatRequest('/b'));
			await fixture.hasOpened(2);
			fixture.socket.destroy();
			expect(await waitUntil(() => fixture.carrier.cancelled.length === 2, 500)).to.equal(true);
			expect(fixture.carrier.cancelled).to.have.members(['/a', '/b']);
			expect(fixture.ingress.countRequests()).to.equal(0);
		});
	});

	describe('with a response without a length', () => {
		beforeEach(startFixture);
		afterEach(closeFixture);

		function startUnframedResponse(): ExchangeHandler {
			const {handler} = fixture.carrier.opened[0]!;
			handler.handleHead({status: 200, headers: [], isUnframed: true});
			handler.handleData(Buffer.from('answer to /first;'));
			return handler;
		}

		// Guards against a truncated response that looks complete when the process that passes it on is killed, as the kernel
		// then closes its connections in the normal way.
		it('get none of it before the backend server has ended it', async () => {
			fixture.socket.write(formatRequest('/first'));
			await fixture.hasOpened(1);
			startUnframedResponse();
			await wait(30);
			fixture.ingress.close();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.received).to.equal('');
		});

		// Guards against a response that is framed as complete though its backend server may have ended it early.
		it('get it in that form, ended by the end of the connection', async () => {
			fixture.socket.write(formatRequest('/first'));
			await fixture.hasOpened(1);
			startUnframedResponse().handleEnd();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.received).to.match(/connection: close\r\n/iv).and.match(/\r\n\r\nanswer to \/first;$/v).and.not.match(/transfer-encoding|content-length/iv);
		});

		// Guards against responses that are dropped because the end of the one before them closes their connection.
		it('get a failure in its place when they wait behind it, and then their own responses', async () => {
			fixture.socket.write(formatRequest('/first') + formatRequest('/second'));
			await fixture.hasOpened(2);
			startUnframedResponse();
			expect(fixture.carrier.cancelled).to.deep.equal(['/first']);
			fixture.carrier.answer('/second');
			expect(await waitUntil(() => fixture.listAnswers().length === 2)).to.equal(true);
			expect(fixture.listAnswers()).to.deep.equal(['502', '200 /second']);
			expect(fixture.isClosed).to.equal(false);
		});

		it('are left unread when they arrive while it is held', async () => {
			fixture.socket.write(formatRequest('/first'));
			await fixture.hasOpened(1);
			const handler = startUnframedResponse();
			fixture.socket.write(formatRequest('/second'));
			await wait(30);
			handler.handleEnd();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.carrier.listPaths()).to.deep.equal(['/first']);
			expect(fixture.listBodies()).to.deep.equal(['/first']);
		});

		// Guards against a truncated response that looks complete when the node gives up while its caller still reads it.
		it('get a reset when the node closes before all of it is written', async () => {
			const largeBytes = 16_777_216;
			fixture.socket.write(formatRequest('/first'));
			await fixture.hasOpened(1);
			fixture.socket.pause();
			const handler = startUnframedResponse();
			handler.handleData(Buffer.alloc(largeBytes, '.'));
			handler.handleEnd();
			await wait(30);
			fixture.ingress.close();
			fixture.socket.resume();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.received.length).to.be.below(largeBytes);
			expect(fixture.isReset).to.equal(true);
		});

		it('get it as it arrives when it is too large to be held', async () => {
			fixture.socket.write(formatRequest('/first'));
			await fixture.hasOpened(1);
			const handler = startUnframedResponse();
			handler.handleData(Buffer.alloc(maxResponseHeldBytes, '.'));
			expect(await waitUntil(() => fixture.received.length > maxResponseHeldBytes)).to.equal(true);
			handler.handleEnd();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
		});
	});

	describe('during a planned stop', () => {
		beforeEach(startFixture);
		afterEach(closeFixture);

		it('that were read are all answered, and only the last response closes the connection', async () => {
			fixture.socket.write(['/a', '/b', '/c'].map(path => formatRequest(path)).join(''));
			await fixture.hasOpened(3);
			fixture.ingress.startStopping();
			['/b', '/a', '/c'].forEach(path => {
				fixture.carrier.answer(path);
			});
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.listBodies()).to.deep.equal(['/a', '/b', '/c']);
			expect(fixture.received.match(/connection: close/giv)).to.have.length(1);
		});

		it('get a failure at the end of the stop if they are held, and the responses that are ready behind them follow', async () => {
			fixture.socket.write(formatRequest('/held') + formatRequest('/ready'));
			await fixture.hasOpened(2);
			fixture.ingress.startStopping();
			fixture.carrier.answer('/ready');
			await wait(30);
			expect(fixture.received).to.equal('');
			fixture.ingress.failRequests();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.received).to.match(/^HTTP\/1\.1 504/v);
			expect(fixture.listBodies()).to.deep.equal(['/ready']);
			expect(fixture.carrier.cancelled).to.deep.equal(['/held']);
		});

		// Guards against responses that are dropped when the node stops listening, as they are ready but not yet read.
		it('get their whole responses when the node stops listening while the caller reads slowly', async () => {
			const largeBytes = 8_388_608;
			fixture.socket.write(formatRequest('/large') + formatRequest('/next'));
			await fixture.hasOpened(2);
			fixture.ingress.startStopping();
			fixture.socket.pause();
			fixture.carrier.startAnswer('/large', largeBytes);
			fixture.carrier.finishAnswer('/large', largeBytes);
			await wait(30);
			fixture.ingress.stopListening();
			await wait(30);
			fixture.carrier.answer('/next');
			fixture.socket.resume();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.listAnswers()).to.deep.equal(['200 /large', '200 /next']);
		});

		it('get a response that is too large to be held as it arrives', async () => {
			fixture.socket.write(formatRequest('/large') + formatRequest('/next'));
			await fixture.hasOpened(2);
			fixture.carrier.answer('/next');
			fixture.carrier.startAnswer('/large', maxResponseHeldBytes * 2);
			await wait(30);
			expect(fixture.received).to.equal('');
			expect(Number(/ingress_held_response_bytes (?<bytes>\d+)/v.exec(fixture.metrics.formatReport())?.groups?.bytes)).to.be.greaterThan(0);
			fixture.carrier.finishAnswer('/large', maxResponseHeldBytes * 2);
			expect(await waitUntil(() => fixture.listAnswers().length === 2)).to.equal(true);
			expect(fixture.metrics.formatReport()).to.match(/ingress_held_response_bytes 0/v);
		});

		// Guards against a reset that drops sent bytes: the kernel resets a connection that is closed with unread requests.
		it('get the last response whole though a request behind it is left unread', async () => {
			const largeBytes = 16_777_216;
			fixture.socket.write(formatRequest('/large'));
			await fixture.hasOpened(1);
			fixture.ingress.startStopping();
			fixture.socket.pause();
			fixture.socket.write(formatRequest('/unread'));
			await wait(30);
			fixture.socket.write(formatRequest('/unread'));
			await wait(30);
			fixture.carrier.startAnswer('/large', largeBytes);
			fixture.carrier.finishAnswer('/large', largeBytes);
			await wait(50);
			fixture.socket.resume();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.listAnswers()).to.deep.equal(['200 /large']);
			expect(fixture.carrier.listPaths()).to.deep.equal(['/large']);
		});

		it('end idle connections when the node stops listening', async () => {
			await waitUntil(() => fixture.ingress.countConnections() === 1);
			fixture.ingress.stopListening();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
		});

		it('are not read behind one that is in progress', async () => {
			fixture.socket.write(formatRequest('/a'));
			await fixture.hasOpened(1);
			fixture.ingress.startStopping();
			fixture.socket.write(formatRequest('/b'));
			await wait(30);
			expect(fixture.carrier.listPaths()).to.deep.equal(['/a']);
			fixture.carrier.answer('/a');
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.listBodies()).to.deep.equal(['/a']);
		});

		it('end a download in progress by a reset, as a complete response would hide that it is not whole', async () => {
			fixture.socket.write(formatRequest('/download'));
			await fixture.hasOpened(1);
			fixture.ingress.startStopping();
			fixture.carrier.opened[0]!.handler.handleHead({status: 200, headers: ['content-length', '100']});
			fixture.carrier.opened[0]!.handler.handleData(Buffer.from('a part'));
			await waitUntil(() => fixture.received.endsWith('a part'));
			fixture.ingress.failRequests();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.received.endsWith('a part')).to.equal(true);
		});

		// Guards against ready responses that are dropped because the one before them is still being fixture.received.
		it('get the responses that are ready behind a download in progress, which is answered by a failure', async () => {
			fixture.socket.write(formatRequest('/download') + formatRequest('/ready'));
			await fixture.hasOpened(2);
			fixture.ingress.startStopping();
			fixture.carrier.startAnswer('/download', 100);
			fixture.carrier.answer('/ready');
			await wait(30);
			fixture.ingress.failRequests();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.listAnswers()).to.deep.equal(['504', '200 /ready']);
		});

		it('are not read once the response that closes the connection has started', async () => {
			fixture.socket.write(formatRequest('/a'));
			await fixture.hasOpened(1);
			fixture.ingress.startStopping();
			fixture.carrier.opened[0]!.handler.handleHead({status: 200, headers: ['content-length', '4']});
			await waitUntil(() => fixture.received.includes('\r\n\r\n'));
			fixture.socket.write(formatRequest('/b'));
			await wait(30);
			expect(fixture.carrier.listPaths()).to.deep.equal(['/a']);
			fixture.carrier.opened[0]!.handler.handleData(Buffer.from('done'));
			fixture.carrier.opened[0]!.handler.handleEnd();
			expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
			expect(fixture.received).to.match(/connection: close/iv).and.to.match(/done$/v);
		});
	});
});
