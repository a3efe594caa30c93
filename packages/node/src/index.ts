/** The node daemon as a library. */
export * from './settings.js';
export * from './node.js';
export type {AuditEntry, AuditTrail, ItemNames} from './admin-releases.js';
export type {FleetStatus, NodeStatus} from './admin-fleet.js';
