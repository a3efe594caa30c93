/** Route lookup, the capacity floor and the choice of a backend server. */
export * from './route-table.js';
export * from './floor.js';
export * from './chooser.js';
