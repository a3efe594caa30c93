/** Library for callers. */
export * from './caller.js';
export * from './fleet-caller.js';
export * from './judge-send.js';
export * from './origin-ring.js';
export * from './terms-holder.js';
export * from './transport.js';
export type * from './types.js';
