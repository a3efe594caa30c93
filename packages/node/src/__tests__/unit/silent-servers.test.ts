import {type Socket} from 'node:net';
import {expect} from 'chai';
import {startHostEgressFixture, type HostEgressFixture} from '../host-egress-fixture.js';
import {formatRawResponse} from '../raw-backend.js';

/** Time for which a request waits on a silent connection, in milliseconds: less than any time-out of a connection. */
const attemptMs = 150;
const connections = 3;

// Guards against connections to a backend server that stay in use under steady load though they have gone silent.
describe('connections to a backend server that go silent', () => {
	let fixture: HostEgressFixture;
	let known: ReadonlySet<Socket>;
	let isSilent: boolean;

	beforeEach(async () => {
		known = new Set();
		isSilent = false;
		fixture = await startHostEgressFixture((socket, text) => {
			if (!isSilent) {
				known = new Set([...known, socket]);
				setTimeout(() => {
					socket.write(formatRawResponse(text));
				}, 20);
			} else if (!known.has(socket)) {
				socket.write(formatRawResponse(text));
			}
		});
		await Promise.all(Array.from({length: connections}, async (_, index) => fixture.send({requestId: `first-${index}`})));
		isSilent = true;
	});

	afterEach(async () => {
		await fixture.close();
	});

	/** Sends one request after the other until one is answered; resolves to the number of those that were not. */
	async function countUnanswered(count = 0): Promise<number> {
		const {outcome} = await fixture.send({requestId: `next-${count}`, remainingMs: attemptMs});
		return outcome === '200' || count > 2 * connections ? count : countUnanswered(count + 1);
	}

	it('cost one request each at most', async () => {
		expect(known.size).to.be.within(1, connections);
		expect(await countUnanswered()).to.be.at.most(known.size);
	});
});
