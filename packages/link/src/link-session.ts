/**
 * State of one side of a session, without connections and timers. It numbers the frames that it sends, keeps them until
 * they are acknowledged, and accepts each frame of the other side once and in order.
 */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {type ControlFrame, type ExchangeFrame, type Packet} from './types.js';

/** Sends a packet over the current connection and returns its encoded size in bytes. */
export type SendPacket = (packet: Packet) => number;

type UnacknowledgedFrame = {
	readonly sequence: number;
	readonly frame: ExchangeFrame;
	readonly payload: Uint8Array;
	readonly bytes: number;
	/** Monotonic time when the frame was sent on the current connection, in milliseconds. */
	readonly sentAt: number;
};

type UnsentFrame = {
	readonly frame: ExchangeFrame;
	readonly payload: Uint8Array;
};

const emptyBytes = new Uint8Array(0);
const estimatedHeaderBytes = 512;

/** State of a session that outlives its connections. */
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

	/** Sequence number of the last frame received. */
	getLastReceivedSequence(): number {
		return this.#lastReceivedSequence;
	}

	/** Sequence number of the last frame sent. */
	getLastSentSequence(): number {
		return this.#lastSentSequence;
	}

	/** Number of received frames that were not acknowledged to the other side yet. */
	countPendingAcknowledgements(): number {
		return this.#lastReceivedSequence - this.#lastSequenceAcknowledgedToPeer;
	}

	/** Number of sent frames that the other side has not acknowledged. */
	countUnacknowledged(): number {
		return this.#unacknowledged.length;
	}

	/** Bytes of all frames that are kept for the other side, unsent ones with an estimated header size. */
	countBufferedBytes(): number {
		return this.#unacknowledgedBytes + this.#unsentBytes;
	}

	/** Monotonic time when the oldest unacknowledged frame was sent on this connection; undefined when there is none. */
	getOldestUnacknowledgedSentAt(): number | undefined {
		return this.#unacknowledged[0]?.sentAt;
	}

	/** Sends a frame at once, or on the next connection if there is none now. */
	send(frame: ExchangeFrame, payload: Uint8Array = emptyBytes): void {
		if (this.#sendPacket) {
			this.#sendNewFrame(this.#sendPacket, {frame, payload});
			return;
		}

		this.#unsent.push({frame, payload});
		this.#unsentBytes += payload.length + estimatedHeaderBytes;
	}

	/** Sends a frame that is neither numbered nor kept for resending; it is dropped if there is no connection. */
	sendControl(frame: ControlFrame): void {
		this.#lastSequenceAcknowledgedToPeer = this.#lastReceivedSequence;
		this.#sendPacket?.({
			frame, sequence: 0, acknowledged: this.#lastReceivedSequence, payload: emptyBytes,
		});
	}

	/**
	 * Continues over a new connection: resends every frame after `received`, the last that the other side has received, then
	 * sends the unsent ones. Returns the number of frames resent, or a failure when `received` contradicts the state.
	 */
	resume(sendPacket: SendPacket, received: number): Either<Failure, number> {
		if (received > this.#lastSentSequence || received < this.#lastSequenceAcknowledgedByPeer) {
			return Left(createFailure(
				'malformedFrame',
				`the other node reports ${received} frames received, but ${this.#lastSequenceAcknowledgedByPeer} were acknowledged and ${this.#lastSentSequence} sent`,
			));
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

	/** Keeps all further frames unsent until `resume` is called. */
	pause(): void {
		this.#sendPacket = undefined;
	}

	/**
	 * Applies the numbers of a received packet and returns whether it is new. A gap in the sequence, or an acknowledgement of
	 * a frame that was never sent, is a failure.
	 */
	accept({sequence, acknowledged}: Packet): Either<Failure, boolean> {
		if (acknowledged > this.#lastSentSequence) {
			return Left(createFailure('malformedFrame', `the other node acknowledged ${acknowledged} frames, but only ${this.#lastSentSequence} were sent`));
		}

		if (sequence > this.#lastReceivedSequence + 1) {
			return Left(createFailure('malformedFrame', `gap in the sequence: frame ${sequence} follows frame ${this.#lastReceivedSequence}`));
		}

		this.#applyAcknowledgement(acknowledged);
		if (sequence === 0) {
			return Right(true);
		}

		const isNew = sequence > this.#lastReceivedSequence;
		this.#lastReceivedSequence = Math.max(this.#lastReceivedSequence, sequence);
		return Right(isNew);
	}

	/** Removes the frames of an exchange that were never sent. */
	removeUnsent(stream: number): void {
		this.#unsent = this.#unsent.filter(({frame}) => frame.stream !== stream);
		this.#unsentBytes = this.#unsent.reduce((sum, {payload}) => sum + payload.length + estimatedHeaderBytes, 0);
	}

	/** True when no byte of the exchange's request was written to a connection. */
	isRequestUnsent(stream: number): boolean {
		return this.#unsent.some(({frame}) => frame.kind === 'request' && frame.stream === stream);
	}

	/** True when the other side can't have the exchange's request, as the last frame that it received is number `received`. */
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
