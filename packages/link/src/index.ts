/** Links between nodes. */
export type * from './types.js';
export * from './constants.js';
export * from './frame-codec.js';
export * from './frame-connection.js';
export * from './link-client.js';
export * from './link-server.js';
export * from './link-pool.js';
