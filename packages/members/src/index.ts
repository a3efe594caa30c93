/** Membership by gossip and announcements of backend servers. */
export type * from './types.js';
export * from './constants.js';
export * from './member-table.js';
export * from './gossip.js';
export * from './announcements.js';
