/** The limpetbarrow command as a library. */
export * from './admin-client.js';
export * from './environment.js';
export * from './format-reports.js';
export * from './report-result.js';
export * from './run-command-line.js';
