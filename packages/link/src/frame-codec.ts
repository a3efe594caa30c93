/** Encodes frames and decodes them from a byte stream: total length, header length, cbor header, payload. */
import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, maxFrameBytes, type Failure} from '@limpetbarrow/core';
import {framePrefixBytes} from './constants.js';
import {type Frame, type FrameWithPayload} from './types.js';

const codec = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});
const emptyBytes = new Uint8Array(0);
const headerLengthOffset = 4;

/** Encodes prefix and header; the payload is written after it, uncopied. */
export function encodeFrameHeader(frame: Frame, payloadLength: number): Uint8Array {
	const header = codec.encode(frame);
	const buffer = Buffer.allocUnsafe(framePrefixBytes + header.length);
	buffer.writeUInt32BE(2 + header.length + payloadLength, 0);
	buffer.writeUInt16BE(header.length, headerLengthOffset);
	buffer.set(header, framePrefixBytes);
	return buffer;
}

function readUint16(bytes: Uint8Array): number {
	return new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength).getUint16(0);
}

function readUint32(bytes: Uint8Array): number {
	return new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength).getUint32(0);
}

function decodeBody(body: Uint8Array): Either<Failure, FrameWithPayload> {
	const headerLength = readUint16(body);
	if (headerLength + 2 > body.length) {
		return Left(createFailure('malformedFrame', 'the header is longer than the frame'));
	}

	try {
		const frame = codec.decode(body.subarray(2, 2 + headerLength)) as Frame;
		return typeof frame === 'object' && frame !== null && typeof frame.kind === 'string'
			? Right({frame, payload: body.length > 2 + headerLength ? body.subarray(2 + headerLength) : emptyBytes})
			: Left(createFailure('malformedFrame', 'the header is not a frame'));
	} catch (error) {
		return Left(createFailure('malformedFrame', String(error)));
	}
}

/** Collects bytes and yields whole frames. After a failure the stream is unusable. */
export class FrameDecoder {
	#pending: Uint8Array = Buffer.alloc(0);

	/** Adds bytes and returns the frames they complete, up to the first that is malformed. */
	decode(chunk: Uint8Array): ReadonlyArray<Either<Failure, FrameWithPayload>> {
		this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
		const frames: Array<Either<Failure, FrameWithPayload>> = [];
		while (this.#pending.length >= 4) {
			const length = readUint32(this.#pending);
			if (length < 2 || length > maxFrameBytes) {
				frames.push(Left(createFailure('frameTooLarge', `the frame has ${length} bytes`)));
				return frames;
			}

			if (this.#pending.length < 4 + length) {
				return frames;
			}

			frames.push(decodeBody(this.#pending.subarray(4, 4 + length)));
			this.#pending = this.#pending.subarray(4 + length);
		}

		return frames;
	}
}
