/** The node daemon as a library. */
export * from './settings.js';
export * from './node.js';
export * from './forwarder.js';
export * from './quarantine.js';
