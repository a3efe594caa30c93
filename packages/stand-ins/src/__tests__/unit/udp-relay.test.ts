import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {type Address} from '@limpetbarrow/core';
import {UdpRelay} from '../../index.js';

const settleMs = 50;

describe('a relay of datagrams', () => {
	let target: Socket;
	let sender: Socket;
	let relay: UdpRelay;
	let address: Address;
	let answers: string[];

	beforeEach(async () => {
		target = createSocket('udp4');
		sender = createSocket('udp4');
		target.bind(0, '127.0.0.1');
		sender.bind(0, '127.0.0.1');
		await Promise.all([once(target, 'listening'), once(sender, 'listening')]);
		target.on('message', (bytes, from) => {
			target.send(`answer to ${String(bytes)}`, from.port, from.address);
		});
		answers = [];
		sender.on('message', bytes => {
			answers.push(String(bytes));
		});
		relay = new UdpRelay({host: '127.0.0.1', port: target.address().port});
		address = await relay.listen();
	});

	afterEach(async () => {
		await relay.close();
		target.close();
		sender.close();
	});

	async function sendHello(): Promise<readonly string[]> {
		sender.send('hello', address.port, address.host);
		await wait(settleMs);
		return answers;
	}

	it('brings answers back to the sender', async () => {
		expect(await sendHello()).to.deep.equal(['answer to hello']);
	});

	it('drops by direction', async () => {
		relay.setDropped(['up']);
		expect(await sendHello()).to.deep.equal([]);
		relay.setDropped(['down']);
		expect(await sendHello()).to.deep.equal([]);
		relay.setDropped([]);
		expect(await sendHello()).to.deep.equal(['answer to hello']);
	});
});
