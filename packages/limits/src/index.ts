/** Signed terms of callers, rate limits, and quotas of organisations. */
export * from './constants.js';
export * from './home-history.js';
export * from './issue-terms.js';
export * from './organisation-quota.js';
export * from './quota-book.js';
export * from './quota-client.js';
export * from './rank-homes.js';
export * from './rate-limiter.js';
export * from './shared-rate-limiter.js';
export * from './terms-token.js';
export * from './token-buckets.js';
