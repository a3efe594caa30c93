import {expect} from 'chai';
import {type ExchangeHandler, type RequestHead, type ResultName} from '@limpetbarrow/core';
import {Connection, LinkPool, type Packet} from '../../index.js';

const createPeer = (id: string) => ({identity: {id, incarnation: 1}, address: {host: '127.0.0.1', port: 1}});
const head: RequestHead = {
	requestId: 'r1', target: {kind: 'egress', serverId: 's'}, service: 's', method: 'GET', path: '/', headers: [], remainingMs: 1000, isRepeatable: true, organisation: '',
};

class SilentConnection extends Connection {
	override getLastReceivedAt(): number {
		return 0;
	}

	override send(_packet: Packet): number {
		return 0;
	}

	override end(): void {
		// Nothing is open.
	}

	override close(): void {
		// Nothing is open.
	}

	override registerHandler(): () => void {
		return () => undefined;
	}
}

function refuseToConnect(): Connection {
	throw new Error('a connection was opened');
}

function createHandler(handleFailure: (name: ResultName) => void): ExchangeHandler {
	return {
		handleHead: () => undefined,
		handleData: () => undefined,
		handleEnd: () => undefined,
		handleCredit: () => undefined,
		handleFailure({name}) {
			handleFailure(name);
		},
	};
}

describe('LinkPool', () => {
	it('opens no connection after it was closed, and fails exchanges with linkUnreachable', async () => {
		const pool = new LinkPool({id: 'one', incarnation: 1}, {}, refuseToConnect);
		pool.close();
		const name = await new Promise<ResultName>(resolve => {
			pool.getLink(createPeer('two')).openExchange(head, createHandler(resolve));
		});
		expect(name).to.equal('linkUnreachable');
		expect(pool.countSessions()).to.equal(0);
	});

	it('closes the session of a link even when another link was requested before its first exchange', () => {
		const pool = new LinkPool({id: 'one', incarnation: 1}, {}, () => new SilentConnection());
		const first = pool.getLink(createPeer('two'));
		const second = pool.getLink(createPeer('three'));
		const failures: ResultName[] = [];
		[first, second].forEach(link => {
			link.openExchange(head, createHandler(name => {
				failures.push(name);
			}));
		});
		expect(pool.countSessions()).to.equal(2);
		pool.close();
		expect(failures).to.have.length(2);
	});
});
