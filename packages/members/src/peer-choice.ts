/**
 * Picks members to talk to: mostly near ones, since bytes between failure domains and regions are paid for.
 *
 * Of the messages about one change a number leaves each failure domain that does not grow with the domain's size, so that
 * what is paid for does not grow with the fleet as fast as the fleet.
 */
import {type Address, type Placement} from '@limpetbarrow/core';
import {type MemberTable} from './member-table.js';
import {type Member} from './types.js';

/** Share of the messages that leave a failure domain: in a small one, and times the number of its other members. */
const maxDistantShare = 0.2;
const distantMessagesPerDomain = 1.2;
/** Part of those that stays in the region, where other failure domains are there. */
const sameRegionShare = 0.6;
/** Distant members in one cycle of probes, for each near one. */
const distantProbesPerNearMember = 0.3;

type PeerGroups = {
	readonly near: readonly Member[];
	readonly region: readonly Member[];
	readonly remote: readonly Member[];
};

function groupPeers(table: MemberTable, self: Placement): PeerGroups {
	const others = table.listLive().filter(({record}) => record.id !== table.self.id);
	const distant = others.filter(({record}) => record.placement.failureDomain !== self.failureDomain);
	return {
		near: others.filter(({record}) => record.placement.failureDomain === self.failureDomain),
		region: distant.filter(({record}) => record.placement.region === self.region),
		remote: distant.filter(({record}) => record.placement.region !== self.region),
	};
}

function removeMembers({near, region, remote}: PeerGroups, removed: readonly Member[]): PeerGroups {
	const isLeft = (member: Member): boolean => !removed.includes(member);
	return {near: near.filter(isLeft), region: region.filter(isLeft), remote: remote.filter(isLeft)};
}

function selectGroup({near, region, remote}: PeerGroups, getRandomNumber: () => number): readonly Member[] {
	const distantShare = Math.min(maxDistantShare, distantMessagesPerDomain / Math.max(1, near.length));
	const isDistant = near.length === 0 || getRandomNumber() < distantShare;
	const preferred = isDistant ? (getRandomNumber() < sameRegionShare ? [region, remote] : [remote, region]) : [near];
	return [...preferred, near].find(group => group.length > 0) ?? [];
}

/** Picks the gossip addresses of up to `count` other members. */
export function pickPeers(table: MemberTable, count: number, getRandomNumber: () => number): readonly Address[] {
	const choice = groupPeers(table, table.getSelf().placement);
	const picked = Array.from({length: count}).reduce<readonly Member[]>(before => {
		const group = selectGroup(removeMembers(choice, before), getRandomNumber);
		const member = group[Math.floor(getRandomNumber() * group.length)];
		return member ? [...before, member] : before;
	}, []);
	return picked.map(({record}) => record.gossipAddress);
}

/** Selects who is probed in one cycle, from ids in random order: all near members, and some of the others. */
export function selectProbeCycle(table: MemberTable, ids: readonly string[]): readonly string[] {
	const {failureDomain} = table.getSelf().placement;
	const near = ids.filter(id => table.findMember(id)?.record.placement.failureDomain === failureDomain);
	const nearIds = new Set(near);
	const distant = ids.filter(id => !nearIds.has(id));
	return [...near, ...distant.slice(0, Math.max(1, Math.ceil(near.length * distantProbesPerNearMember)))];
}
