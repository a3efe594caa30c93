/** Client library for callers of the fleet. */
export * from './caller.js';
export * from './fleet-caller.js';
export * from './next-step.js';
export * from './origin-selector.js';
export * from './terms-cache.js';
export * from './transport.js';
export type * from './types.js';
