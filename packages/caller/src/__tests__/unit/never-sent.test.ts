import {expect} from 'chai';
import {isNeverSent} from '../../never-sent.js';

describe('a request that was never sent', () => {
	const rows: ReadonlyArray<readonly [string, Readonly<Record<string, string>>, boolean]> = [
		['a refused connection', {code: 'ECONNREFUSED', syscall: 'connect'}, true],
		['a connection reset before it was accepted', {code: 'ECONNRESET', syscall: 'connect'}, true],
		['a connection that was not made in time', {code: 'UND_ERR_CONNECT_TIMEOUT'}, true],
		['a connection reset while the answer was read', {code: 'ECONNRESET', syscall: 'read'}, false],
		['a connection that the other side closed', {code: 'UND_ERR_SOCKET'}, false],
		['a time that ran out', {code: 'ABORT_ERR'}, false],
	];
	rows.forEach(([what, error, isExpected]) => {
		it(`is ${isExpected ? '' : 'not '}told by ${what}`, () => {
			expect(isNeverSent(Object.assign(new Error(what), error))).to.equal(isExpected);
		});
	});
});
