/** Detection of failing backend servers, their ejection and their return. */
export type * from './types.js';
export * from './constants.js';
export * from './evidence.js';
export * from './mixture-test.js';
export * from './detector.js';
export * from './policies.js';
export * from './divergence.js';
export * from './sliding-windows.js';
export * from './summary.js';
export * from './baseline.js';
export * from './peer-comparison.js';
export * from './server-health.js';
export * from './peer-summary-source.js';
export * from './health-monitor.js';
export * from './poison.js';
export * from './fleet-marks.js';
export * from './sickness-filter.js';
