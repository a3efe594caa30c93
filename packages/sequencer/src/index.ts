/** At-most-once requests. */
export * from './idempotency-key.js';
export * from './sequencer.js';
