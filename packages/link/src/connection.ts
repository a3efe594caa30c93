/** One connection that carries frames in order, whatever it runs over. */
import {type Failure, type Unregister} from '@limpetbarrow/core';
import {type Packet} from './types.js';

/** Called with what happens on a connection. */
export type ConnectionHandler = {
	readonly handlePacket: (packet: Packet) => void;
	/** The bytes received are not frames; the connection closes next. */
	readonly handleFailure: (failure: Failure) => void;
	/** `isRefused` is true when the other side took no connection. */
	readonly handleClose: (isRefused: boolean) => void;
};

/** Carries packets between two nodes. */
export abstract class Connection {
	/** Sends a packet and returns its size in bytes. */
	abstract send(packet: Packet): number;
	/** Monotonic time of the last byte heard, in milliseconds. */
	abstract getLastReceivedAt(): number;
	/** Closes after what was sent has gone out. */
	abstract end(): void;
	/** Closes at once. */
	abstract close(): void;
	/** Sets the one handler. After the undoing nothing of this connection is heard. */
	abstract registerHandler(handler: ConnectionHandler): Unregister;
}
