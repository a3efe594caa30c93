import {expect} from 'chai';
import {
	FleetMarks, applyExpiryLimit, maxMarks, quarantineMs, type NodeMarks,
} from '../../index.js';

const now = 1000;

function createNode(nodeId: string, incarnation: number, fingerprints: readonly string[], expiresAt = now + quarantineMs): NodeMarks {
	return {nodeId, incarnation, marks: fingerprints.map(fingerprint => ({fingerprint, serverIds: [`server-${nodeId}`], expiresAt}))};
}

describe('marks of a fleet', () => {
	let marks: FleetMarks;

	beforeEach(() => {
		marks = new FleetMarks();
	});

	function listFingerprints(at = now): readonly string[] {
		return marks.list(at).map(({fingerprint}) => fingerprint).toSorted();
	}

	// Guards against marks that end with the process that made them.
	it('outlive the process that published them, its successor\'s first records and its node', () => {
		marks.recordPublished([createNode('a', 1, ['p'])], now);
		marks.recordPublished([], now);
		expect(listFingerprints()).to.deep.equal(['p']);
		marks.recordPublished([createNode('a', 2, [])], now);
		expect(listFingerprints()).to.deep.equal(['p']);
	});

	it('are cleared by the process that published them', () => {
		marks.recordPublished([createNode('a', 1, ['p', 'q'])], now);
		marks.recordPublished([createNode('a', 1, ['q'])], now);
		expect(listFingerprints()).to.deep.equal(['q']);
	});

	it('are cleared by a later process that had restored them', () => {
		marks.recordPublished([createNode('a', 1, ['p'])], now);
		marks.recordPublished([createNode('a', 2, [])], now);
		marks.recordPublished([createNode('a', 2, ['p'])], now);
		marks.recordPublished([createNode('a', 2, [])], now);
		expect(listFingerprints()).to.deep.equal([]);
	});

	it('end when they expire', () => {
		marks.recordStored([createNode('a', 1, ['p'])], now);
		expect(listFingerprints(now + quarantineMs - 1)).to.deep.equal(['p']);
		expect(listFingerprints(now + quarantineMs)).to.deep.equal([]);
	});

	it('come from the store unless their node has published since', () => {
		marks.recordPublished([createNode('a', 2, ['new'])], now);
		marks.recordStored([createNode('a', 2, ['cleared']), createNode('b', 1, ['p'])], now);
		expect(listFingerprints()).to.deep.equal(['new', 'p']);
	});

	// Guards against a node that fills the memory of all others.
	it('are bounded for each node, however often it restarts', () => {
		Array.from({length: 4}, (_, incarnation) => incarnation).forEach(incarnation => {
			marks.recordPublished([createNode('a', incarnation, Array.from({length: maxMarks}, (_, index) => `p-${incarnation}-${index}`))], now);
		});
		expect(marks.list(now).length).to.equal(maxMarks);
	});

	it('from a clock that was ahead expire in time', () => {
		expect(applyExpiryLimit(createNode('a', 1, ['p'], now + (2 * quarantineMs)).marks, now)[0]?.expiresAt).to.equal(now + quarantineMs);
	});
});
