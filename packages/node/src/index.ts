/** The node daemon as a library. */
export * from './settings.js';
export * from './node.js';
export * from './routing/forwarder.js';
export * from './backend/quarantine.js';
export * from './backend/egress.js';
export * from './backend/peer-baseline-source.js';
export type {
	AuditEntry, AuditTrail, ItemNames, NoteSummary,
} from './operators/admin-releases.js';
export type {FleetStatus, NodeStatus} from './operators/admin-fleet.js';
export * from './operators/admin-server.js';
export * from './fleet/http-release-peers.js';
export * from './backend/server-protocol.js';
export type {CallerProtocol} from './callers/ingress-request.js';
export * from './operators/control-server.js';
export * from './sidecar-settings.js';
export * from './sidecar-node.js';
export type {SidecarOptions, SidecarPlatform} from './sidecar-options.js';
export * from './fleet/configuration-keys.js';
export * from './fleet/configuration-proof.js';
export * from './fleet/freshness-exchange.js';
export * from './routing/request-router.js';
export * from './backend/host-egress.js';
export * from './backend/gated-server.js';
export type {GatedServerOptions, ExchangeReport} from './backend/gated-server-options.js';
export * from './fleet/store-discovery.js';
export * from './node-entry.js';
export * from './fleet/host-announcement.js';
export * from './run-daemon.js';
export * from './run-sidecar.js';
