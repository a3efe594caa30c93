/** Bounds of links. */

/** Bytes before a frame's header: total length (4) and header length (2). */
export const framePrefixBytes = 6;

/** Time between heartbeats on a connection with exchanges in progress, in milliseconds. */
export const heartbeatMs = 500;

/** Time after which a connection with nothing heard is given up, in milliseconds. */
export const silenceBoundMs = 2000;

/** Time to connect and say hello, in milliseconds. */
export const connectTimeoutMs = 1000;
