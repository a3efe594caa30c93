/** The record that a sidecar node publishes about itself. */
import {type NodeRecord} from '@limpetbarrow/core';
import {type SidecarSettings} from '../sidecar-settings.js';

/** Creates the record of a node that has just started, before its backend server has announced itself. */
export function createSidecarRecord(settings: SidecarSettings, incarnation: number): NodeRecord {
	return {
		id: settings.id,
		incarnation,
		sequence: 1,
		placement: {region: settings.region, failureDomain: settings.failureDomain},
		linkAddress: settings.advertisedLink ?? settings.link,
		gossipAddress: settings.advertisedGossip ?? settings.gossip,
		ingressAddress: settings.ingress,
		adminAddress: settings.metrics,
		state: 'serving',
		release: 0,
		servers: [],
		poison: [],
	};
}
