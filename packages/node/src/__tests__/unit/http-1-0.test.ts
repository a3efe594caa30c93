import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {maxResponseHeldBytes} from '../../callers/caller-response.js';
import {formatRequest, PipelineFixture, waitUntil} from '../pipeline-fixture.js';

describe('requests of a caller who knows only HTTP/1.0', () => {
	const requests = ['/a', '/b'].map(path => formatRequest(path, 'GET', 'connection: keep-alive').replace('1.1', '1.0'));

	let fixture: PipelineFixture;

	beforeEach(async () => {
		fixture = new PipelineFixture();
		await fixture.start();
	});

	afterEach(async () => {
		await fixture.close();
	});

	// Guards against a part of a response that looks whole, and against responses that are dropped behind it.
	it('get a length instead of chunks, with the whole response', async () => {
		fixture.socket.write(requests.join(''));
		expect(await fixture.hasOpened(2)).to.equal(true);
		const {handler} = fixture.carrier.opened[0]!;
		handler.handleHead({status: 200, headers: []});
		handler.handleData(Buffer.from('answer '));
		fixture.carrier.answer('/b');
		await wait(30);
		expect(fixture.received).to.equal('');
		handler.handleData(Buffer.from('to /a;'));
		handler.handleEnd();
		expect(await waitUntil(() => fixture.listAnswers().length === 2)).to.equal(true);
		expect(fixture.listAnswers()).to.deep.equal(['200 /a', '200 /b']);
		expect(fixture.isClosed).to.equal(false);
	});

	it('get a failure in its place when it is too large to be held and they wait behind it', async () => {
		fixture.socket.write(requests.join(''));
		await fixture.hasOpened(2);
		const {handler} = fixture.carrier.opened[0]!;
		handler.handleHead({status: 200, headers: []});
		fixture.carrier.answer('/b');
		handler.handleData(Buffer.alloc(maxResponseHeldBytes + 1));
		expect(await waitUntil(() => fixture.listAnswers().length === 2)).to.equal(true);
		expect(fixture.listAnswers()).to.deep.equal(['502', '200 /b']);
		expect(fixture.carrier.cancelled).to.deep.equal(['/a']);
	});

	it('get it as it arrives, ended by the end of the connection, when it is too large to be held', async () => {
		fixture.socket.write(requests[0]!);
		await fixture.hasOpened(1);
		const {handler} = fixture.carrier.opened[0]!;
		handler.handleHead({status: 200, headers: []});
		handler.handleData(Buffer.alloc(maxResponseHeldBytes + 1, '.'));
		expect(await waitUntil(() => fixture.received.length > maxResponseHeldBytes)).to.equal(true);
		handler.handleData(Buffer.from('answer to /a;'));
		handler.handleEnd();
		expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
		expect(fixture.listBodies()).to.deep.equal(['/a']);
	});
});
