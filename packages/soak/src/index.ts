/** Random faults for a fleet of real processes, and the promises that must hold under them. */
export * from './fault-plan.js';
export * from './promise-checker.js';
export * from './named-state-checker.js';
