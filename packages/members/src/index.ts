/** Gossip-based membership of the fleet, and announcements of backend servers to their node. */
export type * from './types.js';
export * from './constants.js';
export * from './record-parts.js';
export * from './merge-updates.js';
export * from './member-table.js';
export type * from './message.js';
export * from './message-codec.js';
export * from './message-transport.js';
export * from './memory-transport.js';
export * from './update-queue.js';
export * from './prober.js';
export * from './repair.js';
export * from './peer-choice.js';
export * from './peer-queries.js';
export * from './membership.js';
export * from './gossip.js';
export * from './announcements.js';
export * from './left-servers.js';
