/** Frames between two nodes. The side that connected opens exchanges; the other side serves them. */
import {
	type Address, type Failure, type NodeIdentity, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';

/** First frame each way; ties the connection to a session. */
export type HelloFrame = {
	readonly kind: 'hello';
	readonly session: string;
	readonly node: NodeIdentity;
};

/** Sent when nothing else was for a while. */
export type HeartbeatFrame = {
	readonly kind: 'heartbeat';
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

/** Any frame's header. */
export type Frame = HelloFrame | HeartbeatFrame | RequestFrame | ResponseFrame | DataFrame | EndFrame | CreditFrame | CancelFrame | FailureFrame;

/** A frame with its payload; only data frames have one. */
export type FrameWithPayload = {
	readonly frame: Frame;
	readonly payload: Uint8Array;
};

/** A node to link to. */
export type LinkPeer = {
	readonly identity: NodeIdentity;
	readonly address: Address;
};
