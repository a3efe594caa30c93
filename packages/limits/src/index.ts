/** Signed terms of callers and rate limits. */
export * from './constants.js';
export * from './issue-terms.js';
export * from './rate-limiter.js';
export * from './shared-rate-limiter.js';
export * from './terms-token.js';
export * from './token-buckets.js';
