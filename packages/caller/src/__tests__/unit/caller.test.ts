import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {once} from 'node:events';
import {resultHeader} from '@limpetbarrow/core';
import {expect} from 'chai';
import {Caller} from '../../index.js';

type Ingress = {readonly server: Server; readonly origin: string};

async function startIngress(name: string, headers: Readonly<Record<string, string>>): Promise<Ingress> {
	const server = createServer((_message, response) => {
		response.writeHead(200, headers);
		response.end(name);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {server, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`};
}

describe('Caller', () => {
	let ingresses: readonly Ingress[] = [];

	afterEach(() => {
		ingresses.forEach(({server}) => {
			server.closeAllConnections();
			server.close();
		});
	});

	async function sendTwice(headers: Readonly<Record<string, string>>): Promise<readonly string[]> {
		ingresses = [await startIngress('one', headers), await startIngress('two', {})];
		const caller = new Caller(ingresses.map(({origin}) => origin));
		const first = await caller.send({method: 'POST', path: '/payouts', body: '{}'});
		const second = await caller.send({method: 'POST', path: '/payouts', body: '{}'});
		return [first.text, second.text];
	}

	it('sends to another ingress after one answered with "connection: close"', async () => {
		expect(await sendTwice({connection: 'close'})).to.deep.equal(['one', 'two']);
	});

	it('keeps using an ingress that closed one connection with a refusal', async () => {
		expect(await sendTwice({connection: 'close', [resultHeader]: '1003'})).to.deep.equal(['one', 'one']);
	});

	it('keeps using an ingress that keeps its connections open', async () => {
		expect(await sendTwice({})).to.deep.equal(['one', 'one']);
	});
});
