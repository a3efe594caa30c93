/** The node daemon as a library. */
export * from './settings.js';
export * from './node.js';
export * from './forwarder.js';
export * from './quarantine.js';
export * from './egress.js';
export * from './peer-baseline-source.js';
export type {
	AuditEntry, AuditTrail, ItemNames, NoteSummary,
} from './admin-releases.js';
export type {FleetStatus, NodeStatus} from './admin-fleet.js';
export * from './admin.js';
export * from './http-release-peers.js';
