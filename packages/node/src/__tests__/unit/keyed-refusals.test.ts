import {expect} from 'chai';
import {formatLines, RequestPathFixture} from '../request-path-fixture.js';

describe('refusals of keyed requests at an ingress', () => {
	let fixture: RequestPathFixture;

	beforeEach(async () => {
		fixture = new RequestPathFixture();
		await fixture.start();
	});

	afterEach(async () => {
		await fixture.stop();
	});

	const cases: ReadonlyArray<readonly [string, readonly string[], string, string]> = [
		['without key', [], '1004', 'not-run'],
		['counted as the first send', ['idempotency-key: t:1', 'limpetbarrow-attempt: 1'], '1004', 'not-run'],
		['counted as a later send', ['idempotency-key: t:1', 'limpetbarrow-attempt: 2'], '4008', 'unknown'],
		['not counted', ['idempotency-key: t:1'], '4008', 'unknown'],
	];
	cases.forEach(([name, lines, code, ran]) => {
		it(`say ${ran} of a request ${name}`, async () => {
			const answer = await fixture.sendRaw(formatLines('GET /nowhere HTTP/1.1', 'host: shop.example', 'connection: close', ...lines, '', ''));
			expect(answer).to.match(new RegExp(String.raw`limpetbarrow-result: ${code}\r\n`, 'iv'));
			expect(answer).to.match(new RegExp(String.raw`limpetbarrow-ran: ${ran}\r\n`, 'iv'));
			expect(fixture.receivedRequests).to.deep.equal([]);
		});
	});
});
