/** The node daemon as a library. */
export * from './settings.js';
export * from './node.js';
export type {
	AuditEntry, AuditTrail, ItemNames, NoteSummary,
} from './admin-releases.js';
export type {FleetStatus, NodeStatus} from './admin-fleet.js';
export * from './admin.js';
export * from './http-release-peers.js';
