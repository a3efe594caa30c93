/** Timeouts and limits of links. */
import {exchangeWindowBytes} from '@limpetbarrow/core';

/** Size of the prefix before a frame's header, in bytes: the frame length (4) and the header length (2). */
export const framePrefixBytes = 6;

/** Largest frame before the handshake of a connection, in bytes: whoever connects may send it. */
export const handshakeFrameBytes = 4096;

/** Largest number of connections that have not sent their hello; a whole fleet that reconnects at once stays below it. */
export const maxPendingConnections = 1024;

/** Interval between heartbeats on a connection with exchanges in progress, in milliseconds. */
export const heartbeatIntervalMs = 500;

/** Time after which a connection is dropped on which nothing was received or nothing was acknowledged, in milliseconds. */
export const silenceTimeoutMs = 2000;

/** Timeout for connecting and receiving the hello of the other side, in milliseconds. */
export const connectTimeoutMs = 1000;

/** Timeout for the reply to the probe heartbeat that is sent after an idle period, in milliseconds. */
export const probeTimeoutMs = 300;

/** Idle time after which the next exchange first probes the connection with a heartbeat, in milliseconds. */
export const probeAfterIdleMs = 1000;

/** Delay between two attempts to resume a session, in milliseconds. */
export const reconnectDelayMs = 100;

/** Time for which a link refuses new exchanges after an attempt to connect failed, in milliseconds. */
export const connectFailureCooldownMs = 250;

/** Time for which the client side tries to resume a session, in milliseconds. */
export const resumeTimeoutMs = 3000;

/** Number of connections refused in a row after which a session ends. */
export const maxConsecutiveRefusals = 2;

/** Time for which the server side keeps a session that has lost its connection, in milliseconds. */
export const sessionRetentionMs = 10_000;

/** Idle time after which pending acknowledgements are sent in a heartbeat, in milliseconds. */
export const idleAcknowledgeDelayMs = 5000;

/** Idle time after which the client side ends a session, in milliseconds. */
export const linkIdleTimeoutMs = 60_000;

/** Number of received frames after which an acknowledgement is sent in a heartbeat at once. */
export const acknowledgeAfterFrames = 64;

/** Unacknowledged and unsent bytes of a session from which on its link refuses new exchanges. */
export const softMaxUnacknowledgedBytes = 4_194_304;

/** Unacknowledged and unsent bytes above which the server side ends a session. */
export const maxUnacknowledgedBytes = 16_777_216;

/** Maximum number of exchanges in progress on one session. */
export const maxExchanges = 4096;

/** Maximum number of sessions that a node serves. */
export const maxSessions = 4096;

/** Maximum size of the body part in one frame, in bytes. */
export const maxPayloadBytes = 262_144;

/** Credit that is accumulated before a credit frame is sent, in bytes: a quarter of the window. */
export const creditBatchBytes = exchangeWindowBytes / 4;

/** Time after which a link is removed that has no session and was not requested meanwhile, in milliseconds. */
export const unusedLinkTimeoutMs = 60_000;
