/** Decides which requests a backend server takes, when and in which order. */
export * from './constants.js';
export * from './work-times.js';
export * from './wait-queue.js';
export * from './slot-forecast.js';
export * from './server-gate.js';
