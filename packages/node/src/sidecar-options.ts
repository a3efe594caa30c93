/** What a sidecar node is created from. */
import {type Logger, type PoisonMark} from '@limpetbarrow/core';
import {type FleetMarks} from '@limpetbarrow/detect';
import {type Announcements} from '@limpetbarrow/members';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {type ConfigurationSource} from '@limpetbarrow/releases';
import {type ServerProtocol} from './backend/server-protocol.js';
import {type CallerProtocol} from './callers/ingress-request.js';
import {type ConfigurationProofOptions} from './fleet/configuration-proof.js';
import {type StoreDiscovery} from './fleet/store-discovery.js';
import {type ControlProtocol} from './operators/control-server.js';
import {type SidecarSettings} from './sidecar-settings.js';

/** Protocols and stores of the platform that a sidecar runs on. */
export type SidecarPlatform = {
	readonly store: ObjectStore;
	readonly source: ConfigurationSource;
	readonly callers: CallerProtocol;
	readonly servers: ServerProtocol;
	readonly control: ControlProtocol;
};

/** Dependencies of a sidecar node. */
export type SidecarOptions = {
	/** The settings in force; they may change while the node runs. */
	readonly getSettings: () => SidecarSettings;
	readonly platform: SidecarPlatform;
	readonly logger: Logger;
	/** Tells whether requests need keys under a configuration; `hasKeys` by default. */
	readonly hasKeys?: NonNullable<ConfigurationProofOptions['hasKeys']>;
};

/** Components that are created before the node itself, and the incarnation of its process. */
export type StartupState = {
	readonly announcements: Announcements;
	readonly discovery: StoreDiscovery;
	readonly incarnation: number;
	/** Poison marks of the other nodes, and those that the earlier process of this node stored. */
	readonly fleetMarks: FleetMarks;
	readonly ownMarks: readonly PoisonMark[];
};
