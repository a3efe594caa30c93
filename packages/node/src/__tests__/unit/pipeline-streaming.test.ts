import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {maxResponseHeldBytes} from '../../callers/caller-response.js';
import {formatRequest, PipelineFixture, waitUntil} from '../pipeline-fixture.js';

const largeBytes = 200_000;

describe('requests behind a response that is being streamed', () => {
	let fixture: PipelineFixture;

	beforeEach(async () => {
		fixture = new PipelineFixture();
		await fixture.start();
		fixture.socket.write(formatRequest('/large'));
		await fixture.hasOpened(1);
		fixture.carrier.startAnswer('/large', largeBytes);
		await waitUntil(() => fixture.received.includes('answer to /large;'));
	});

	afterEach(async () => {
		await fixture.close();
	});

	// Guards against requests that run and lose their responses when the one before them fails in the middle.
	it('are forwarded once it is complete, and then concurrently', async () => {
		fixture.socket.write(formatRequest('/a') + formatRequest('/b'));
		await wait(30);
		expect(fixture.carrier.listPaths()).to.deep.equal(['/large']);
		fixture.carrier.finishAnswer('/large', largeBytes);
		expect(await fixture.hasOpened(3)).to.equal(true);
		fixture.carrier.answer('/b');
		fixture.carrier.answer('/a');
		expect(await waitUntil(() => fixture.listAnswers().length === 3)).to.equal(true);
		expect(fixture.listAnswers()).to.deep.equal(['200 /large', '200 /a', '200 /b']);
		expect(fixture.metrics.formatReport()).to.match(/ingress_delayed_requests_total 2/v);
	});

	it('are never forwarded when it fails, which resets the connection', async () => {
		fixture.socket.write(formatRequest('/a') + formatRequest('/b', 'POST'));
		await wait(30);
		fixture.carrier.fail('/large');
		expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
		await wait(30);
		expect(fixture.carrier.listPaths()).to.deep.equal(['/large']);
		expect(fixture.ingress.countRequests()).to.equal(0);
	});

	it('have as much less time as they waited', async () => {
		fixture.socket.write(formatRequest('/a', 'GET', 'limpetbarrow-timeout-ms: 5000'));
		await wait(100);
		fixture.carrier.finishAnswer('/large', largeBytes);
		expect(await fixture.hasOpened(2)).to.equal(true);
		expect(fixture.carrier.opened[1]!.remainingMs).to.be.within(4000, 4910);
	});

	it('are refused as "not run" when their time is over before it is complete', async () => {
		fixture.socket.write(formatRequest('/a', 'GET', 'limpetbarrow-timeout-ms: 50'));
		await wait(100);
		fixture.carrier.finishAnswer('/large', largeBytes);
		expect(await waitUntil(() => fixture.listAnswers().length === 2)).to.equal(true);
		expect(fixture.listAnswers()).to.deep.equal(['200 /large', '504']);
		expect(fixture.received).to.match(/limpetbarrow-ran: not-run/v);
		expect(fixture.carrier.listPaths()).to.deep.equal(['/large']);
	});

	it('are forwarded with their whole bodies', async () => {
		fixture.socket.write('POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 300000\r\n\r\n');
		fixture.socket.write(Buffer.alloc(300_000, 'x'));
		await wait(30);
		fixture.carrier.finishAnswer('/large', largeBytes);
		expect(await waitUntil(() => fixture.carrier.bodyBytes === 300_000)).to.equal(true);
		fixture.carrier.answer('/a');
		expect(await waitUntil(() => fixture.listAnswers().length === 2)).to.equal(true);
	});

	it('are refused in their turn when their bodies break the rules of HTTP', async () => {
		fixture.socket.write('POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\nno size\r\n');
		await wait(30);
		fixture.carrier.finishAnswer('/large', largeBytes);
		expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
		expect(fixture.listAnswers()).to.deep.equal(['200 /large', '400']);
		expect(fixture.carrier.listPaths()).to.deep.equal(['/large']);
	});

	it('are left unread beyond the maximum in progress', async () => {
		const paths = Array.from({length: 20}, (_, index) => `/p${index}`);
		fixture.socket.write(paths.map(path => formatRequest(path)).join(''));
		await wait(30);
		fixture.carrier.finishAnswer('/large', largeBytes);
		await fixture.hasOpened(16);
		await wait(30);
		fixture.carrier.listPaths().slice(1).forEach(path => {
			fixture.carrier.answer(path);
		});
		expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
		expect(fixture.listBodies().slice(1)).to.deep.equal(fixture.carrier.listPaths().slice(1));
		expect(fixture.carrier.listPaths().length).to.equal(16);
	});
});
