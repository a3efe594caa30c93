import {expect} from 'chai';
import {Encoder} from 'cbor-x';
import fc from 'fast-check';
import {
	createRecord, decodeMessage, digestBuckets, encodeMessage, maxDatagramBytes, selectChangedParts, type MemberMessage, type MemberUpdate,
} from '../../index.js';
import {createNodeRecord, createServer} from '../memory-fleet.js';

const sender = {id: 'n1', incarnation: 1_790_000_000_000, refutation: 2};
const codec = new Encoder({useRecords: false, mapsAsObjects: true});
const record = createNodeRecord('n2', {
	servers: [createServer('a'), createServer('b', {state: 'ejected', badness: 1.5})],
	poison: [{fingerprint: 'f', serverIds: ['a', 'b'], expiresAt: 5}],
});
const updates: readonly MemberUpdate[] = [
	...selectChangedParts(record, [], 3).map(part => ({
		kind: 'part', id: 'n2', incarnation: 1, part,
	} as const)),
	{
		kind: 'part', id: 'n2', incarnation: 1, part: {slot: 9, version: 4, value: undefined},
	},
	{
		kind: 'status', id: 'n3', incarnation: 1, refutation: 4, status: 'suspect',
	},
];
const messages: readonly MemberMessage[] = [
	{
		kind: 'ping', sender, sequence: 1, updates,
	},
	{
		kind: 'ack', sender, sequence: 2, updates: [],
	},
	{
		kind: 'indirect', sender, sequence: 3, target: {host: '10.0.0.1', port: 8083},
	},
	{kind: 'rumor', sender, updates},
	{kind: 'digest', sender, buckets: Array.from({length: digestBuckets}, (_, index) => index)},
	{
		kind: 'summary', sender, entries: [{
			id: 'n2', incarnation: 1, refutation: 0, status: 'dead', partsHash: 77,
		}],
	},
	{kind: 'pull', sender, wants: [{id: 'n2', incarnation: 1, versions: [0, 1, 3, 2]}]},
	{kind: 'parts', sender, updates},
	{
		kind: 'query', sender, sequence: 281_474_976_710_655, topic: 'freshness', body: [7, 'text', true, -0.5],
	},
	{
		kind: 'reply', sender, sequence: 9, body: [],
	},
];

function listPrefixes(bytes: Uint8Array): readonly Uint8Array[] {
	return Array.from({length: bytes.length - 1}, (_, length) => bytes.subarray(0, length));
}

describe('message codec', () => {
	describe('round trip', () => {
		messages.forEach(message => {
			it(`preserves a message of kind ${message.kind}`, () => {
				expect(decodeMessage(encodeMessage(message)).unsafeCoerce()).to.deep.equal(message);
			});
		});

		it('preserves fields of a backend server that this release does not know', () => {
			const value = {...createServer('a'), colour: 'green'};
			const message: MemberMessage = {
				kind: 'rumor', sender, updates: [{
					kind: 'part', id: 'n2', incarnation: 1, part: {slot: 3, version: 1, value},
				}],
			};
			expect(decodeMessage(encodeMessage(message)).unsafeCoerce()).to.deep.equal(message);
		});

		it('preserves the era of the store, and a record without one', () => {
			const eras = [undefined, 0, 7].map(storeEra => {
				const parts = selectChangedParts({...record, ...(storeEra !== undefined && {storeEra})}, [], 1);
				const message: MemberMessage = {
					kind: 'rumor', sender, updates: parts.map(part => ({
						kind: 'part', id: 'n2', incarnation: 1, part,
					})),
				};
				const decoded = decodeMessage(encodeMessage(message)).unsafeCoerce();
				return createRecord('n2', 1, 'updates' in decoded ? decoded.updates.flatMap(update => update.kind === 'part' ? [update.part] : []) : [])?.storeEra;
			});
			expect(eras).to.deep.equal([undefined, 0, 7]);
		});

		it('assembles the record from its parts in any order', () => {
			const parts = selectChangedParts(record, [], 1);
			expect(createRecord('n2', 1, parts.toReversed())).to.have.deep.property('poison', record.poison);
		});

		it('fits a digest into one datagram', () => {
			expect(encodeMessage({kind: 'digest', sender, buckets: Array.from({length: digestBuckets}, () => 4_294_967_290)}).length).to.be.below(maxDatagramBytes);
		});
	});

	describe('malformed datagrams', () => {
		const isRejected = (bytes: Uint8Array): boolean => decodeMessage(bytes).swap().map(({name}) => name === 'gossipMalformed').orDefault(false);

		it('give gossipMalformed for random bytes', () => {
			fc.assert(fc.property(fc.uint8Array({maxLength: 1500}), bytes => isRejected(bytes)), {seed: 11, numRuns: 2000});
		});

		it('give gossipMalformed for well-formed values that are no message', () => {
			fc.assert(fc.property(fc.jsonValue(), value => isRejected(codec.encode(value))), {seed: 12, numRuns: 2000});
		});

		it('never throw if a byte of a message was changed', () => {
			fc.assert(fc.property(fc.constantFrom(...messages), fc.nat(), fc.integer({min: 0, max: 255}), (message, position, value) => {
				const bytes = Uint8Array.from(encodeMessage(message));
				bytes[position % bytes.length] = value;
				const result = decodeMessage(bytes);
				return result.isRight() || isRejected(bytes);
			}), {seed: 13, numRuns: 2000});
		});

		it('are checked against the schema of their kind only, whose error is reported', () => {
			const detail = decodeMessage(codec.encode([3, ['n1', 1, 0], 'no list'])).swap().map(failure => failure.detail).orDefault('');
			expect(detail).to.match(/expected array/v);
			expect(decodeMessage(codec.encode([99, ['n1', 1, 0], []])).isLeft()).to.equal(true);
			expect(decodeMessage(codec.encode(['length', ['n1', 1, 0], []])).isLeft()).to.equal(true);
		});

		// A body is kept and answered by components that only check its items' meaning, so its size must be limited here.
		it('give gossipMalformed for a question whose body has too many items, too long a text or an item of another type', () => {
			const bodies = [Array.from({length: 17}, () => 1), ['x'.repeat(129)], [null], [[1]], [{}], 'text'];
			expect(bodies.filter(body => !isRejected(codec.encode([8, ['n1', 1, 0], 1, 'topic', body])))).to.deep.equal([]);
			expect(bodies.filter(body => !isRejected(codec.encode([9, ['n1', 1, 0], 1, body])))).to.deep.equal([]);
		});

		it('give gossipMalformed for truncated messages', () => {
			const truncated = messages.map(message => encodeMessage(message)).flatMap(bytes => listPrefixes(bytes));
			expect(truncated.filter(bytes => !isRejected(bytes))).to.deep.equal([]);
		});
	});
});
