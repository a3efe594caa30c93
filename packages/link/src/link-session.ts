/**
 * One side of a session, apart from connections and timers: numbers what it sends, keeps it until it is acknowledged,
 * and takes each frame of the other side once and in order.
 */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {type ControlFrame, type ExchangeFrame, type Packet} from './types.js';

/** Puts a packet on the connection of the moment and returns its size in bytes. */
export type SendPacket = (packet: Packet) => number;

type Retained = {
	readonly sequence: number;
	readonly frame: ExchangeFrame;
	readonly payload: Uint8Array;
	readonly bytes: number;
	/** Monotonic time, in milliseconds. */
	readonly sentAt: number;
};

type Waiting = {
	readonly frame: ExchangeFrame;
	readonly payload: Uint8Array;
};

const emptyBytes = new Uint8Array(0);
const headerEstimateBytes = 512;

/** Keeps the state that outlives connections. */
export class LinkSession {
	#retained: Retained[] = [];
	#waiting: Waiting[] = [];
	#retainedBytes = 0;
	#waitingBytes = 0;
	#sent = 0;
	#acknowledged = 0;
	#received = 0;
	#reported = 0;
	#sendPacket: SendPacket | undefined;

	/** Number of the last frame received. */
	getReceived(): number {
		return this.#received;
	}

	/** Frames received that the other side has not been told of. */
	countUnreported(): number {
		return this.#received - this.#reported;
	}

	/** Frames sent that the other side has not acknowledged. */
	countRetained(): number {
		return this.#retained.length;
	}

	/** Bytes held for the other side. */
	countBytes(): number {
		return this.#retainedBytes + this.#waitingBytes;
	}

	/** Monotonic time when the oldest frame not acknowledged was sent on this connection; undefined when there is none. */
	getOldestSentAt(): number | undefined {
		return this.#retained[0]?.sentAt;
	}

	/** Sends now, or on the next connection. */
	send(frame: ExchangeFrame, payload: Uint8Array = emptyBytes): void {
		if (this.#sendPacket) {
			this.#sendNew(this.#sendPacket, {frame, payload});
			return;
		}

		this.#waiting.push({frame, payload});
		this.#waitingBytes += payload.length + headerEstimateBytes;
	}

	/** Sends a frame that is neither numbered nor kept; dropped without a connection. */
	sendControl(frame: ControlFrame): void {
		this.#reported = this.#received;
		this.#sendPacket?.({
			frame, sequence: 0, acknowledged: this.#received, payload: emptyBytes,
		});
	}

	/** Goes on over a new connection, whose other side has received that many frames. Returns how many are sent again. */
	resume(sendPacket: SendPacket, received: number): Either<Failure, number> {
		if (received > this.#sent || received < this.#acknowledged) {
			return Left(createFailure('malformedFrame', `${received} frames received, ${this.#acknowledged} acknowledged, ${this.#sent} sent`));
		}

		this.#applyAcknowledged(received);
		this.#sendPacket = sendPacket;
		const sentAt = performance.now();
		this.#retained = this.#retained.map(retained => ({...retained, sentAt}));
		this.#retained.forEach(({frame, payload, sequence}) => {
			this.#writePacket(sendPacket, {frame, payload}, sequence);
		});
		const waiting = this.#waiting;
		this.#waiting = [];
		this.#waitingBytes = 0;
		const resent = this.#retained.length;
		waiting.forEach(entry => {
			this.#sendNew(sendPacket, entry);
		});
		return Right(resent);
	}

	/** Sends nothing until it is resumed. */
	pause(): void {
		this.#sendPacket = undefined;
	}

	/** Takes a packet; says whether it is new. A gap or an acknowledgement of what was never sent is a failure. */
	accept({sequence, acknowledged}: Packet): Either<Failure, boolean> {
		if (acknowledged > this.#sent) {
			return Left(createFailure('malformedFrame', `${acknowledged} frames acknowledged, ${this.#sent} sent`));
		}

		if (sequence > this.#received + 1) {
			return Left(createFailure('malformedFrame', `frame ${sequence} follows ${this.#received}`));
		}

		this.#applyAcknowledged(acknowledged);
		if (sequence === 0) {
			return Right(true);
		}

		const isNew = sequence > this.#received;
		this.#received = Math.max(this.#received, sequence);
		return Right(isNew);
	}

	/** Forgets the frames of an exchange that were never sent. */
	forgetWaiting(stream: number): void {
		this.#waiting = this.#waiting.filter(({frame}) => frame.stream !== stream);
		this.#waitingBytes = this.#waiting.reduce((sum, {payload}) => sum + payload.length + headerEstimateBytes, 0);
	}

	/** True when no byte of the exchange's request was handed to a connection. */
	isWaiting(stream: number): boolean {
		return this.#waiting.some(({frame}) => frame.kind === 'request' && frame.stream === stream);
	}

	/** True when the other side, having received that many frames, can't know the exchange. */
	isUnreceived(stream: number, received: number): boolean {
		return this.isWaiting(stream)
			|| this.#retained.some(({frame, sequence}) => frame.kind === 'request' && frame.stream === stream && sequence > received);
	}

	#sendNew(sendPacket: SendPacket, {frame, payload}: Waiting): void {
		this.#sent++;
		const bytes = this.#writePacket(sendPacket, {frame, payload}, this.#sent);
		this.#retainedBytes += bytes;
		this.#retained.push({
			sequence: this.#sent, frame, payload, bytes, sentAt: performance.now(),
		});
	}

	#writePacket(sendPacket: SendPacket, {frame, payload}: Waiting, sequence: number): number {
		this.#reported = this.#received;
		return sendPacket({
			frame, sequence, acknowledged: this.#received, payload,
		});
	}

	#applyAcknowledged(acknowledged: number): void {
		if (acknowledged <= this.#acknowledged) {
			return;
		}

		const dropped = this.#retained.splice(0, acknowledged - this.#acknowledged);
		this.#acknowledged = acknowledged;
		this.#retainedBytes -= dropped.reduce((sum, {bytes}) => sum + bytes, 0);
	}
}
