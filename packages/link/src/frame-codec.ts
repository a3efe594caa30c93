/** Encodes and decodes frames on a byte stream: frame length, header length, CBOR header, payload. */
import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, maxFrameBytes, type Failure} from '@limpetbarrow/core';
import {framePrefixBytes} from './constants.js';
import {parseWireArray, toWireArray} from './frame-fields.js';
import {type Packet} from './types.js';

const codec = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});
const emptyBytes = new Uint8Array(0);
const frameLengthFieldBytes = 4;
const headerLengthFieldBytes = 2;
const valuesPerByte = 256;
const maxHeaderLength = 65_535;

/** Encodes the prefix and the header. The caller writes the payload after them, which saves copying it. */
export function encodePacketHeader({frame, sequence, acknowledged, payload}: Packet): Uint8Array {
	const header = codec.encode(toWireArray(frame, sequence, acknowledged));
	const buffer = Buffer.allocUnsafe(framePrefixBytes + header.length);
	buffer.writeUInt32BE(headerLengthFieldBytes + header.length + payload.length, 0);
	buffer.writeUInt16BE(Math.min(header.length, maxHeaderLength), frameLengthFieldBytes);
	buffer.set(header, framePrefixBytes);
	return buffer;
}

function readUint16(bytes: Uint8Array, offset: number): number {
	return (bytes[offset]! * valuesPerByte) + bytes[offset + 1]!;
}

function readUint32(bytes: Uint8Array, offset: number): number {
	return (readUint16(bytes, offset) * valuesPerByte * valuesPerByte) + readUint16(bytes, offset + 2);
}

function decodePacket(body: Uint8Array): Either<Failure, Packet> {
	const headerEnd = headerLengthFieldBytes + readUint16(body, 0);
	if (headerEnd > body.length) {
		return Left(createFailure('malformedFrame', 'the header is longer than the frame'));
	}

	const payload = body.length > headerEnd ? body.subarray(headerEnd) : emptyBytes;
	try {
		return parseWireArray(codec.decode(body.subarray(headerLengthFieldBytes, headerEnd)))
			.chain(numbered => checkPayload({...numbered, payload}));
	} catch (error) {
		return Left(createFailure('malformedFrame', String(error)));
	}
}

function checkPayload(packet: Packet): Either<Failure, Packet> {
	return packet.payload.length > 0 && packet.frame.kind !== 'data'
		? Left(createFailure('malformedFrame', `a ${packet.frame.kind} frame must not have a payload`))
		: Right(packet);
}

/** Decodes packets from a stream of byte chunks. After a malformed frame the decoder can't be used any more. */
export class FrameDecoder {
	#chunks: Uint8Array[] = [];
	#pendingBytes = 0;
	#neededBytes = frameLengthFieldBytes;
	/** Largest length of the next frame, in bytes. */
	#maxBytes: number;

	/** `maxFirstBytes` bounds the first frame, which whoever connects may send. */
	constructor(maxFirstBytes = maxFrameBytes) {
		this.#maxBytes = maxFirstBytes;
	}

	/** Adds bytes and returns the packets that they complete, up to and including the first malformed one. */
	decode(chunk: Uint8Array): ReadonlyArray<Either<Failure, Packet>> {
		this.#chunks.push(chunk);
		this.#pendingBytes += chunk.length;
		return this.#pendingBytes < this.#neededBytes ? [] : this.#decodePending();
	}

	#decodePending(): ReadonlyArray<Either<Failure, Packet>> {
		const bytes = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
		const packets: Array<Either<Failure, Packet>> = [];
		let start = 0;
		let needed = frameLengthFieldBytes;
		while (bytes.length - start >= frameLengthFieldBytes) {
			const length = readUint32(bytes, start);
			if (length < headerLengthFieldBytes || length > this.#maxBytes) {
				packets.push(Left(createFailure('frameTooLarge', `a frame length of ${length} bytes is out of range`)));
				break;
			}

			const end = start + frameLengthFieldBytes + length;
			if (end > bytes.length) {
				needed = frameLengthFieldBytes + length;
				break;
			}

			const packet = decodePacket(bytes.subarray(start + frameLengthFieldBytes, end));
			packets.push(packet);
			if (packet.isLeft()) {
				break;
			}

			this.#maxBytes = maxFrameBytes;
			start = end;
		}

		this.#chunks = start < bytes.length ? [bytes.subarray(start)] : [];
		this.#pendingBytes = bytes.length - start;
		this.#neededBytes = needed;
		return packets;
	}
}
