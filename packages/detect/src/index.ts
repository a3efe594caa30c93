/** Detection of failing backend servers. */
export type * from './types.js';
export * from './constants.js';
export * from './evidence.js';
export * from './mixture-test.js';
export * from './detector.js';
export * from './policies.js';
export * from './divergence.js';
export * from './window-ladder.js';
export * from './summary.js';
export * from './baseline.js';
export * from './compare-with-peers.js';
export * from './server-health.js';
export * from './baseline-source.js';
export * from './server-judge.js';
export * from './poison.js';
export * from './sickness-filter.js';
