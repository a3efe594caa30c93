/**
 * Guards against a node that ends because a backend server closes its connection while the response is held back for a slow
 * reader: the HTTP client threw an error outside of any request, which ended the process with all of its requests.
 */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {exchangeWindowBytes, type Exchange} from '@limpetbarrow/core';
import {startHostEgressFixture, waitFor, type HostEgressFixture} from '../host-egress-fixture.js';
import {findRawHeader} from '../raw-backend.js';

type Form = {
	readonly form: string;
	readonly headers: readonly string[];
};

const forms: readonly Form[] = [
	{form: 'no length', headers: ['connection: close']},
	{form: 'a length', headers: ['connection: close', `content-length: ${exchangeWindowBytes}`]},
];

describe('a response that is held back for a slow reader', () => {
	let fixture: HostEgressFixture;
	let socket: Socket | undefined;
	let receivedBytes: number;
	let outcome: string;
	let status: number;

	afterEach(async () => {
		await fixture.close();
	});

	async function openPaused(headers: readonly string[]): Promise<Exchange> {
		receivedBytes = 0;
		outcome = '';
		status = 0;
		fixture = await startHostEgressFixture((backendSocket, text) => {
			socket = backendSocket;
			backendSocket.write(['HTTP/1.1 200 OK', `x-id: ${findRawHeader(text, 'x-id')}`, 'x-signature: s', ...headers, '', ''].join('\r\n'));
			backendSocket.write(Buffer.alloc(exchangeWindowBytes));
		});
		const exchange = fixture.egress.openExchange({
			requestId: 'r-1',
			target: {kind: 'egress', serverId: 'server-1'},
			service: 'catalogue',
			method: 'GET',
			path: '/',
			headers: ['host', 'shop.example'],
			remainingMs: 5000,
			isRepeatable: true,
			organisation: '',
		}, {
			handleHead(head) {
				status = head.status;
			},
			handleData(chunk) {
				receivedBytes += chunk.length;
			},
			handleCredit() {
				// The request has no body.
			},
			handleEnd() {
				outcome = 'end';
			},
			handleFailure({name}) {
				outcome = name;
			},
		});
		exchange.endBody();
		await waitFor(() => receivedBytes === exchangeWindowBytes);
		return exchange;
	}

	forms.forEach(({form, headers}) => {
		it(`reaches its caller whole when it has ${form} and the backend server closes the connection meanwhile`, async () => {
			const exchange = await openPaused(headers);
			socket!.end();
			await wait(50);
			exchange.grantCredit(exchangeWindowBytes);
			await waitFor(() => outcome !== '');
			expect({outcome, status, receivedBytes}).to.deep.equal({outcome: 'end', status: 200, receivedBytes: exchangeWindowBytes});
		});
	});

	it('is not complete when the connection ends before its length', async () => {
		await openPaused(['connection: close', `content-length: ${exchangeWindowBytes + 1}`]);
		socket!.end();
		await waitFor(() => outcome !== '');
		expect(outcome).to.equal('serverBroke');
	});
});
