import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {exchangeWindowBytes} from '@limpetbarrow/core';
import {maxResponseHeldBytes} from '../../callers/caller-response.js';
import {maxHeldBytes} from '../../callers/held-bytes.js';
import {formatRequest, PipelineFixture, waitUntil} from '../pipeline-fixture.js';

describe('pipelined requests behind a download in progress', () => {
	let fixture: PipelineFixture;

	beforeEach(async () => {
		fixture = new PipelineFixture();
		await fixture.start();
	});

	afterEach(async () => {
		await fixture.close();
	});

	// Guards against a response of more than a window that its backend server has sent and that is answered 504 instead: it was
	// not read while it waited behind another one.
	it('get a response of more than a window whole when the download fails at the end of a planned stop', async () => {
		const bytes = 400_000;
		const partBytes = 16_384;
		fixture.socket.write(formatRequest('/download') + formatRequest('/waiting'));
		await fixture.hasOpened(2);
		fixture.ingress.startStopping();
		fixture.carrier.startAnswer('/download', 100);
		const {handler} = fixture.carrier.opened[1]!;
		handler.handleHead({status: 200, headers: ['content-length', String(bytes)]});
		const body = Buffer.alloc(bytes, 'answer to /waiting;');
		const isWritten = Array.from({length: Math.ceil(bytes / partBytes)}, (_, index) => index * partBytes).every(from => {
			const isOpen = from - (fixture.carrier.grantedBytes.get('/waiting') ?? 0) < exchangeWindowBytes;
			if (isOpen) {
				handler.handleData(body.subarray(from, from + partBytes));
			}

			return isOpen;
		});
		if (isWritten) {
			handler.handleEnd();
		}

		fixture.ingress.failRequests();
		expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
		expect(fixture.listAnswers()).to.deep.equal(['504', '200 /waiting']);
	});

	// Guards against ready responses that are lost in a planned stop, as the one before them was started for want of memory.
	it('get their responses when the download fails at the end of a planned stop, however large it is', async () => {
		fixture.socket.write(formatRequest('/download') + formatRequest('/ready'));
		await fixture.hasOpened(2);
		fixture.ingress.startStopping();
		fixture.carrier.answer('/ready');
		const {handler} = fixture.carrier.opened[0]!;
		handler.handleHead({status: 200, headers: ['content-length', String(maxHeldBytes)]});
		Array.from({length: 8}).forEach(() => {
			handler.handleData(Buffer.alloc(maxResponseHeldBytes / 2));
		});
		fixture.ingress.failRequests();
		expect(await waitUntil(() => fixture.isClosed)).to.equal(true);
		expect(fixture.listAnswers()).to.deep.equal(['504', '200 /ready']);
	});

	it('are served in a planned stop when the download exceeds what the node may hold', async () => {
		fixture.socket.write(formatRequest('/download') + formatRequest('/ready'));
		await fixture.hasOpened(2);
		fixture.ingress.startStopping();
		fixture.carrier.answer('/ready');
		fixture.carrier.startAnswer('/download', 2 * maxHeldBytes);
		fixture.carrier.finishAnswer('/download', 2 * maxHeldBytes);
		expect(await waitUntil(() => fixture.listAnswers().length === 2)).to.equal(true);
		expect(fixture.metrics.formatReport()).to.match(/ingress_held_response_bytes 0/v);
	});

	it('get no more credit for a response that waits than may be held', async () => {
		fixture.socket.write(formatRequest('/download') + formatRequest('/waiting'));
		await fixture.hasOpened(2);
		const {handler} = fixture.carrier.opened[1]!;
		handler.handleHead({status: 200, headers: ['content-length', String(maxResponseHeldBytes * 2)]});
		const partBytes = 65_536;
		Array.from({length: 2 * maxResponseHeldBytes / partBytes}).forEach(() => {
			handler.handleData(Buffer.alloc(partBytes));
		});
		expect(fixture.carrier.grantedBytes.get('/waiting')).to.be.within(maxResponseHeldBytes / 2, maxResponseHeldBytes);
	});
});
