/** At-most-once execution of requests with idempotency keys. */
export * from './constants.js';
export * from './idempotency-key.js';
export * from './pause-detector.js';
export * from './sequencer.js';
export * from './steady-clock.js';
export type * from './types.js';
