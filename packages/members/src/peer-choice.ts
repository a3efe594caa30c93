/** Picks members to talk to: mostly near ones, since bytes between failure domains and regions are paid for. */
import {type Address, type Placement} from '@limpetbarrow/core';
import {type MemberTable} from './member-table.js';
import {type Member} from './types.js';

/** Chance of a member by its distance, relative to one in the same failure domain; a change leaves a domain several times all the same. */
const regionWeight = 0.15;
const remoteWeight = 0.04;
/** Share of the members of other failure domains that one cycle of probes takes in. */
const distantProbeShare = 0.1;

function getWeight(self: Placement, {record: {placement}}: Member): number {
	if (placement.failureDomain === self.failureDomain) {
		return 1;
	}

	return placement.region === self.region ? regionWeight : remoteWeight;
}

/** Other members that are not dead. */
function listOthers(table: MemberTable): readonly Member[] {
	return table.listLive().filter(({record}) => record.id !== table.self.id);
}

/** Picks the gossip addresses of up to `count` other members. */
export function pickPeers(table: MemberTable, count: number, pickNext: () => number): readonly Address[] {
	const self = table.getSelf().placement;
	return listOthers(table)
		.map(member => ({member, key: pickNext() ** (1 / getWeight(self, member))}))
		.toSorted((a, b) => b.key - a.key)
		.slice(0, count)
		.map(({member}) => member.record.gossipAddress);
}

/** Selects who is probed in one cycle: all near members, and some of the others. */
export function selectProbed(table: MemberTable, ids: readonly string[], pickNext: () => number): readonly string[] {
	const {failureDomain} = table.getSelf().placement;
	const near = ids.filter(id => table.findMember(id)?.record.placement.failureDomain === failureDomain);
	const distant = ids.filter(id => !near.includes(id));
	const chosen = distant.filter(() => pickNext() < distantProbeShare);
	const fallback = chosen.length === 0 ? distant.slice(0, 1) : chosen;
	return [...near, ...fallback];
}
