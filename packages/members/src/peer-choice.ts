/**
 * Picks the members that receive messages: mostly members of the same failure domain, since traffic between failure domains
 * and regions costs money.
 *
 * The number of messages about one update that leave a failure domain does not grow with the domain's size. So the cost of
 * traffic between domains grows more slowly than the fleet.
 */
import {type Address, type Placement} from '@limpetbarrow/core';
import {type MemberTable} from './member-table.js';
import {type Member} from './types.js';

/** Maximum share of the messages that leave a failure domain; it applies to small domains. */
const maxDistantShare = 0.2;
/** Share of the messages that leave a larger failure domain, multiplied by the number of its other members. */
const distantMessagesPerDomain = 1.2;
/** Share of these messages that stays in the region, if the region has other failure domains. */
const sameRegionShare = 0.6;
/** Number of distant members in one probe cycle, for each near member. */
const distantProbesPerNearMember = 0.3;

/** The other live members, grouped by their distance. */
type PeerGroups = {
	/** Members in the same failure domain. */
	readonly near: readonly Member[];
	/** Members in other failure domains of the same region. */
	readonly region: readonly Member[];
	/** Members in other regions. */
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
	const isKept = (member: Member): boolean => !removed.includes(member);
	return {near: near.filter(isKept), region: region.filter(isKept), remote: remote.filter(isKept)};
}

function selectGroup({near, region, remote}: PeerGroups, getRandomNumber: () => number): readonly Member[] {
	const distantShare = Math.min(maxDistantShare, distantMessagesPerDomain / Math.max(1, near.length));
	const isDistant = near.length === 0 || getRandomNumber() < distantShare;
	const preferred = isDistant ? (getRandomNumber() < sameRegionShare ? [region, remote] : [remote, region]) : [near];
	return [...preferred, near].find(group => group.length > 0) ?? [];
}

/** Picks up to `count` other live members and returns their gossip addresses. */
export function pickPeers(table: MemberTable, count: number, getRandomNumber: () => number): readonly Address[] {
	const groups = groupPeers(table, table.getSelf().placement);
	const picked = Array.from({length: count}).reduce<readonly Member[]>(before => {
		const group = selectGroup(removeMembers(groups, before), getRandomNumber);
		const member = group[Math.floor(getRandomNumber() * group.length)];
		return member ? [...before, member] : before;
	}, []);
	return picked.map(({record}) => record.gossipAddress);
}

/** Selects the members of one probe cycle from ids in random order: all near members and some of the distant ones. */
export function selectProbeCycle(table: MemberTable, ids: readonly string[]): readonly string[] {
	const {failureDomain} = table.getSelf().placement;
	const near = ids.filter(id => table.findMember(id)?.record.placement.failureDomain === failureDomain);
	const nearIds = new Set(near);
	const distant = ids.filter(id => !nearIds.has(id));
	return [...near, ...distant.slice(0, Math.max(1, Math.ceil(near.length * distantProbesPerNearMember)))];
}
