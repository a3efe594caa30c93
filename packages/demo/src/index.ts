/** A small fleet on loopback, for the demo and the tests with real processes. */
import process from 'node:process';

export * from './child-process.js';
export * from './fleet.js';
export * from './ledger.js';
export * from './workload.js';
