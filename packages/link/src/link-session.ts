/**
 * One side of a session, apart from connections and timers: numbers what it sends, keeps it until it is acknowledged,
 * and takes each frame of the other side once and in order.
 */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {type ControlFrame, type ExchangeFrame, type Packet} from './types.js';

/** Puts a packet on the connection of the moment and returns its size in bytes. */
export type SendPacket = (packet: Packet) => number;

type UnacknowledgedFrame = {
	readonly sequence: number;
	readonly frame: ExchangeFrame;
	readonly payload: Uint8Array;
	readonly bytes: number;
	/** Monotonic time, in milliseconds. */
	readonly sentAt: number;
};

type UnsentFrame = {
	readonly frame: ExchangeFrame;
	readonly payload: Uint8Array;
};

const emptyBytes = new Uint8Array(0);
const estimatedHeaderBytes = 512;

/** Keeps the state that outlives connections. */
export class LinkSession {
	#unacknowledged: UnacknowledgedFrame[] = [];
	#unsent: UnsentFrame[] = [];
	#unacknowledgedBytes = 0;
	#unsentBytes = 0;
	#lastSentSequence = 0;
	#lastSequenceAcknowledgedByPeer = 0;
	#lastReceivedSequence = 0;
	#lastSequenceAcknowledgedToPeer = 0;
	#sendPacket: SendPacket | undefined;

	/** Number of the last frame received. */
	getLastReceivedSequence(): number {
		return this.#lastReceivedSequence;
	}

	/** Frames received that the other side has not been told of. */
	countPendingAcknowledgements(): number {
		return this.#lastReceivedSequence - this.#lastSequenceAcknowledgedToPeer;
	}

	/** Frames sent that the other side has not acknowledged. */
	countUnacknowledged(): number {
		return this.#unacknowledged.length;
	}

	/** Bytes held for the other side. */
	countBufferedBytes(): number {
		return this.#unacknowledgedBytes + this.#unsentBytes;
	}

	/** Monotonic time when the oldest frame not acknowledged was sent on this connection; undefined when there is none. */
	getOldestUnacknowledgedSentAt(): number | undefined {
		return this.#unacknowledged[0]?.sentAt;
	}

	/** Sends now, or on the next connection. */
	send(frame: ExchangeFrame, payload: Uint8Array = emptyBytes): void {
		if (this.#sendPacket) {
			this.#sendNewFrame(this.#sendPacket, {frame, payload});
			return;
		}

		this.#unsent.push({frame, payload});
		this.#unsentBytes += payload.length + estimatedHeaderBytes;
	}

	/** Sends a frame that is neither numbered nor kept; dropped without a connection. */
	sendControl(frame: ControlFrame): void {
		this.#lastSequenceAcknowledgedToPeer = this.#lastReceivedSequence;
		this.#sendPacket?.({
			frame, sequence: 0, acknowledged: this.#lastReceivedSequence, payload: emptyBytes,
		});
	}

	/** Goes on over a new connection, whose other side has received that many frames. Returns how many are sent again. */
	resume(sendPacket: SendPacket, received: number): Either<Failure, number> {
		if (received > this.#lastSentSequence || received < this.#lastSequenceAcknowledgedByPeer) {
			return Left(createFailure('malformedFrame', `${received} frames received, ${this.#lastSequenceAcknowledgedByPeer} acknowledged, ${this.#lastSentSequence} sent`));
		}

		this.#applyAcknowledgement(received);
		this.#sendPacket = sendPacket;
		const sentAt = performance.now();
		this.#unacknowledged = this.#unacknowledged.map(retained => ({...retained, sentAt}));
		this.#unacknowledged.forEach(({frame, payload, sequence}) => {
			this.#writePacket(sendPacket, {frame, payload}, sequence);
		});
		const unsent = this.#unsent;
		this.#unsent = [];
		this.#unsentBytes = 0;
		const resent = this.#unacknowledged.length;
		unsent.forEach(entry => {
			this.#sendNewFrame(sendPacket, entry);
		});
		return Right(resent);
	}

	/** Sends nothing until it is resumed. */
	pause(): void {
		this.#sendPacket = undefined;
	}

	/** Takes a packet; says whether it is new. A gap or an acknowledgement of what was never sent is a failure. */
	accept({sequence, acknowledged}: Packet): Either<Failure, boolean> {
		if (acknowledged > this.#lastSentSequence) {
			return Left(createFailure('malformedFrame', `${acknowledged} frames acknowledged, ${this.#lastSentSequence} sent`));
		}

		if (sequence > this.#lastReceivedSequence + 1) {
			return Left(createFailure('malformedFrame', `frame ${sequence} follows ${this.#lastReceivedSequence}`));
		}

		this.#applyAcknowledgement(acknowledged);
		if (sequence === 0) {
			return Right(true);
		}

		const isNew = sequence > this.#lastReceivedSequence;
		this.#lastReceivedSequence = Math.max(this.#lastReceivedSequence, sequence);
		return Right(isNew);
	}

	/** Forgets the frames of an exchange that were never sent. */
	removeUnsent(stream: number): void {
		this.#unsent = this.#unsent.filter(({frame}) => frame.stream !== stream);
		this.#unsentBytes = this.#unsent.reduce((sum, {payload}) => sum + payload.length + estimatedHeaderBytes, 0);
	}

	/** True when no byte of the exchange's request was handed to a connection. */
	isRequestUnsent(stream: number): boolean {
		return this.#unsent.some(({frame}) => frame.kind === 'request' && frame.stream === stream);
	}

	/** True when the other side, having received that many frames, can't know the exchange. */
	isRequestUnreceived(stream: number, received: number): boolean {
		return this.isRequestUnsent(stream)
			|| this.#unacknowledged.some(({frame, sequence}) => frame.kind === 'request' && frame.stream === stream && sequence > received);
	}

	#sendNewFrame(sendPacket: SendPacket, {frame, payload}: UnsentFrame): void {
		this.#lastSentSequence++;
		const bytes = this.#writePacket(sendPacket, {frame, payload}, this.#lastSentSequence);
		this.#unacknowledgedBytes += bytes;
		this.#unacknowledged.push({
			sequence: this.#lastSentSequence, frame, payload, bytes, sentAt: performance.now(),
		});
	}

	#writePacket(sendPacket: SendPacket, {frame, payload}: UnsentFrame, sequence: number): number {
		this.#lastSequenceAcknowledgedToPeer = this.#lastReceivedSequence;
		return sendPacket({
			frame, sequence, acknowledged: this.#lastReceivedSequence, payload,
		});
	}

	#applyAcknowledgement(acknowledged: number): void {
		if (acknowledged <= this.#lastSequenceAcknowledgedByPeer) {
			return;
		}

		const dropped = this.#unacknowledged.splice(0, acknowledged - this.#lastSequenceAcknowledgedByPeer);
		this.#lastSequenceAcknowledgedByPeer = acknowledged;
		this.#unacknowledgedBytes -= dropped.reduce((sum, {bytes}) => sum + bytes, 0);
	}
}
