import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {
	array, assert as assertProperty, constantFrom, nat, property, record, string,
} from 'fast-check';
import {findHeader} from '@limpetbarrow/core';
import {ExtraResponseScan, type BodyVerdict} from '../../backend/extra-response-scan.js';

const ownHead = 'HTTP/1.1 200 OK\r\nx-id: r-2\r\n';

type ScanResult = {
	readonly body: string;
	readonly verdict: BodyVerdict;
	readonly excessBytes: number;
};

function runScan(parts: readonly string[], isUnframed = true): ScanResult {
	const scan = new ExtraResponseScan({
		head: {status: 200, headers: ['x-id', 'r-2']}, requestId: 'r-2', earlierRequestIds: new Set(['r-1']), isUnframed, findRequestId: ({headers}) => findHeader(headers, 'x-id'),
	});
	const bodies = [...parts.map(part => scan.add(Buffer.from(part, 'latin1'))), scan.finish()];
	return {body: Buffer.concat(bodies).toString('latin1'), verdict: scan.getVerdict(), excessBytes: scan.countExcessBytes()};
}

/** Splits a text behind each of the positions. */
function listParts(text: string, positions: readonly number[]): readonly string[] {
	const cuts = [0, ...positions.map(position => position % (text.length + 1)).toSorted((a, b) => a - b), text.length];
	return cuts.slice(1).map((cut, index) => text.slice(cuts[index], cut));
}

// Guards against a second response that is found or missed depending on how the bytes arrive.
describe('the scan for another response within a body', () => {
	const bodies = array(constantFrom('HTTP/1.', 'HTTP/1.1 200 OK\r\n', 'x-id: r-2\r\n', 'x-id: r-7\r\n', '\r\n', 'H', 'text '), {maxLength: 8}).map(parts => `${parts.join('')}<end>`);
	const positions = array(nat(), {maxLength: 12});
	// Without it a generated body may hold a head with the request's own id, which is another response.
	const soundBodies = bodies.filter(body => !body.includes('x-id: r-2'));

	it('delivers every body without a head of its own request, in whatever parts it arrives', () => {
		assertProperty(property(soundBodies, positions, (body, cuts) => {
			expect(runScan(listParts(body, cuts))).to.deep.equal({body, verdict: 'open', excessBytes: 0});
		}));
	});

	it('ends the body before a second response, whose parts change nothing', () => {
		const seconds = constantFrom<readonly [string, BodyVerdict]>(
			[ownHead + '\r\n', 'whole'],
			[`${ownHead}content-length: #\r\n\r\n`, 'whole'],
			[ownHead + 'content-length: 1\r\n\r\n', 'unknown'],
			['HTTP/1.1 503 Busy\r\nx-id: r-1\r\n\r\n', 'unknown'],
		);
		assertProperty(property(record({body: soundBodies, second: seconds, cuts: positions}), ({body, second: [head, verdict], cuts}) => {
			const second = head.replace('#', String(body.length)) + body;
			expect(runScan(listParts(body + second, cuts))).to.deep.equal({body, verdict, excessBytes: second.length});
		}));
	});

	it('takes a body for whole only if a copy of it is complete', () => {
		assertProperty(property(string({minLength: 1}), string({minLength: 1}), positions, (body, copy, cuts) => {
			const [sent, second] = [`${body}.`, `${copy}.`];
			expect(runScan(listParts(`${sent}${ownHead}\r\n${second}`, cuts)).verdict).to.equal(sent === second ? 'whole' : 'unknown');
		}));
	});

	it('never takes a body with a length for whole when another response is in it', () => {
		assertProperty(property(soundBodies, positions, (body, cuts) => {
			expect(runScan(listParts(`${body}${ownHead}\r\n${body}`, cuts), false)).to.include({body, verdict: 'unknown'});
		}));
	});

	it('finds the beginning of a second response at the end, from the name of its protocol on', () => {
		const second = `${ownHead}\r\n`;
		Array.from({length: second.length - 5}, (_, index) => second.slice(0, index + 5)).forEach(cut => {
			expect(runScan(['text', cut]), cut).to.include({body: 'text', verdict: 'unknown'});
		});
	});
});
