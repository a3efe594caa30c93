/** The limpetbarrow command as a library. */
export * from './admin-client.js';
export * from './run-command-line.js';
