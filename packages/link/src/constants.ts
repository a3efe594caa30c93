/** Bounds of links. */
import {exchangeWindowBytes} from '@limpetbarrow/core';

/** Bytes before a frame's header: total length (4) and header length (2). */
export const framePrefixBytes = 6;

/** Time between heartbeats on a connection with exchanges in progress, in milliseconds. */
export const heartbeatIntervalMs = 500;

/** Time after which a connection with nothing heard, or with nothing acknowledged, is given up, in milliseconds. */
export const silenceTimeoutMs = 2000;

/** Time to connect and get the answer to hello, in milliseconds. */
export const connectTimeoutMs = 1000;

/** Time an answer to the first heartbeat after a quiet time may take, in milliseconds. */
export const probeTimeoutMs = 300;

/** Quiet time after which the first exchange checks the connection with a heartbeat, in milliseconds. */
export const probeAfterIdleMs = 1000;

/** Time between two attempts to resume a session, in milliseconds. */
export const reconnectDelayMs = 100;

/** Time for which a link refuses new exchanges after it could not connect, in milliseconds. */
export const connectFailureCooldownMs = 250;

/** Time the side that opens exchanges tries to resume a session, in milliseconds. */
export const resumeTimeoutMs = 3000;

/** Refused connections in a row after which a session is given up. */
export const maxConsecutiveRefusals = 2;

/** Time the serving side keeps a session after its connection is gone, in milliseconds. */
export const sessionRetentionMs = 10_000;

/** Quiet time after which outstanding acknowledgements are sent on their own, in milliseconds. */
export const idleAcknowledgeDelayMs = 5000;

/** Quiet time after which a link is closed, in milliseconds. */
export const linkIdleTimeoutMs = 60_000;

/** Frames received after which an acknowledgement is sent on its own. */
export const acknowledgeAfterFrames = 64;

/** Unacknowledged bytes above which a session takes no new exchanges. */
export const softMaxUnacknowledgedBytes = 4_194_304;

/** Unacknowledged bytes above which a session is ended. */
export const maxUnacknowledgedBytes = 16_777_216;

/** Exchanges in progress on one session. */
export const maxExchanges = 4096;

/** Sessions a node serves. */
export const maxSessions = 4096;

/** Largest part of a body in one frame, in bytes. */
export const maxPayloadBytes = 262_144;

/** Credit that is collected before it is sent, in bytes; a quarter of the window. */
export const creditBatchBytes = exchangeWindowBytes / 4;

/** Time after which a link without a session that nobody asked for is dropped, in milliseconds. */
export const unusedLinkTimeoutMs = 60_000;
