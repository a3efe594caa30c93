/** Signed terms and rate limits. */
export * from './terms-token.js';
export * from './issue-terms.js';
export * from './rate-limiter.js';
