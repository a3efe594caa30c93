/** Detection of failing backend servers. */
export type * from './types.js';
export * from './detector.js';
export * from './policies.js';
