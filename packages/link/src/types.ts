/** Frames between two nodes. The side that connected opens exchanges; the other side serves them. */
import {
	type Address, type Failure, type NodeIdentity, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';

/** First frame each way; ties the connection to a session. */
export type HelloFrame = {
	readonly kind: 'hello';
	readonly session: string;
	/** Who says it. */
	readonly node: NodeIdentity;
	/** Whom it is meant for. */
	readonly peer: NodeIdentity;
	/** Counts the connections of the session; a lower one is late. */
	readonly attempt: number;
	/** True when the session was greeted before. */
	readonly isResumed: boolean;
	/** Sequence number of the last frame received in the session. */
	readonly received: number;
};

/** Sent when nothing else was for a while. */
export type HeartbeatFrame = {
	readonly kind: 'heartbeat';
	/** True when the other side is to answer at once. */
	readonly isProbe: boolean;
};

/** Ends the session; the sender takes nothing more of it. */
export type CloseFrame = {
	readonly kind: 'close';
	/** Sequence number of the last frame the sender received; undefined when it does not know the session. */
	readonly received?: number;
};

/** Opens exchange `stream`. */
export type RequestFrame = {
	readonly kind: 'request';
	readonly stream: number;
	readonly head: RequestHead;
};

/** Head of the answer. */
export type ResponseFrame = {
	readonly kind: 'response';
	readonly stream: number;
	readonly head: ResponseHead;
};

/** Part of a body; the bytes are the frame's payload. */
export type DataFrame = {
	readonly kind: 'data';
	readonly stream: number;
};

/** End of a body. */
export type EndFrame = {
	readonly kind: 'end';
	readonly stream: number;
};

/** Lets the other side send more of a body. */
export type CreditFrame = {
	readonly kind: 'credit';
	readonly stream: number;
	readonly bytes: number;
};

/** The serving side holds a place for the request and waits for the end of its body. */
export type AcceptedFrame = {
	readonly kind: 'accepted';
	readonly stream: number;
};

/** The side that opened the exchange gives it up. */
export type CancelFrame = {
	readonly kind: 'cancel';
	readonly stream: number;
};

/** The exchange failed. */
export type FailureFrame = {
	readonly kind: 'failure';
	readonly stream: number;
	readonly failure: Failure;
};

/** A frame that belongs to an exchange; it is numbered, and kept until it is acknowledged. */
export type ExchangeFrame = RequestFrame | ResponseFrame | DataFrame | EndFrame | CreditFrame | AcceptedFrame | CancelFrame | FailureFrame;

/** A frame that concerns the connection or the session as a whole. */
export type ControlFrame = HelloFrame | HeartbeatFrame | CloseFrame;

/** Any frame's header. */
export type Frame = ControlFrame | ExchangeFrame;

/** A frame as it travels. */
export type Packet = {
	readonly frame: Frame;
	/** Number of an exchange's frame in its session and direction, from 1; 0 for control frames. */
	readonly sequence: number;
	/** Number of the last frame the sender received. */
	readonly acknowledged: number;
	/** Part of a body; empty unless it is a data frame. */
	readonly payload: Uint8Array;
};

/** A node to link to. */
export type LinkPeer = {
	readonly identity: NodeIdentity;
	readonly address: Address;
};
