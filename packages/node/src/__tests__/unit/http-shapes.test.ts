import {expect} from 'chai';
import {formatLines, RequestPathFixture} from '../request-path-fixture.js';

const head = ['host: shop.example', 'connection: close'] as const;

describe('unusual and malformed HTTP requests', () => {
	let fixture: RequestPathFixture;

	beforeEach(async () => {
		fixture = new RequestPathFixture();
		await fixture.start();
	});

	afterEach(async () => {
		await fixture.stop();
	});

	const refused: ReadonlyArray<readonly [string, string, number, number]> = [
		[
			'both content-length and transfer-encoding: chunked',
			formatLines('POST /desk HTTP/1.1', ...head, 'content-length: 5', 'transfer-encoding: chunked', '', '0', '', 'GET /desk/hid HTTP/1.1', '', ''),
			400,
			1001,
		],
		['transfer-encoding: chunked before content-length', formatLines('POST /desk HTTP/1.1', ...head, 'transfer-encoding: chunked', 'content-length: 5', '', '0', '', ''), 400, 1001],
		['two different content-lengths', formatLines('POST /desk HTTP/1.1', ...head, 'content-length: 5', 'content-length: 6', '', 'hello'), 400, 1001],
		['a negative content-length', formatLines('POST /desk HTTP/1.1', ...head, 'content-length: -1', '', ''), 400, 1001],
		['a hexadecimal content-length', formatLines('POST /desk HTTP/1.1', ...head, 'content-length: 0x5', '', 'hello'), 400, 1001],
		['an unknown transfer coding after chunked', formatLines('POST /desk HTTP/1.1', ...head, 'transfer-encoding: chunked, gzip', '', '0', '', ''), 400, 1001],
		['a space before the colon of a header', formatLines('POST /desk HTTP/1.1', ...head, 'transfer-encoding : chunked', '', '0', '', ''), 400, 1001],
		['a request head that is too large', formatLines('GET /desk HTTP/1.1', ...head, `x-large: ${'a'.repeat(20_000)}`, '', ''), 431, 1002],
		['a missing host header', formatLines('GET /desk HTTP/1.1', 'connection: close', '', ''), 400, 1001],
		['two host headers', formatLines('GET /desk HTTP/1.1', ...head, 'host: other.example', '', ''), 400, 1001],
		['an asterisk as the request target', formatLines('OPTIONS * HTTP/1.1', ...head, '', ''), 400, 1001],
		['an authority as the request target (CONNECT)', formatLines('CONNECT shop.example:443 HTTP/1.1', ...head, '', ''), 400, 1001],
		['a request target with an unsupported scheme', formatLines('GET ftp://shop.example/desk HTTP/1.1', ...head, '', ''), 400, 1001],
		['bytes that are not HTTP', '\u0016\u0003\u0001\u0002\r\n\r\n', 400, 1001],
		['an unknown route', formatLines('GET /nowhere HTTP/1.1', ...head, '', ''), 404, 1004],
		['a method that the route does not allow', formatLines('DELETE /desk HTTP/1.1', ...head, '', ''), 405, 1005],
		['a body whose declared length is too large', formatLines('POST /small HTTP/1.1', ...head, 'content-length: 1001', '', ''), 413, 1003],
		['an unsupported expectation', formatLines('POST /desk HTTP/1.1', ...head, 'expect: miracles', 'content-length: 1', '', 'a'), 400, 1001],
		['a body whose declared length is too large, with expect: 100-continue', formatLines('POST /small HTTP/1.1', ...head, 'expect: 100-continue', 'content-length: 1001', '', ''), 413, 1003],
		['a timeout that is not a number', formatLines('GET /desk HTTP/1.1', ...head, 'limpetbarrow-timeout-ms: soon', '', ''), 400, 1011],
	];
	refused.forEach(([name, text, status, code]) => {
		it(`refuses ${name} and reports "not run"`, async () => {
			const answer = await fixture.sendRaw(text);
			expect(answer).to.match(new RegExp(`^HTTP/1.1 ${status} `, 'v'));
			expect(answer).to.match(new RegExp(String.raw`limpetbarrow-result: ${code}\r\n`, 'iv')).and.match(/limpetbarrow-ran: not-run\r\n/iv);
			expect(fixture.receivedRequests).to.deep.equal([]);
		});
	});

	const broken: ReadonlyArray<readonly [string, string, number]> = [
		['has a malformed chunk', formatLines('POST /desk HTTP/1.1', ...head, 'transfer-encoding: chunked', '', '5', 'hello', 'zz', '', ''), 1013],
		['exceeds the maximum size', formatLines('POST /small HTTP/1.1', ...head, 'transfer-encoding: chunked', '', '5', 'hello', '7d0', 'a'.repeat(2000), '0', '', ''), 1014],
	];
	broken.forEach(([name, text, code]) => {
		it(`does not report "not run" for a chunked body that ${name}`, async () => {
			fixture.handleBackendRequest = request => {
				request.resume();
			};

			const answer = await fixture.sendRaw(text);
			expect(answer).to.match(new RegExp(String.raw`limpetbarrow-result: ${code}\r\n`, 'iv')).and.match(/limpetbarrow-ran: unknown\r\n/iv);
		});
	});

	it('prefers the host of an absolute request target to the host header', async () => {
		fixture.handleBackendRequest = (request, response) => {
			response.end(`${request.url} ${request.headers.host}`);
		};

		const answer = await fixture.sendRaw(formatLines('GET http://Desk.example:80/desk?size=34 HTTP/1.1', ...head, '', ''));
		expect(answer.endsWith('/desk?size=34 Desk.example:80')).to.equal(true);
	});

	it('forwards no hop-by-hop headers, no limpetbarrow request headers and no headers listed in connection', async () => {
		fixture.handleBackendRequest = (request, response) => {
			response.writeHead(200, {
				connection: 'x-inner', 'x-inner': '1', 'x-outer': '2', 'keep-alive': 'timeout=9',
			});
			response.end(JSON.stringify(request.rawHeaders.filter((_, index) => index % 2 === 0)));
		};

		const headers = [
			'host: shop.example',
			'connection: close, X-Private, content-length',
			'x-private: 1',
			'x-public: 2',
			'te: trailers',
			'upgrade: h2c',
			'proxy-authorization: a',
			'limpetbarrow-terms: t',
			'content-length: 2',
		];
		const answer = await fixture.sendRaw(formatLines('POST /desk HTTP/1.1', ...headers, '', 'ab'));
		expect(JSON.parse(/\[.*\]/v.exec(answer)![0])).to.have.members(['host', 'connection', 'x-public', 'content-length', 'limpetbarrow-timeout-ms']);
		expect(answer).to.match(/x-outer: 2/v).and.not.match(/x-inner|timeout=9/v);
	});

	it('ignores protocol upgrades', async () => {
		const answer = await fixture.sendRaw(formatLines('GET /desk HTTP/1.1', 'host: shop.example', 'connection: upgrade, close', 'upgrade: websocket', '', ''));
		expect(answer).to.match(/^HTTP\/1.1 200 /v);
	});

	it('answers expect: 100-continue with 100 and forwards the body', async () => {
		fixture.handleBackendRequest = (request, response) => {
			request.pipe(response);
		};

		const answer = await fixture.sendRaw(formatLines('POST /desk HTTP/1.1', ...head, 'expect: 100-continue', 'content-length: 5', '', 'hello'));
		expect(answer).to.match(/^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK\r\n/v);
		expect(answer).to.match(/\r\nhello\r\n/v);
	});

	it('drops trailers and forwards the whole body', async () => {
		fixture.handleBackendRequest = (request, response) => {
			response.writeHead(200, {trailer: 'x-sum'});
			request.pipe(response);
			response.addTrailers({'x-sum': '1'});
		};

		const answer = await fixture.sendRaw(formatLines('POST /desk HTTP/1.1', ...head, 'transfer-encoding: chunked', 'trailer: x-size', '', '5', 'hello', '0', 'x-size: 5', '', ''));
		expect(answer).to.match(/hello/v).and.not.match(/x-size|x-sum/v);
	});

	it('answers HTTP/1.0 callers without chunked encoding', async () => {
		fixture.handleBackendRequest = (_request, response) => {
			response.write('one ');
			response.end('two');
		};

		const answer = await fixture.sendRaw(formatLines('GET /desk HTTP/1.0', '', ''));
		expect(answer.endsWith('\r\n\r\none two')).to.equal(true);
		expect(answer).to.not.match(/chunked/v);
	});

	const bodiless: ReadonlyArray<readonly [string, string, number]> = [
		['HEAD', 'HEAD', 200],
		['204', 'GET', 204],
		['304', 'GET', 304],
	];
	bodiless.forEach(([name, method, status]) => {
		it(`forwards a response without a body for ${name}`, async () => {
			fixture.handleBackendRequest = (_request, response) => {
				response.writeHead(status, {...(status !== 204 && {'content-length': '7'}), 'x-kept': '1'});
				response.end();
			};

			const answer = await fixture.sendRaw(formatLines(`${method} /desk HTTP/1.1`, ...head, '', ''));
			expect(answer).to.match(new RegExp(`^HTTP/1.1 ${status} `, 'v')).and.match(/x-kept: 1/v);
			expect(answer.endsWith('\r\n\r\n')).to.equal(true);
		});
	});

	// Guards against a response to HEAD that is treated like a body without a length, which ends with its connection.
	it('keeps the connection after a response to HEAD that has no length', async () => {
		fixture.handleBackendRequest = (_request, response) => {
			response.writeHead(200, {'x-kept': '1'});
			response.end();
		};

		const requests = ['keep-alive', 'keep-alive', 'close'].map(connection => formatLines('HEAD /desk HTTP/1.1', 'host: h', `connection: ${connection}`, '', ''));
		const answer = await fixture.sendRaw(requests.join(''));
		expect(answer.match(/^HTTP\/1\.1 200 /gmv)).to.have.length(3);
	});

	it('forwards non-ASCII bytes in headers unchanged', async () => {
		fixture.handleBackendRequest = (request, response) => {
			response.writeHead(200, {'x-name': String(request.headers['x-name'])});
			response.end();
		};

		expect(await fixture.sendRaw(formatLines('GET /desk HTTP/1.1', ...head, 'x-name: Ay\u00E7a', '', ''))).to.match(/x-name: Ay\u00E7a\r\n/v);
	});

	it('answers the requests of one connection in order', async () => {
		fixture.handleBackendRequest = (request, response) => {
			setImmediate(() => {
				response.end(`<${request.url}>`);
			});
		};

		const answer = await fixture.sendRaw(formatLines('GET /desk/1 HTTP/1.1', 'host: a', '', 'GET /desk/2 HTTP/1.1', ...head, '', ''));
		expect(answer.indexOf('</desk/1>')).to.be.greaterThan(0).and.to.be.lessThan(answer.indexOf('</desk/2>'));
	});
});
