import {Buffer} from 'node:buffer';
import {encode} from 'cbor-x';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	createFailure, foldResult, maxFrameBytes, MetricRegistry, SilentLogger, type LogEventName, type LogFields,
} from '@limpetbarrow/core';
import {
	Connection, encodePacketHeader, FrameDecoder, LinkServer, type ConnectionHandler, type Frame, type Packet,
} from '../../index.js';
import {createHead, RecordingCarrier} from '../recording-carrier.js';

const node = {id: 'one', incarnation: 1};
const self = {id: 'two', incarnation: 7};
const hello = {
	kind: 'hello', session: 's', node, peer: self, attempt: 1, isResumed: false, received: 0,
} as const;
const frames: readonly Frame[] = [
	hello,
	{kind: 'heartbeat', isProbe: true},
	{kind: 'close'},
	{kind: 'close', received: 12},
	{kind: 'request', stream: 3, head: {...createHead('a'), idempotencyKey: 'k', fingerprint: 'f'}},
	{kind: 'request', stream: 4, head: {...createHead('b'), target: {kind: 'sequencer'}}},
	{kind: 'response', stream: 3, head: {status: 200, headers: ['a', 'ü'], load: {serverId: 's', freeSlots: 2, queued: 0}}},
	{kind: 'response', stream: 3, head: {status: 404, headers: []}},
	{kind: 'data', stream: 3},
	{kind: 'end', stream: 3},
	{kind: 'credit', stream: 3, bytes: 65_536},
	{kind: 'cancel', stream: 3},
	{kind: 'failure', stream: 3, failure: createFailure('queueFull', 'server s', 250)},
];

function createPacket(frame: Frame, index = 0): Packet {
	const isControl = frame.kind === 'hello' || frame.kind === 'heartbeat' || frame.kind === 'close';
	return {
		frame, sequence: isControl ? 0 : index + 1, acknowledged: index, payload: frame.kind === 'data' ? Buffer.from('body') : Buffer.alloc(0),
	};
}

function encodePacket(packet: Packet): Uint8Array {
	return Buffer.concat([encodePacketHeader(packet), packet.payload]);
}

function encodeRaw(header: unknown, payload: Uint8Array = Buffer.alloc(0)): Uint8Array {
	const bytes = Buffer.isBuffer(header) ? header : encode(header);
	const prefix = Buffer.alloc(6);
	prefix.writeUInt32BE(2 + bytes.length + payload.length, 0);
	prefix.writeUInt16BE(bytes.length, 4);
	return Buffer.concat([prefix, bytes, payload]);
}

function decodeToNames(bytes: Uint8Array): string {
	return new FrameDecoder().decode(bytes).map(decoded => foldResult(decoded, ({name}) => name, ({frame}) => frame.kind)).join(' ');
}

/** Connection whose other end is driven by the test. */
class ScriptedConnection extends Connection {
	readonly sent: Packet[] = [];
	isClosed = false;
	#handler: ConnectionHandler | undefined;
	readonly #decoder = new FrameDecoder();

	override send(packet: Packet): number {
		this.sent.push(packet);
		return 1;
	}

	override getLastReceivedAt(): number {
		return performance.now();
	}

	override registerHandler(handler: ConnectionHandler): () => void {
		this.#handler = handler;
		return () => {
			this.#handler = undefined;
		};
	}

	override end(): void {
		this.isClosed = true;
	}

	override close(): void {
		this.isClosed = true;
		this.#handler?.handleClose(false);
	}

	handleBytes(bytes: Uint8Array): void {
		this.#decoder.decode(bytes).forEach(decoded => {
			decoded.ifLeft(failure => {
				this.#handler?.handleFailure(failure);
				this.close();
			}).ifRight(packet => {
				this.#handler?.handlePacket(packet);
			});
		});
	}
}

class RecordingLogger extends SilentLogger {
	readonly codes: unknown[] = [];

	override log(event: LogEventName, fields: LogFields = {}): void {
		if (event === 'frameRejected') {
			this.codes.push(fields.code);
		}
	}
}

describe('the frame codec', () => {
	it('decodes every kind of frame unchanged, however the bytes are split into chunks', () => {
		const packets = frames.map((frame, index) => createPacket(frame, index));
		const bytes = Buffer.concat(packets.map(packet => encodePacket(packet)));
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 200}), {minLength: 1}), sizes => {
			const decoder = new FrameDecoder();
			const cuts = sizes.reduce<readonly number[]>((all, size) => [...all, (all.at(-1) ?? 0) + size], [0]).filter(cut => cut < bytes.length);
			const decoded = [...cuts].flatMap((cut, index) => [...decoder.decode(bytes.subarray(cut, cuts[index + 1] ?? bytes.length))]);
			expect(decoded.map(result => toComparable(result.unsafeCoerce()))).to.deep.equal(packets.map(packet => toComparable(packet)));
		}), {seed: 11, numRuns: 200});
	});

	it('copies each byte of a large frame at most twice, however small the chunks', () => {
		const bytes = encodePacket({...createPacket({kind: 'data', stream: 1}), payload: Buffer.alloc(maxFrameBytes - 100)});
		const decoder = new FrameDecoder();
		const {concat} = Buffer;
		let copied = 0;
		Buffer.concat = (list, length) => {
			copied += list.reduce((sum, {length: size}) => sum + size, 0);
			return concat(list, length);
		};

		try {
			const chunks = Array.from({length: Math.ceil(bytes.length / 64)}, (_, index) => bytes.subarray(index * 64, (index + 1) * 64));
			expect(chunks.flatMap(chunk => [...decoder.decode(chunk)]).length).to.equal(1);
		} finally {
			Buffer.concat = concat;
		}

		expect(copied).to.be.at.most(2 * bytes.length);
	});

	const bad: ReadonlyArray<readonly [string, Uint8Array, string]> = [
		['a frame that is too large', Buffer.from('7fffffff0000', 'hex'), 'frameTooLarge'],
		['a frame that is too small', Buffer.from('000000010000', 'hex'), 'frameTooLarge'],
		['a header longer than the frame', Buffer.from('00000003ffff00', 'hex'), 'malformedFrame'],
		['truncated cbor', encodeRaw(encode([9, 1, 0, 'a long text']).subarray(0, 8)), 'malformedFrame'],
		['a map', encodeRaw({kind: 'end', stream: 1}), 'malformedFrame'],
		['an unknown kind', encodeRaw([99, 1, 0, 1]), 'malformedFrame'],
		['a missing element', encodeRaw([6, 1, 0]), 'malformedFrame'],
		['an extra element', encodeRaw([6, 1, 0, 1, 1]), 'malformedFrame'],
		['a stream of the wrong type', encodeRaw([6, 1, 0, '1']), 'malformedFrame'],
		['stream zero', encodeRaw([6, 1, 0, 0]), 'malformedFrame'],
		['a fractional sequence number', encodeRaw([6, 1.5, 0, 1]), 'malformedFrame'],
		['an exchange frame without a sequence number', encodeRaw([6, 0, 0, 1]), 'malformedFrame'],
		['a control frame with a sequence number', encodeRaw([1, 1, 0, true]), 'malformedFrame'],
		['a payload on an end frame', encodeRaw([6, 1, 0, 1], Buffer.from('x')), 'malformedFrame'],
		['a failure with an unknown code', encodeRaw([9, 1, 0, 1, 4242, 'x', null]), 'malformedFrame'],
		['an odd number of header entries', encodeRaw([4, 1, 0, 1, 200, ['a'], null]), 'malformedFrame'],
		['a header value that is not a string', encodeRaw([4, 1, 0, 1, 200, ['a', 1], null]), 'malformedFrame'],
		['an informational status', encodeRaw([4, 1, 0, 1, 100, [], null]), 'malformedFrame'],
	];
	bad.forEach(([name, bytes, expected]) => {
		it(`refuses ${name}`, () => {
			expect(decodeToNames(bytes)).to.equal(expected);
		});
	});

	it('closes the connection with a numbered result code on every malformed input', () => {
		const valid = frames.map((frame, index) => encodePacket(createPacket(frame, index)));
		const mutated = fc.tuple(fc.constantFrom(...valid), fc.array(fc.tuple(fc.nat(400), fc.nat(255)), {maxLength: 4}), fc.nat(400)).map(([bytes, changes, length]) => {
			const copy = Buffer.from(bytes.subarray(0, Math.max(4, length)));
			changes.forEach(([at, value]) => {
				copy[at % copy.length] = value;
			});
			return copy;
		});
		const header = fc.anything({maxDepth: 3}).map(value => encodeRaw([4, 1, 0, 1, 200, value, null]));
		fc.assert(fc.property(fc.array(fc.oneof(mutated, header, fc.uint8Array({maxLength: 300})), {maxLength: 5}), inputs => {
			const logger = new RecordingLogger();
			const server = new LinkServer(self, () => new RecordingCarrier(), logger, new MetricRegistry());
			const connection = new ScriptedConnection();
			server.acceptConnection(connection);
			connection.handleBytes(encodePacket(createPacket(hello)));
			inputs.forEach(input => {
				connection.handleBytes(input);
			});
			void server.close();
			expect(logger.codes.every(code => code === 2003 || code === 2004)).to.equal(true);
			expect(connection.isClosed).to.equal(true);
		}), {seed: 12, numRuns: 500});
	});
});

describe('a link server', () => {
	let carrier: RecordingCarrier;
	let logger: RecordingLogger;
	let server: LinkServer;

	beforeEach(() => {
		carrier = new RecordingCarrier();
		logger = new RecordingLogger();
		server = new LinkServer(self, () => carrier, logger);
	});

	afterEach(() => {
		void server.close();
	});

	function connect(...sent: readonly Packet[]): ScriptedConnection {
		const connection = new ScriptedConnection();
		server.acceptConnection(connection);
		sent.forEach(packet => {
			connection.handleBytes(encodePacket(packet));
		});
		return connection;
	}

	const request = createPacket({kind: 'request', stream: 1, head: createHead('a')});

	it('drops a frame that was received before', () => {
		const connection = connect(createPacket(hello), request, request);
		expect([carrier.runs.length, connection.isClosed]).to.deep.equal([1, false]);
	});

	it('closes a connection whose late hello has a lower attempt than the current connection', () => {
		const newer = connect(createPacket({...hello, attempt: 2}), request);
		const late = connect(createPacket(hello));
		expect([late.isClosed, newer.isClosed]).to.deep.equal([true, false]);
		newer.handleBytes(encodePacket({...createPacket({kind: 'cancel', stream: 1}), sequence: 2}));
		expect(carrier.runs[0]!.exchange.isCancelled).to.equal(true);
	});

	it('ignores the frames of a connection that was replaced', () => {
		const older = connect(createPacket(hello));
		connect(createPacket({...hello, attempt: 2}));
		older.handleBytes(encodePacket(request));
		expect([carrier.runs.length, older.isClosed]).to.deep.equal([0, true]);
	});

	const violations: ReadonlyArray<readonly [string, readonly Packet[]]> = [
		['a request before hello', [request]],
		['a second hello', [createPacket(hello), createPacket(hello)]],
		['a gap in the sequence', [createPacket(hello), {...request, sequence: 2}]],
		['an acknowledgement of frames that were never sent', [createPacket(hello), {...request, acknowledged: 5}]],
		['a reused stream', [createPacket(hello), request, {...request, sequence: 2}]],
		['a response from the client side', [createPacket(hello), request, {...createPacket({kind: 'response', stream: 1, head: {status: 200, headers: []}}), sequence: 2, acknowledged: 0}]],
		['a body that far exceeds the credit', [createPacket(hello), request, ...[2, 3, 4, 5, 6].map(sequence => ({
			...createPacket({kind: 'data', stream: 1}), sequence, acknowledged: 0, payload: Buffer.alloc(262_144),
		}))]],
	];
	violations.forEach(([name, packets]) => {
		it(`ends the session at ${name}`, () => {
			const connection = connect(...packets);
			expect([logger.codes, connection.isClosed, server.countExchanges()]).to.deep.equal([[2003], true, 0]);
		});
	});

	it('refuses to resume an unknown session', () => {
		const connection = connect(createPacket({...hello, isResumed: true}));
		expect(connection.sent.map(({frame}) => frame)).to.deep.equal([{kind: 'close'}]);
	});
});

function toComparable({payload, ...packet}: Packet): unknown {
	return {...packet, text: Buffer.from(payload).toString('latin1')};
}
