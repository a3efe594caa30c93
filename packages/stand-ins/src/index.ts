/** Stand-ins for what surrounds the system, and the failure rig. */
export * from './platform-stand-in.js';
export * from './backend-faults.js';
export * from './backend-stand-in.js';
export * from './object-history.js';
export * from './memory-object-store.js';
export * from './tcp-relay.js';
export * from './udp-relay.js';
