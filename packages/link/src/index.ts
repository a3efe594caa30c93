/** Links between nodes: resumable sessions over TCP that carry exchanges as frames. */
export type * from './types.js';
export * from './constants.js';
export * from './connection.js';
export * from './frame-codec.js';
export * from './frame-connection.js';
export * from './link-session.js';
export * from './client-session.js';
export * from './link-client.js';
export type * from './link-options.js';
export * from './link-server.js';
export * from './link-pool.js';
