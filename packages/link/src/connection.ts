/** Interface of a connection that carries frames in order, independent of the transport. */
import {type Failure, type Unregister} from '@limpetbarrow/core';
import {type Packet} from './types.js';

/** Callbacks for the events of a connection. */
export type ConnectionHandler = {
	readonly handlePacket: (packet: Packet) => void;
	/** Called when the received bytes are not a valid frame; the connection closes afterwards. */
	readonly handleFailure: (failure: Failure) => void;
	/** Called when the connection has closed; `isRefused` is true when the other side refused to accept it. */
	readonly handleClose: (isRefused: boolean) => void;
};

/** Connection that carries packets between two nodes. */
export abstract class Connection {
	/** Sends a packet and returns its encoded size in bytes. */
	abstract send(packet: Packet): number;
	/** Monotonic time when the last byte was received, in milliseconds. */
	abstract getLastReceivedAt(): number;
	/** Closes after all packets sent so far have been transmitted. */
	abstract end(): void;
	/** Closes at once; packets not yet transmitted are lost. */
	abstract close(): void;
	/** Sets the only handler, replacing a previous one. The returned function removes it; no events are reported afterwards. */
	abstract registerHandler(handler: ConnectionHandler): Unregister;
}
