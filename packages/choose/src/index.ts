/** Route lookup, the capacity floor and the choice of a backend server. */
export * from './route-table.js';
export * from './floor.js';
export * from './chooser.js';
export * from './retry-budget.js';
export * from './path-health.js';
export * from './subset.js';
export * from './server-selection.js';
export * from './traffic-split.js';
export * from './windowed-retry-budget.js';
export * from './spillover.js';
export * from './pause.js';
