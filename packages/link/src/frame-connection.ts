/** One TCP connection that carries frames. */
import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {foldResult, Subject, type Failure} from '@limpetbarrow/core';
import {encodeFrameHeader, FrameDecoder} from './frame-codec.js';
import {type Frame, type FrameWithPayload} from './types.js';

const emptyBytes = new Uint8Array(0);

/** Writes each frame in one go and publishes what it reads. */
export class FrameConnection {
	readonly frames = new Subject<FrameWithPayload>();
	readonly failures = new Subject<Failure>();
	readonly closes = new Subject<void>();
	readonly #socket: Socket;
	readonly #decoder = new FrameDecoder();
	#heardAt = performance.now();

	constructor(socket: Socket) {
		this.#socket = socket;
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#handleChunk(chunk);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			this.closes.publish();
		});
	}

	/** Monotonic time of the last byte heard, in milliseconds. */
	getHeardAt(): number {
		return this.#heardAt;
	}

	/** Sends a frame. */
	send(frame: Frame, payload: Uint8Array = emptyBytes): void {
		if (this.#socket.destroyed) {
			return;
		}

		const header = encodeFrameHeader(frame, payload.length);
		if (payload.length === 0) {
			this.#socket.write(header);
			return;
		}

		this.#socket.cork();
		this.#socket.write(header);
		this.#socket.write(payload);
		this.#socket.uncork();
	}

	/** Closes after what was sent has gone out. */
	end(): void {
		this.#socket.end();
	}

	/** Closes at once. */
	close(): void {
		this.#socket.destroy();
	}

	#handleChunk(chunk: Uint8Array): void {
		this.#heardAt = performance.now();
		this.#decoder.decode(chunk).forEach(decoded => {
			foldResult(
				decoded,
				failure => {
					this.failures.publish(failure);
					this.close();
				},
				frame => {
					this.frames.publish(frame);
				},
			);
		});
	}
}
