/** Connection that carries frames over TCP. */
import process from 'node:process';
import {type Socket} from 'node:net';
import {foldResult, type Unregister} from '@limpetbarrow/core';
import {Connection, type ConnectionHandler} from './connection.js';
import {handshakeFrameBytes} from './constants.js';
import {encodePacketHeader, FrameDecoder} from './frame-codec.js';
import {type Packet} from './types.js';

const endTimeoutMs = 1000;

/** Encodes and decodes packets on a socket. Packets sent in one turn of the event loop are written together. */
export class FrameConnection extends Connection {
	readonly #socket: Socket;
	readonly #decoder = new FrameDecoder(handshakeFrameBytes);
	#handler: ConnectionHandler | undefined;
	#lastReceivedAt = performance.now();
	#isRefused = false;
	#isCorked = false;

	constructor(socket: Socket) {
		super();
		this.#socket = socket;
		socket.setNoDelay(true);
		socket.on('data', (chunk: Uint8Array) => {
			this.#handleChunk(chunk);
		});
		socket.on('error', (error: Error & {readonly code?: string}) => {
			this.#isRefused = error.code === 'ECONNREFUSED';
			socket.destroy();
		});
		socket.on('close', () => {
			this.#handler?.handleClose(this.#isRefused);
		});
	}

	override getLastReceivedAt(): number {
		return this.#lastReceivedAt;
	}

	override registerHandler(handler: ConnectionHandler): Unregister {
		this.#handler = handler;
		return () => {
			this.#handler = undefined;
		};
	}

	override send(packet: Packet): number {
		const header = encodePacketHeader(packet);
		if (!this.#socket.destroyed) {
			this.#pauseWritesUntilNextTick();
			this.#socket.write(header);
			if (packet.payload.length > 0) {
				this.#socket.write(packet.payload);
			}
		}

		return header.length + packet.payload.length;
	}

	override end(): void {
		this.#socket.end();
		const timer = setTimeout(() => {
			this.#socket.destroy();
		}, endTimeoutMs);
		timer.unref();
		this.#socket.once('close', () => {
			clearTimeout(timer);
		});
	}

	override close(): void {
		this.#socket.destroy();
	}

	#pauseWritesUntilNextTick(): void {
		if (this.#isCorked) {
			return;
		}

		this.#isCorked = true;
		this.#socket.cork();
		process.nextTick(() => {
			this.#isCorked = false;
			this.#socket.uncork();
		});
	}

	#handleChunk(chunk: Uint8Array): void {
		if (!this.#handler) {
			return;
		}

		this.#lastReceivedAt = performance.now();
		this.#decoder.decode(chunk).forEach(decoded => {
			foldResult(
				decoded,
				failure => {
					this.#handler?.handleFailure(failure);
					this.close();
				},
				packet => {
					this.#handler?.handlePacket(packet);
				},
			);
		});
	}
}
