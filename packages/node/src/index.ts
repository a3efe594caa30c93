/** The node daemon as a library. */
export * from './settings.js';
export * from './node.js';
export * from './forwarder.js';
export * from './quarantine.js';
export * from './egress.js';
export * from './peer-baseline-source.js';
