import {expect} from 'chai';
import {isNeverSent} from '../../never-sent.js';

describe('isNeverSent', () => {
	const rows: ReadonlyArray<readonly [string, Readonly<Record<string, string>>, boolean]> = [
		['a refused connection', {code: 'ECONNREFUSED', syscall: 'connect'}, true],
		['a connection reset before it was accepted', {code: 'ECONNRESET', syscall: 'connect'}, true],
		['a connection that timed out before it was established', {code: 'UND_ERR_CONNECT_TIMEOUT'}, true],
		['a connection reset while the answer was being read', {code: 'ECONNRESET', syscall: 'read'}, false],
		['a connection closed by the peer', {code: 'UND_ERR_SOCKET'}, false],
		['an aborted request', {code: 'ABORT_ERR'}, false],
	];
	rows.forEach(([what, error, isExpected]) => {
		it(`returns ${isExpected ? 'true' : 'false'} for ${what}`, () => {
			expect(isNeverSent(Object.assign(new Error(what), error))).to.equal(isExpected);
		});
	});
});
