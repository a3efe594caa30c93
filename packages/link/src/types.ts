/** Frames between two nodes. The client side opens the connection and its exchanges; the server side serves them. */
import {
	type Address, type Failure, type NodeIdentity, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';

/** First frame in each direction of a connection; binds the connection to a session. */
export type HelloFrame = {
	readonly kind: 'hello';
	readonly session: string;
	/** The node that sends the frame. */
	readonly node: NodeIdentity;
	/** The node that the frame is meant for. */
	readonly peer: NodeIdentity;
	/** Number of this connection within the session, from 1; a hello whose number is not higher than the last is stale. */
	readonly attempt: number;
	/** True when a hello of the server side was received earlier in the session. */
	readonly isResumed: boolean;
	/** Sequence number of the last frame received in the session. */
	readonly received: number;
};

/** Sent regularly while exchanges are in progress, and to acknowledge frames when no other frame is sent. */
export type HeartbeatFrame = {
	readonly kind: 'heartbeat';
	/** True when the receiver must send a heartbeat back at once. */
	readonly isProbe: boolean;
};

/** Ends the session; the sender processes no further frames of it. */
export type CloseFrame = {
	readonly kind: 'close';
	/** Sequence number of the last frame that the sender received; undefined when the sender does not know the session. */
	readonly received?: number;
};

/** Opens the exchange with the number `stream`. */
export type RequestFrame = {
	readonly kind: 'request';
	readonly stream: number;
	readonly head: RequestHead;
};

/** Carries the head of the response. */
export type ResponseFrame = {
	readonly kind: 'response';
	readonly stream: number;
	readonly head: ResponseHead;
};

/** Carries a part of a body as the frame's payload. */
export type DataFrame = {
	readonly kind: 'data';
	readonly stream: number;
};

/** Marks the end of a body. */
export type EndFrame = {
	readonly kind: 'end';
	readonly stream: number;
};

/** Grants the other side credit to send that many more bytes of a body. */
export type CreditFrame = {
	readonly kind: 'credit';
	readonly stream: number;
	readonly bytes: number;
};

/** Reports that the server side has reserved a slot for the request and waits for the end of its body. */
export type AcceptedFrame = {
	readonly kind: 'accepted';
	readonly stream: number;
};

/** Cancels the exchange; sent by the client side. */
export type CancelFrame = {
	readonly kind: 'cancel';
	readonly stream: number;
};

/** Reports that the exchange failed; it is the last frame of the exchange. */
export type FailureFrame = {
	readonly kind: 'failure';
	readonly stream: number;
	readonly failure: Failure;
};

/** A frame that belongs to an exchange. It has a sequence number and is kept by its sender until it is acknowledged. */
export type ExchangeFrame = RequestFrame | ResponseFrame | DataFrame | EndFrame | CreditFrame | AcceptedFrame | CancelFrame | FailureFrame;

/** A frame that concerns the whole connection or session. It has no sequence number and is never resent. */
export type ControlFrame = HelloFrame | HeartbeatFrame | CloseFrame;

/** Header of a frame of any kind. */
export type Frame = ControlFrame | ExchangeFrame;

/** A frame with its sequence number, acknowledgement and payload, as it is sent over a connection. */
export type Packet = {
	readonly frame: Frame;
	/** Sequence number of an exchange frame within its session and direction, from 1; 0 for control frames. */
	readonly sequence: number;
	/** Sequence number of the last frame that the sender received. */
	readonly acknowledged: number;
	/** Part of a body; empty in all frames but data frames. */
	readonly payload: Uint8Array;
};

/** The node at the other end of a link, with the address to connect to. */
export type LinkPeer = {
	readonly identity: NodeIdentity;
	readonly address: Address;
};
