/**
 * Guards against a queue that is lost to a failing backend server: it begins to fail each request at once, while requests
 * wait for its slots. Each failure freed a slot, so all requests that waited were started and failed within milliseconds.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {
	startHostEgressFixture, waitFor, type ExchangeResult, type HostEgressFixture,
} from '../host-egress-fixture.js';
import {findRawHeader, formatRawResponse} from '../raw-backend.js';

const slots = 3;
const waitingCount = 6;

function formatServerError(text: string): string {
	return formatRawResponse(text, {status: 500});
}

describe('a backend server that begins to fail while requests wait for its slots', () => {
	let fixture: HostEgressFixture;
	let answers: ReadonlyMap<string, (status: number) => void>;
	let isFailing: boolean;

	beforeEach(async () => {
		answers = new Map();
		isFailing = false;
		fixture = await startHostEgressFixture((socket, text) => {
			if (isFailing) {
				socket.write(formatServerError(text));
				return;
			}

			answers = new Map([...answers, [findRawHeader(text, 'x-id'), status => {
				socket.write(formatRawResponse(text, {status}));
			}]]);
		});
	});

	afterEach(async () => {
		await fixture.close();
	});

	function sendMany(prefix: string, count: number, isRepeatable: boolean): ReadonlyArray<Promise<ExchangeResult>> {
		return Array.from({length: count}, async (_, index) => fixture.send({
			requestId: `${prefix}${index}`, isRepeatable, maxAttempts: 2, remainingMs: 10_000,
		}));
	}

	[{isRepeatable: false, kind: 'that must not be repeated'}, {isRepeatable: true, kind: 'that may be repeated'}].forEach(({isRepeatable, kind}) => {
		it(`loses few requests ${kind}: those that wait are refused as not run, so that they go on elsewhere`, async () => {
			const running = sendMany('running', slots, isRepeatable);
			await waitFor(() => answers.size === slots);
			const waiting = sendMany('waiting', waitingCount, isRepeatable);
			await wait(20);
			isFailing = true;
			answers.get('running0')!(500);
			const refused = await Promise.all(waiting);
			const outcomes = refused.map(({outcome}) => outcome);
			expect(outcomes.filter(outcome => outcome === '500').length).to.be.at.most(1);
			expect(outcomes.filter(outcome => outcome === 'serverUnwell').length).to.be.at.least(waitingCount - 1);
			expect(fixture.backend.requests.length).to.be.at.most(slots + 1);
			answers.get('running1')!(200);
			answers.get('running2')!(200);
			const finished = await Promise.all(running);
			expect(finished.map(({outcome}) => outcome)).to.deep.equal(['500', '200', '200']);
		});
	});
});
