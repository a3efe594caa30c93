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
export * from './admin-server.js';
export * from './http-release-peers.js';
export * from './server-protocol.js';
export type {CallerProtocol} from './ingress-request.js';
export * from './control-server.js';
export * from './sidecar-settings.js';
export * from './sidecar-node.js';
export * from './configuration-keys.js';
export * from './configuration-proof.js';
export * from './freshness-exchange.js';
export * from './request-router.js';
export * from './host-egress.js';
export * from './gated-server.js';
export type {GatedServerOptions, ExchangeReport} from './gated-server-options.js';
export * from './store-discovery.js';
export * from './node-entry.js';
export * from './host-announcement.js';
export * from './run-daemon.js';
export * from './run-sidecar.js';
