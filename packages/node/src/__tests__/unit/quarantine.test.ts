import {Buffer} from 'node:buffer';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	createFailure, Exchange, exchangeWindowBytes, type ExchangeHandler, type PoisonMark, type RequestHead,
} from '@limpetbarrow/core';
import {Quarantine} from '../../index.js';

const address = {host: '127.0.0.1', port: 1};
const poison = 'a size no shoe has';
/** Larger than a flow-control window, so that it is passed on before it has ended. */
const largePoison = poison.repeat(6000);
const windowBytes = exchangeWindowBytes;

/** A backend server that crashes on one body and counts the requests that it ran. */
class FakeServer {
	readonly id: string;
	runs = 0;
	/** True while whatever runs breaks off, because a poison request runs beside it. */
	isCrashing = false;

	constructor(id: string) {
		this.id = id;
	}

	openExchange(handler: ExchangeHandler): Exchange {
		return new FakeExchange(this, handler);
	}
}

class FakeExchange extends Exchange {
	readonly #server: FakeServer;
	readonly #handler: ExchangeHandler;
	#body = '';

	constructor(server: FakeServer, handler: ExchangeHandler) {
		super();
		this.#server = server;
		this.#handler = handler;
	}

	override writeBody(chunk: Uint8Array): void {
		this.#body += Buffer.from(chunk).toString();
	}

	override endBody(): void {
		this.#server.runs++;
		if (this.#server.isCrashing || this.#body === poison || this.#body === largePoison || this.#body === largePoison.slice(0, windowBytes)) {
			this.#handler.handleFailure(createFailure('serverBroke', 'crashed'));
			return;
		}

		this.#handler.handleHead({status: 200, headers: []});
		this.#handler.handleEnd();
	}

	override grantCredit(): void {
		// Responses have no body, so they need no credit.
	}

	override cancel(): void {
		// The tests cancel no request.
	}
}

function createHead(body: string): RequestHead {
	return {
		requestId: 'r',
		target: {kind: 'egress', serverId: 's'},
		service: 'fitting-desk',
		method: 'POST',
		path: '/orders',
		headers: ['content-length', String(body.length)],
		remainingMs: 1000,
		isRepeatable: false,
		organisation: '',
	};
}

async function sendRequest(quarantine: Quarantine, server: FakeServer, body: string): Promise<string> {
	const outcome = await new Promise<string>(resolve => {
		const exchange = quarantine.openExchange(createHead(body), {
			handleHead() {
				// Only the end counts.
			},
			handleData() {
				// Only the end counts.
			},
			handleCredit() {
				// Only the end counts.
			},
			handleEnd() {
				resolve('answered');
			},
			handleFailure({name}) {
				resolve(name);
			},
		}, {id: server.id, address}, handler => server.openExchange(handler));
		// The first part is as large as the credit of a sender allows.
		exchange.writeBody(Buffer.from(body.slice(0, windowBytes)));
		if (body.length > windowBytes) {
			exchange.writeBody(Buffer.from(body.slice(windowBytes)));
		}

		exchange.endBody();
	});
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	return outcome;
}

/** Three nodes with one server each, which publish their marks to one another. */
function createNodes(isCrashed: boolean): ReadonlyArray<{quarantine: Quarantine; server: FakeServer}> {
	const nodes: Array<{quarantine: Quarantine; server: FakeServer}> = [];
	const listFleetMarks = (): readonly PoisonMark[] => nodes.flatMap(({quarantine}) => quarantine.listMarks());
	['server-1', 'server-2', 'server-3'].forEach(id => {
		nodes.push({quarantine: new Quarantine(listFleetMarks, async () => isCrashed), server: new FakeServer(id)});
	});
	return nodes;
}

async function sendToEach(nodes: ReadonlyArray<{quarantine: Quarantine; server: FakeServer}>, body: string): Promise<readonly string[]> {
	return nodes.reduce<Promise<readonly string[]>>(async (before, {quarantine, server}) => {
		const outcomes = await before;
		quarantine.mergeFleetMarks();
		return [...outcomes, await sendRequest(quarantine, server, body)];
	}, Promise.resolve([]));
}

describe('quarantine', () => {
	it('refuses a request on all nodes after two servers crashed on it', async () => {
		const nodes = createNodes(true);
		expect(await sendToEach(nodes, poison)).to.deep.equal(['serverBroke', 'serverBroke', 'poisonRequest']);
		expect(nodes.map(({server}) => server.runs)).to.deep.equal([1, 1, 0]);
		nodes.forEach(({quarantine}) => {
			quarantine.mergeFleetMarks();
		});
		expect(await sendToEach(nodes, poison)).to.deep.equal(['poisonRequest', 'poisonRequest', 'poisonRequest']);
		expect(nodes.map(({server}) => server.runs)).to.deep.equal([1, 1, 0]);
	});

	it('forwards complete requests with other bodies to the same path', async () => {
		const nodes = createNodes(true);
		await sendToEach(nodes, poison);
		expect(await sendToEach(nodes, 'size 36')).to.deep.equal(['answered', 'answered', 'answered']);
	});

	// Guards against requests that are never held back because their bodies are large.
	describe('of a body that is larger than a window', () => {
		[largePoison, largePoison.slice(0, windowBytes)].forEach(body => {
			it(`refuses it on all nodes after two servers crashed on it: ${body.length} bytes`, async () => {
				const nodes = createNodes(true);
				expect(await sendToEach(nodes, body)).to.deep.equal(['serverBroke', 'serverBroke', 'poisonRequest']);
				expect(await sendToEach(nodes, body)).to.deep.equal(['poisonRequest', 'poisonRequest', 'poisonRequest']);
				expect(nodes.map(({server}) => server.runs)).to.deep.equal([1, 1, 0]);
			});
		});

		it('forwards those that begin differently or have another length', async () => {
			const nodes = createNodes(true);
			await sendToEach(nodes, largePoison);
			expect(await sendToEach(nodes, `.${largePoison}`)).to.deep.equal(['answered', 'answered', 'answered']);
			expect(await sendToEach(nodes, `${largePoison}.`)).to.deep.equal(['answered', 'answered', 'answered']);
		});
	});

	// Guards against a page that is closed to all callers because equal requests for it ran on two crashed servers.
	describe('of requests that ran beside a poison request', () => {
		const page = 'a page that many ask for';

		function mergeMarks(nodes: ReturnType<typeof createNodes>): void {
			nodes.forEach(({quarantine}) => {
				quarantine.mergeFleetMarks();
			});
		}

		async function crashTwo(nodes: ReturnType<typeof createNodes>): Promise<void> {
			const [first, second] = nodes;
			await [first!, second!].reduce(async (before, {quarantine, server}) => {
				await before;
				server.isCrashing = true;
				await Promise.all([poison, page].map(async body => sendRequest(quarantine, server, body)));
				server.isCrashing = false;
			}, Promise.resolve());
			mergeMarks(nodes);
		}

		it('refuses none that another node has answered, and goes on refusing the poison request', async () => {
			const nodes = createNodes(true);
			expect(await sendToEach([nodes[2]!], page)).to.deep.equal(['answered']);
			await crashTwo(nodes);
			mergeMarks(nodes);
			expect(await sendToEach(nodes, page)).to.deep.equal(['answered', 'answered', 'answered']);
			expect(await sendToEach(nodes, poison)).to.deep.equal(['poisonRequest', 'poisonRequest', 'poisonRequest']);
			expect(nodes.flatMap(({quarantine}) => quarantine.listMarks()).filter(({serverIds}) => serverIds.length > 0)).to.have.length(2);
		});

		it('refuses them once a server crashes on them that did not before', async () => {
			const nodes = createNodes(true);
			await sendToEach([nodes[2]!], page);
			await crashTwo(nodes);
			mergeMarks(nodes);
			const clock = install({toFake: ['Date'], now: Date.now() + 6000});
			await crashTwo(nodes);
			clock.uninstall();
			expect(await sendToEach(nodes, page)).to.deep.equal(['poisonRequest', 'poisonRequest', 'poisonRequest']);
		});
	});

	it('refuses nothing when connections broke but the servers still run', async () => {
		const nodes = createNodes(false);
		expect(await sendToEach(nodes, poison)).to.deep.equal(['serverBroke', 'serverBroke', 'serverBroke']);
	});

	it('identifies the servers that a quarantined request crashed', async () => {
		const nodes = createNodes(true);
		await sendToEach(nodes, poison);
		expect(['server-1', 'server-2', 'server-3'].map(id => nodes[2]!.quarantine.hasCrashed(id))).to.deep.equal([true, true, false]);
	});
});
