import {expect} from 'chai';
import {formatLines, RequestPathFixture} from '../request-path-fixture.js';

describe('refusals at an ingress', () => {
	let fixture: RequestPathFixture;

	beforeEach(async () => {
		fixture = new RequestPathFixture();
		await fixture.start();
	});

	afterEach(async () => {
		await fixture.stop();
	});

	const cases: ReadonlyArray<readonly [string, readonly string[], string, string]> = [
		['without a key', [], '1004', 'not-run'],
		['with a key, on the first attempt', ['idempotency-key: t:1', 'limpetbarrow-attempt: 1'], '1004', 'not-run'],
		['with a key, on a later attempt', ['idempotency-key: t:1', 'limpetbarrow-attempt: 2'], '4008', 'unknown'],
		['with a key and no attempt number', ['idempotency-key: t:1'], '4008', 'unknown'],
	];
	cases.forEach(([name, lines, code, ran]) => {
		it(`report ${ran} for a request ${name}`, async () => {
			const answer = await fixture.sendRaw(formatLines('GET /nowhere HTTP/1.1', 'host: shop.example', 'connection: close', ...lines, '', ''));
			expect(answer).to.match(new RegExp(String.raw`limpetbarrow-result: ${code}\r\n`, 'iv'));
			expect(answer).to.match(new RegExp(String.raw`limpetbarrow-ran: ${ran}\r\n`, 'iv'));
			expect(fixture.receivedRequests).to.deep.equal([]);
		});
	});
});
