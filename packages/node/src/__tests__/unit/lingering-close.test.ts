import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {maxHeaderBytes} from '@limpetbarrow/core';
import {expect} from 'chai';
import {formatRequest, PipelineFixture, waitUntil} from '../pipeline-fixture.js';

const responseBytes = 1_500_000;
/** Bytes that the caller reads at once, and the time between two reads, in milliseconds. */
const readBytes = 30_000;
const readGapMs = 15;
/** Time between two parts that the caller sends meanwhile, in milliseconds. */
const sendGapMs = 30;
const readTimeoutMs = 6000;
const uploadBytes = 400_000;
const largeUploadBytes = 67_108_864;

// Guards against responses that are dropped undelivered by the reset of a connection on which the caller still sends.
describe('a connection that is closed while its caller still sends', function () {
	this.timeout(20_000);
	let fixture: PipelineFixture;
	let socket: Socket;
	let received: string;
	let errorCode: string | undefined;
	let isEnded: boolean;
	let reading: NodeJS.Timeout;
	let sending: NodeJS.Timeout;

	beforeEach(async () => {
		fixture = new PipelineFixture();
		await fixture.start();
		fixture.socket.destroy();
		received = '';
		errorCode = undefined;
		isEnded = false;
		socket = connect(fixture.port, '127.0.0.1');
		socket.pause();
		socket.on('error', ({code}: Error & {readonly code?: string}) => {
			errorCode = code;
		});
		socket.once('end', () => {
			isEnded = true;
		});
	});

	afterEach(async () => {
		clearInterval(reading);
		clearInterval(sending);
		socket.destroy();
		await fixture.close();
	});

	function readSlowly(): void {
		reading = setInterval(() => {
			const part: unknown = socket.read(Math.min(readBytes, socket.readableLength));
			if (part instanceof Uint8Array) {
				received += Buffer.from(part).toString('latin1');
			} else {
				socket.read(0);
			}
		}, readGapMs);
	}

	function countBodyBytes(): number {
		return received.length - received.indexOf('\r\n\r\n') - 4;
	}

	/**
	 * Asks for a large response and reads it slowly. Sends `first` once a part of it has arrived, and `next` from then on as long as
	 * it arrives; expects that it arrives whole.
	 */
	async function assertWholeResponse(first: string, next: string): Promise<void> {
		socket.write(formatRequest('/large'));
		await waitUntil(() => fixture.carrier.listPaths().includes('/large'));
		fixture.carrier.answer('/large', '.'.repeat(responseBytes));
		readSlowly();
		await waitUntil(() => received.length > 2 * readBytes);
		socket.write(first);
		sending = setInterval(() => {
			fixture.carrier.answer('/last');
			socket.write(next);
		}, sendGapMs);
		await waitUntil(() => errorCode !== undefined || countBodyBytes() >= responseBytes, readTimeoutMs);
		expect([errorCode, countBodyBytes() >= responseBytes]).to.deep.equal([undefined, true]);
	}

	describe('delivers a response that is read slowly, behind which come', () => {
		it('bytes that are no request', async () => {
			await assertWholeResponse('no request\r\n\r\n', 'nor is this\r\n\r\n');
		});

		it('a request that closes the connection, and more', async () => {
			await assertWholeResponse(formatRequest('/last', 'GET', 'connection: close'), formatRequest('/more'));
		});

		it('a request whose head is too large', async () => {
			await assertWholeResponse(formatRequest('/wide', 'GET', `x: ${'y'.repeat(2 * maxHeaderBytes)}`), 'x: y\r\n');
		});

		it('requests to a node that stops', async () => {
			fixture.ingress.startStopping();
			await assertWholeResponse(formatRequest('/next'), formatRequest('/next'));
		});

		it('an upload to a node that stops', async () => {
			fixture.ingress.startStopping();
			await assertWholeResponse(`POST /upload HTTP/1.1\r\nhost: h\r\ncontent-length: ${uploadBytes}\r\n\r\n`, '.'.repeat(uploadBytes / 20));
		});
	});

	it('delivers a refusal although a large upload goes on arriving', async () => {
		socket.write(`POST / HTTP/1.1\r\ncontent-length: ${largeUploadBytes}\r\n\r\n`);
		socket.write(Buffer.alloc(largeUploadBytes));
		await waitUntil(() => socket.writableLength === 0 || errorCode !== undefined, readTimeoutMs);
		readSlowly();
		await waitUntil(() => isEnded || errorCode !== undefined);
		expect([errorCode, received.slice(0, 12)]).to.deep.equal([undefined, 'HTTP/1.1 400']);
	});

	it('closes once the caller has closed its side', async () => {
		socket.write('no request\r\n\r\n');
		readSlowly();
		await waitUntil(() => isEnded);
		expect(received.slice(0, 12)).to.equal('HTTP/1.1 400');
		socket.end();
		await waitUntil(() => fixture.ingress.countConnections() === 0);
		expect(fixture.ingress.countConnections()).to.equal(0);
	});

	it('counts as being delivered until then', async () => {
		socket.write('no request\r\n\r\n');
		await waitUntil(() => fixture.ingress.countDelivering() === 1);
		expect(fixture.ingress.countDelivering()).to.equal(1);
		socket.end();
		await waitUntil(() => fixture.ingress.countDelivering() === 0);
		expect(fixture.ingress.countDelivering()).to.equal(0);
	});
});
