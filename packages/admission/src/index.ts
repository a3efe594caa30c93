/** Admission control: decides which requests a backend server takes, when and in which order. */
export * from './constants.js';
export * from './duration-estimator.js';
export * from './fair-shares.js';
export * from './wait-queue.js';
export * from './wait-estimate.js';
export * from './admission-controller.js';
export * from './priority-allowance.js';
export * from './server-rate-limit.js';
